// What entry hosts ask of each other on behalf of operators.
namespace py operations

struct AskHostState {
}

struct HostState {
  1: i64 version
  2: bool sure
  3: bool draining
  4: bool recorder
  5: list<string> leads
}
