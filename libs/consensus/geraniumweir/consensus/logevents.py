"""Events of the replicated log, numbers 520 to 549."""

from geraniumweir.common import logevents

BECAME_LEADER = logevents.Event(
    520,
    logevents.Level.notice,
    'became leader in term {term} at log index {index}',
)
STEPPED_DOWN = logevents.Event(
    521,
    logevents.Level.notice,
    'stepped down as leader in term {term}: {reason}',
)
FOLLOWS_LEADER = logevents.Event(
    522,
    logevents.Level.info,
    'following recorder {leader} in term {term}',
)
ELECTION_STARTED = logevents.Event(
    523,
    logevents.Level.info,
    'started an election in term {term}',
)
MEMBERS_CHANGED = logevents.Event(
    524,
    logevents.Level.notice,
    'membership changed at log index {index}: recorders {recorders}',
)
WRONG_RECORDER = logevents.Event(
    525,
    logevents.Level.warning,
    'the data folder of host {host} is not that of recorder {identity}',
)
SNAPSHOT_TAKEN = logevents.Event(
    526,
    logevents.Level.info,
    'snapshot of {size} bytes taken at log index {index}',
)
SNAPSHOT_SENT = logevents.Event(
    527,
    logevents.Level.info,
    'snapshot at log index {index} sent to {host}',
)
SNAPSHOT_INSTALLED = logevents.Event(
    528,
    logevents.Level.notice,
    'snapshot at log index {index} installed',
)
RECORDER_FAILED = logevents.Event(
    529,
    logevents.Level.error,
    'recorder failed and stopped permanently: {reason}',
)
BOOTSTRAPPED = logevents.Event(
    530,
    logevents.Level.notice,
    'log bootstrapped with recorders {recorders}',
)
MUST_BE_ADDED = logevents.Event(
    531,
    logevents.Level.warning,
    'the data folder is new but host {host} already has a log; an operator'
    ' must add this recorder',
)
TORN_WRITE_REMOVED = logevents.Event(
    532,
    logevents.Level.warning,
    'removed {lost} bytes of an unsynced write from the end of the log',
)
ENTRY_TOO_LARGE = logevents.Event(
    533,
    logevents.Level.error,
    'log entry {index} of {size} bytes is too large to be sent to {host}',
)
PROPOSAL_SLOW = logevents.Event(
    534,
    logevents.Level.notice,
    'log entry {index} of {size} bytes answered after {ms} ms: synced here'
    ' after {synced_ms} ms, committed after {committed_ms} ms; {outcome}',
)
