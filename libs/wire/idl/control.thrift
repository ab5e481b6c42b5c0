// What control hosts say to each other and to entry hosts: the document in
// force, the enrolled backend servers and who coordinates.
namespace py control

include "scheduling.thrift"

// A backend server's enrolment. The sequence grows with each report of the
// same start of a server; a start that has gone never returns.
struct Enrolment {
  1: string server_id
  2: string pool
  3: string address
  4: string failure_domain
  5: i32 slots
  6: i64 sequence
  // 1 ready, 2 leaving, 3 gone.
  7: i8 state
  // No report came for longer than a lease; work may still succeed there.
  8: bool silent
  9: list<string> models
  // When the server was started, in Unix milliseconds; 0 where it doesn't say.
  10: i64 born
  // Of its software, empty where it doesn't say.
  11: optional string version
  // It is still slow after its start.
  12: optional bool cold
}

// An order to move a pool's traffic to a version of its servers; numbers as
// in the replicated log.
struct Rollout {
  1: string pool
  2: i64 number
  3: string to
  4: i8 phase
  5: i8 state
}

// A control host. Each address is IP:PORT; servers and operators use the
// second.
struct ControlHost {
  1: string host_id
  2: string address
  3: string control_address
  4: string failure_domain
}

// Between control hosts, once a second, each way as the answer to the other.
// The digest is that of the enrolments. entry_hosts: how many there are, as
// the log's leader counts them.
struct Presence {
  1: ControlHost me
  2: list<ControlHost> hosts
  3: i64 digest
  4: i32 entry_hosts
  5: bool leads
}

// Enrolments that changed at a control host, told to the others.
struct Enrolled {
  1: list<Enrolment> servers
}

// Asks another control host for its enrolments; the answer is Enrolled. Only
// buckets whose digests differ are requested; without digests, all.
struct AskEnrolled {
  1: optional binary digests
}

// Asks for what is newer than the asker has; the answer may wait. The epoch
// names the answerer's run, the revision counts its enrolment changes.
struct Watch {
  1: i64 version
  2: string epoch
  3: i64 revision
  4: i32 wait_ms
  5: optional i64 rollouts_progress
  // The answer comes at once and lists only servers that leave or are gone.
  6: optional bool brief
  // Digests by bucket of the servers that the asker has, sent when it doesn't
  // know the answerer's epoch: only buckets that differ are requested.
  7: optional binary digests
  // The asker fetches a large document in pieces.
  8: optional bool pieces
}

// sure: the answerer has all that is committed. whole: servers are all there
// are, not only the changed ones. The document is compressed.
struct News {
  1: string epoch
  2: i64 revision
  3: i64 version
  4: optional binary document
  5: bool sure
  6: bool whole
  7: list<Enrolment> servers
  8: list<ControlHost> hosts
  // All there are, where one is news to the asker; their progress grows with
  // each change of any.
  9: optional list<Rollout> rollouts
  10: optional i64 rollouts_progress
  // To an asker that sent digests: the buckets that differ. All their servers
  // are in servers or, compressed, as Enrolled in packed.
  11: optional list<i16> buckets
  12: optional binary packed
  // Length of the compressed document, where it is to be fetched in pieces.
  13: optional i64 document_bytes
}

// Asks for a piece of the compressed document; the answer is DocumentPiece.
struct FetchDocument {
  1: i64 version
  2: i64 offset
}

// Without content where the answerer has another version.
struct DocumentPiece {
  1: i64 version
  2: binary content
}

// What an answer of a server said of the requests a second that it takes from
// all hosts together; without a number it named no limit. The request that it
// answers was sent, and the answer heard, so long ago.
struct RateLimit {
  1: string server_id
  2: i64 incarnation
  3: optional double per_second
  4: i32 sent_ms
  5: i32 heard_ms
}

// What an answer of a server said of the requests that it can reject in a second,
// from all hosts together, before it fails; without a number it named none.
struct RejectionLimit {
  1: string server_id
  2: i64 incarnation
  3: optional double per_second
  4: i32 sent_ms
  5: i32 heard_ms
}

// A server that said that it leaves.
struct Leaving {
  1: string server_id
  2: i64 incarnation
  3: i32 heard_ms
}

// A server that wants nothing from the teller for so many milliseconds more.
struct Pause {
  1: string server_id
  2: i64 incarnation
  3: i32 left_ms
}

// What servers said in their answers. From an entry host to the one that
// coordinates for it, at once and again with its pings; back with the answers,
// what other hosts need to know.
struct Notices {
  1: list<RateLimit> limits
  2: list<Leaving> leaving
  3: list<Pause> pauses
  4: optional list<RejectionLimit> rejection_limits
}

