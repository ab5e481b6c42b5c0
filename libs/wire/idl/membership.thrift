// Who is there: entry hosts, leased backend servers, news between domains.
namespace py membership

// One entry host. Roles are bits: 1 recorder, 2 draining.
struct HostCard {
  1: string host_id
  2: string failure_domain
  3: string region
  4: string address
  5: optional string backend_address
  6: i64 incarnation
  7: optional i32 roles
}

// A lease of a server card that the receiver has, by a key of its content.
struct Renewal {
  1: i64 key
  2: i32 left_ms
}

// To every host of the own failure domain, twice a second. Left out is zero.
struct Heartbeat {
  1: i64 incarnation
  2: i32 hears
  3: i32 roster
  4: optional i32 roles
  5: optional i32 outside
  6: optional i64 log_index
  7: optional i64 version
  8: optional i32 notices
  9: optional list<Renewal> renewed
}

// Asked of another host about one that the sender no longer hears.
struct Inquiry {
  1: string host_id
  2: i64 incarnation
}

// How long ago the sender of this heard that host, in milliseconds.
struct Voucher {
  1: string host_id
  2: i64 incarnation
  3: i32 age_ms
}

// A host stops.
struct Farewell {
  1: i64 incarnation
}

// A newcomer's call to a seed, and its answer.
struct Greeting {
  1: HostCard card
}

struct Welcome {
  1: list<HostCard> cards
}

struct RosterRequest {
  1: string failure_domain
}

struct Roster {
  1: string failure_domain
  2: i32 roster
  3: list<HostCard> cards
}

// From a delegate to the delegates of the other domains, once a second.
struct Digest {
  1: string failure_domain
  2: i32 roster
  3: i32 pools
  4: optional i64 log_index
  5: optional i64 version
  6: optional i32 notices
}

// What a delegate knows of the other domains.
struct OutsideRequest {
}

struct OutsideEntry {
  1: string failure_domain
  2: i32 roster
}

struct OutsideList {
  1: list<OutsideEntry> entries
}

struct ModelCapacity {
  1: string model
  2: i32 slots
}

// Waits are by tier, the highest tier first, in milliseconds; free slots by
// model, as in the capacity. Leader and capacity are left out where the
// receiver has them.
struct PoolSummary {
  1: string failure_domain
  2: string pool
  3: list<i32> wait_ms
  4: list<i32> free
  5: optional i32 lowest_tier
  6: optional string leader
  7: optional list<ModelCapacity> capacity
}

// From a pool leader to the delegates of its domain.
struct SummaryUpdate {
  1: list<PoolSummary> summaries
}

// Inside: pools of the answerer's own domain; else those of other domains.
struct SummariesRequest {
  1: bool inside
  2: i64 epoch
  3: i32 since
}

struct Summaries {
  1: bool inside
  2: i64 epoch
  3: i32 version
  4: list<PoolSummary> changed
}

// Opaque bytes that every host hears of, for a time.
struct Notice {
  1: i64 notice_id
  2: binary payload
  3: i32 left_ms
}

struct NoticesRequest {
}

struct Notices {
  1: list<Notice> notices
}

// One backend server as it announced itself, and its lease.
struct ServerCard {
  1: string server_id
  2: i64 incarnation
  3: string address
  4: string kind
  5: string pool
  6: string failure_domain
  7: list<string> models
  8: list<string> adapters
  9: string hardware
  10: i32 slots
  11: i64 kv_tokens
  12: i64 max_context
  13: bool fences
  14: bool can_cancel
  15: bool can_resume
  16: bool leaving
  17: i32 left_ms
}

struct ServerLeases {
  1: list<ServerCard> changed
}

struct ServersRequest {
  1: list<i64> keys
}
