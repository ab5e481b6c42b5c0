// How recorders agree on the log, and how other hosts reach it.
// A recorder is named by the identity of its data folder. "to" is the identity
// that a message is meant for; a host whose folder has another one refuses it.
namespace py consensus

struct Recorder {
  1: string identity
  2: string host_id
  3: string address
  4: bool voter
}

// Content of a log entry of kind "members".
struct Members {
  1: string cluster
  2: list<Recorder> recorders
}

struct LogEntry {
  1: i64 index
  2: i64 term
  3: i16 kind
  4: binary payload
}

// "trial" asks without a promise (pre-vote); "transfer" comes from a candidate
// that the leader itself chose.
struct AskVote {
  1: string cluster
  2: string to
  3: string candidate
  4: i64 term
  5: i64 last_index
  6: i64 last_term
  7: bool trial
  8: bool transfer
}

struct VoteAnswer {
  1: i64 term
  2: bool granted
}

struct AppendEntries {
  1: string cluster
  2: string to
  3: string leader
  4: i64 term
  5: i64 previous_index
  6: i64 previous_term
  7: list<LogEntry> entries
  8: i64 commit
}

enum Outcome {
  done = 0
  conflict = 1
  stale_term = 2
  wrong_recorder = 3
}

// "index": with done, all entries up to it are durable; with conflict, where
// to go on.
struct AppendAnswer {
  1: i64 term
  2: i16 outcome
  3: i64 index
}

struct SnapshotPiece {
  1: string cluster
  2: string to
  3: string leader
  4: i64 term
  5: i64 index
  6: i64 index_term
  7: binary members
  8: i64 total
  9: i64 checksum
  10: i64 offset
  11: binary content
}

// "offset": which byte to go on with.
struct PieceAnswer {
  1: i64 term
  2: i16 outcome
  3: i64 offset
  4: bool installed
}

struct CampaignNow {
  1: string to
  2: i64 term
}

struct Identify {
}

struct Identified {
  1: string identity
  2: bool blank
}

// From here on: what any host asks of a recorder.

struct Propose {
  1: binary command
  2: i32 timeout_ms
}

struct AskBarrier {
  1: i32 timeout_ms
}

enum Verdict {
  done = 0
  not_leader = 1
  no_quorum = 2
  uncertain = 3
  failed = 4
  refused = 5
}

struct ProposeAnswer {
  1: i16 verdict
  2: binary answer
  3: i64 index
  4: string leader
  5: string leader_address
  6: string reason
}

enum ChangeKind {
  add = 0
  remove = 1
}

struct ChangeRecorders {
  1: i16 kind
  2: string host_id
  3: string address
  4: i32 timeout_ms
}

// Gives committed entries only.
struct ReadEntries {
  1: i64 after_index
  2: i32 limit
}

struct EntriesAnswer {
  1: list<LogEntry> entries
  2: i64 commit
  3: bool compacted
}

struct FetchSnapshot {
  1: i64 index
  2: i64 offset
}

struct SnapshotContent {
  1: i64 index
  2: i64 total
  3: i64 offset
  4: binary content
}

struct AskStatus {
}

struct RecorderStatus {
  1: Recorder recorder
  2: i64 match_index
  3: bool reachable
}

struct StatusAnswer {
  1: string identity
  2: string role
  3: i64 term
  4: string leader
  5: i64 commit
  6: i64 applied
  7: i64 last_index
  8: list<RecorderStatus> recorders
  9: string failure
}