// From an entry host to a control host, several times a second.
// share: its part of all requests, as it was last told.
// notices: those that are new since its last ping was answered.
// notices_revision: of the answerer, up to which the asker has its notices.
// relays: whether it dispatches requests for other entry hosts.
// relays_digest: of the relays that it was last told of.
// Numbers 4 and 5 were used by earlier releases.
struct Ping {
  1: string failure_domain
  2: bool leaving
  3: optional double share
  6: optional Notices notices
  7: optional i64 notices_revision
  8: optional bool relays
  9: optional i32 relays_digest
  // Of the refused prompt parts that the asker knows.
  10: optional i32 refused_digest
  // When the asker's process started, in Unix milliseconds.
  11: optional i64 started
  // Of the answerer's last answer, and the milliseconds since it came.
  12: optional i64 stamp
  13: optional i32 since_ms
  // Whether the answerer coordinates for the asker and has confirmed all
  // streams that the asker was granted by others.
  14: optional bool settled
}

// Entry hosts that dispatch requests for another one: those in its failure
// domain, and some in others.
struct Relays {
  1: list<string> near
  2: list<string> far
}

// leads: the answerer leads the log. stands_in: it coordinates because it
// hears no leader. hosts: entry hosts there are; heard: of them, heard by the
// answerer lately. Numbers 6 and 7 were used by earlier releases.
struct Pong {
  1: bool leads
  2: bool stands_in
  3: i32 hosts
  4: i32 heard
  // The asker's part of all requests lately.
  5: optional double share
  // Those that the asker doesn't have yet.
  8: optional Notices notices
  9: optional i64 notices_revision
  // Where the digest differs.
  10: optional Relays relays
  11: optional list<scheduling.PartTrials> refused
  // The answerer's clock in milliseconds, for its next ping.
  12: optional i64 stamp
}

// What an entry host was granted of a customer's quota: amounts by how many
// bins of 0.2 s ago.
struct CustomerSpent {
  1: string customer
  // Those beyond 32 bits as the highest number, which is all that hosts of an
  // older release read.
  2: map<i32, i32> amounts
  3: optional map<i32, double> large_amounts
}

// What an entry host had of a pool, by how many bins of 0.2 s ago: requests
// asked of others than the receiver, retries granted by it and by others.
struct PoolCounts {
  1: string pool
  2: map<i32, i32> requests
  3: map<i32, i32> here
  4: map<i32, i32> elsewhere
}

// From an entry host to a host that coordinates for it from now on. It knows
// all that it was granted within so many seconds, and nothing before.
struct Spent {
  1: double known_seconds
  2: list<CustomerSpent> customers
  // Unsaid by hosts of an older release: nothing is known of retries.
  3: optional double retries_known_seconds
  4: optional list<PoolCounts> pools
}

// Streams that began at one version of a pool's servers: keys of their
// attempts, and the milliseconds for which each may still be resumed.
struct VersionStreams {
  1: string pool
  2: string version
  3: list<i64> keys
  4: list<i32> left_ms
}

// From an entry host, or the coordinator before, to the coordinator, which
// answers StreamsRecorded. repeating: customers of which several attempts began
// the same content lately, as the coordinator before knows them.
struct BegunStreams {
  1: list<VersionStreams> versions
  2: optional list<i64> repeating
}

// From the coordinator to the other control hosts: what changed of the facts
// about requests. Cases, and crashes with trials, are whole lists.
struct RequestFacts {
  1: optional list<scheduling.Case> cases
  2: optional list<scheduling.ServerCrash> crashes
  3: optional list<scheduling.PartTrials> trials
  4: optional list<VersionStreams> streams
  // Customers of which several attempts began the same content lately.
  5: optional list<i64> repeating
}

// From a new coordinator to the other control hosts, which answer RequestFacts
// with all they know.
struct AskRequestFacts {
}

struct StreamsRecorded {
}

// From an entry host to its coordinator. customer: said for a key that stands
// for a content. left_ms: for which the stream may be resumed by what its
// caller says.
struct FindStream {
  1: i64 key
  2: optional i64 customer
  3: optional i32 left_ms
}

// pool: unsaid where the stream isn't known. doubtful: hosts that don't answer
// may have begun another stream of the same content.
struct FoundStream {
  1: optional string pool
  2: optional string version
  3: optional bool doubtful
}

// A control host with a data folder that isn't among the recorders asks the
// log's leader to take it in.
struct JoinLog {
  1: string host_id
  2: string address
  3: string identity
  4: string failure_domain
}

struct JoinReply {
  1: bool leads
}

// Reads the newest document from a recorder that has applied an entry.
struct ReadNewest {
  1: i64 index
}

// known: the entry was applied there. version: -1 before the first document,
// which is compressed.
struct Newest {
  1: bool known
  2: i64 version
  3: binary document
}
