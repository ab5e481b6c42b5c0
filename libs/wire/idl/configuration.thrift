// Commands of the system's state machine, its snapshot, and following it.
namespace py configuration

// ---- commands: steps that go through the replicated log together ----------

// Asks for a new document on top of a version.
struct Change {
  1: string change_id
  2: i64 base
  3: binary document
}

// Asks for the right to run a non-idempotent call once.
struct Claim {
  1: string customer
  2: string key
  3: string request_id
  4: i64 fingerprint
  5: string owner
  6: i64 ttl_ms
}

// Ends a claim. Outcomes: 1 done, 2 unknown, 3 not run.
struct Finish {
  1: string customer
  2: string key
  3: string request_id
  4: i8 outcome
}

// Asks for the next fencing number.
struct ReserveFence {
  1: string issuer
  2: i64 lease_ms
}

// Asks for a document that carries its own version; the highest one wins.
struct Publish {
  1: i64 version
  2: binary document
}

// Orders that a pool's traffic moves to a version of its servers. The same
// order within again_ms is a repeat, whatever became of the first.
struct OrderRollout {
  1: string pool
  2: string to
  3: i64 duration_ms
  4: i64 again_ms
}

// Notes how far a rollout is. Phases: 1 canary, 2 ramp, 3 moved. States:
// 1 running, 2 completed, 3 rolled back. exposure: requests that the new
// version may have got by the next note; requests: that the pool got.
struct NoteRollout {
  1: i64 number
  2: i8 phase
  3: i8 state
  4: i64 exposure
  5: i64 requests
  6: string reason
  // Of the new version that were judged and found good enough.
  7: i64 answers
}

union Step {
  1: Change change
  2: Claim claim
  3: Finish finish
  4: ReserveFence fence
  5: Publish publish
  6: OrderRollout rollout
  7: NoteRollout note
}

// at_ms is the proposer's wall clock.
struct Command {
  1: i64 at_ms
  2: list<Step> steps
}

// ---- answers, one for each step -------------------------------------------

struct ChangeAnswer {
  1: bool accepted
  2: i64 version
}

// Results: 1 granted, 2 done, 3 running, 4 unknown, 5 key reused, 6 full.
struct ClaimAnswer {
  1: i8 result
  2: string holder
}

struct FinishAnswer {
  1: bool known
}

// wait_ms: how long the issuer must wait before its first order to a server
// that doesn't check fencing numbers.
struct FenceAnswer {
  1: i64 number
  2: i64 wait_ms
}

// version: the highest now.
struct PublishAnswer {
  1: bool taken
  2: i64 version
}

// Results: 1 taken, 2 known already, 3 another one is under way.
struct RolloutAnswer {
  1: i8 result
  2: i64 number
}

// A note of a rollout that is over or unknown changes nothing.
struct NoteAnswer {
  1: bool taken
}

union StepAnswer {
  1: ChangeAnswer change
  2: ClaimAnswer claim
  3: FinishAnswer finish
  4: FenceAnswer fence
  5: PublishAnswer publish
  6: RolloutAnswer rollout
  7: NoteAnswer note
}

// invalid: the command could not be read; nothing was done.
struct CommandAnswer {
  1: list<StepAnswer> answers
  2: bool invalid
}

// ---- snapshot -------------------------------------------------------------

struct StoredVersion {
  1: i64 version
  2: string change_id
  3: i64 at_ms
  4: binary packed
}

struct StoredAnswer {
  1: string change_id
  2: bool accepted
  3: i64 version
}

// States: 1 running, 2 done, 3 unknown. until_ms is when a running claim
// becomes unknown; ended_ms is when an ended one did.
struct StoredClaim {
  1: string customer
  2: string key
  3: string request_id
  4: i64 fingerprint
  5: string owner
  6: i8 state
  7: i64 until_ms
  8: i64 ended_ms
}

struct StoredRollout {
  1: string pool
  2: i64 number
  3: string to
  4: i64 duration_ms
  5: i8 phase
  6: i8 state
  7: i64 exposure
  8: i64 requests
  9: i64 ordered_ms
  10: string reason
  11: i64 answers
}

struct StoredState {
  1: i32 format
  2: i64 now_ms
  3: list<StoredVersion> history
  4: list<StoredAnswer> answers
  5: list<StoredClaim> running
  6: list<StoredClaim> ended
  7: i64 fence_number
  8: string fence_issuer
  9: i64 longest_lease_ms
  // A document that carries its own version, compressed.
  10: optional i64 published_version
  11: optional binary published
  12: optional list<StoredRollout> rollouts
}

// ---- following ------------------------------------------------------------

// Asks for a newer version than `have`; the answer may wait. `base` is the
// version that the asker can patch, 0 for none.
struct FetchVersion {
  1: i64 have
  2: i64 base
  3: i64 wait_ms
}

// The bytes of the old document from 0 to `head` and the last `tail` ones
// stay; `middle` goes between. A whole document has head and tail 0.
struct Patch {
  1: i64 base
  2: i64 head
  3: i64 tail
  4: binary middle
  5: i64 checksum
}

// sure_age_ms: time since the answerer heard the log's leader, -1 for never.
struct VersionFetched {
  1: i64 version
  2: optional Patch patch
  3: i64 sure_age_ms
}
