// How two hosts greet each other and frame what they say.
namespace py peering

// First on each connection, from both sides.
struct Hello {
  1: string host_id
  2: i32 protocol
  3: string listen
}

// Kinds: 1 call, 2 answer, 3 failure of a call, 4 message without answer.
struct Envelope {
  1: i8 kind
  2: i64 call_id
  3: i32 message_type
  4: binary body
}
