// What an entry host and a pool leader say to each other.
//
// Clocks of hosts differ, so every time is a duration: seconds that are left
// or that have passed when the message is made. An attempt is a number that
// grows with each place where an entry host asks, over all its requests.
namespace py scheduling

struct Ask {
  1: string request_id
  2: string owner
  3: string pool
  4: string customer
  5: string rule
  6: i8 tier
  7: double time_left
  8: optional string model
  9: i32 prompt_tokens
  10: i32 max_tokens
  11: list<i64> blocks
  12: i64 fingerprint
  13: bool idempotent
  14: double share
  15: optional i32 max_running
  16: optional i32 max_waiting
  17: i64 attempt
  18: optional double rate_per_s
  // Unsaid by hosts of an older release: it may stream.
  19: optional bool streams
  // What it takes of its customer's quota, and when its first token is due.
  20: optional double quota_cost
  21: optional double target_left
  // Importance inside its tier, 0 first; output tokens the caller expects;
  // when it leaves if nothing has come by then.
  22: optional i8 rank
  23: optional i32 likely_tokens
  24: optional double patience_left
  // Longest pause between events for full worth, in seconds.
  25: optional double gap
  // Of the owner.
  26: optional string failure_domain
  // Unsaid by hosts of an older release: its first.
  27: optional string sending
  // Of the servers on which a begun stream may go on; unsaid for any.
  28: optional string version
  // Parts of the prompt that other requests may share; unsaid for none.
  29: optional list<i64> parts
}

struct Grant {
  1: string server_id
  2: i64 incarnation
  3: string address
  // Of the server's software, for the owner's log.
  4: optional string version
}

struct Denial {
  1: string reason
  2: i32 retry_after_ms
}

// Answers an Ask; neither grant nor denial while it waits.
struct AskReply {
  1: optional Grant grant
  2: optional Denial denial
  3: optional string leader
}

// From the leader to the owner, for an ask that had to wait.
struct Answer {
  1: string request_id
  2: i64 attempt
  3: optional Grant grant
  4: optional Denial denial
}

// A grant that isn't taken has led to nothing.
struct AnswerReply {
  1: bool taken
}

struct Release {
  1: string pool
  2: string request_id
  3: i64 attempt
  4: string outcome
  5: optional double first_token
  6: i32 output_tokens
  7: double seconds
  // Pauses between a stream's events, in seconds.
  8: optional double usual_gap
  9: optional double longest_gap
}

struct Withdraw {
  1: string pool
  2: string request_id
  3: i64 attempt
}

// The server that sent a stream's first event. The key stands for the caller's
// attempt, which another attempt may name within the time that is left.
struct StreamBegin {
  1: i64 key
  2: string server_id
  3: i64 incarnation
  4: string version
  5: double left
  // Stands for what the attempt requests.
  6: optional i64 content
  // Stands for the customer; unsaid for an attempt that takes a stream up.
  7: optional i64 customer
}

struct Progress {
  1: string pool
  2: string request_id
  3: optional double first_token
  4: i32 output_tokens
  5: optional StreamBegin begin
}

struct Preempt {
  1: string request_id
  2: string server_id
}

struct OpenGrant {
  1: Ask ask
  2: Grant grant
  3: double age
  4: optional double first_token
  5: i32 output_tokens
}

// A new leader asks each entry host of its failure domain.
struct HandoverRequest {
  1: string pool
}

struct Handover {
  1: string pool
  2: list<OpenGrant> open
  3: list<Ask> waiting
}

// Once a second from an owner to each leader it has something with: all its
// requests there, of attempts up to this one.
struct Sync {
  1: string pool
  2: i64 attempt
  3: list<string> waiting
  4: list<string> open
}

// What of it the leader doesn't know.
struct SyncReply {
  1: bool leads
  2: list<string> waiting
  3: list<string> open
}

// What an engine said to a host that doesn't lead its pool.
struct LoadReport {
  1: string pool
  2: string server_id
  3: i32 running
  4: i32 waiting
  5: i64 kv_used
  6: double age
}

struct CacheEvents {
  1: string pool
  2: string server_id
  3: i64 incarnation
  4: i64 sequence
  5: list<i64> stored
  6: list<i64> evicted
}

// What is known against fingerprints, for the leaders of other hosts.
struct Case {
  1: i64 fingerprint
  2: i32 crashes
  3: double score
  4: double seconds
  5: bool quarantined
  // The leader that saw it.
  6: string origin
}

struct Cases {
  1: list<Case> cases
}

// A part of prompts that were on a server when it crashed, and whose they were.
struct CrashedPart {
  1: i64 part
  2: list<string> customers
}

struct ServerCrash {
  1: string server_id
  2: i64 incarnation
  // Seconds since.
  3: double age
  4: double log_ratio
  5: bool confirmed
  6: list<CrashedPart> parts
  7: list<string> domains
  8: i32 unbegun
  // Number of parts that were too many to be kept; unsaid for none.
  9: optional i32 left_out
}

// Trials of a part that is refused; the next one is due in some seconds.
struct PartTrials {
  1: i64 part
  2: double next_in
  3: i32 crashed
  4: bool by_customer
  // Whose requests were in the crashes.
  5: list<string> customers
}
