"""Events of the replicated log, numbers 520 to 549."""

from geraniumweir.common import logevents

BECAME_LEADER = logevents.Event(
    520,
    logevents.Level.notice,
    'leads in term {term} from log index {index}',
)
STEPPED_DOWN = logevents.Event(
    521,
    logevents.Level.notice,
    'leads no more in term {term}: {reason}',
)
FOLLOWS_LEADER = logevents.Event(
    522,
    logevents.Level.info,
    'follows recorder {leader} in term {term}',
)
ELECTION_STARTED = logevents.Event(
    523,
    logevents.Level.info,
    'asks for votes in term {term}',
)
MEMBERS_CHANGED = logevents.Event(
    524,
    logevents.Level.notice,
    'recorders at log index {index}: {recorders}',
)
WRONG_RECORDER = logevents.Event(
    525,
    logevents.Level.warning,
    'host {host} has another data folder than recorder {identity} had',
)
SNAPSHOT_TAKEN = logevents.Event(
    526,
    logevents.Level.info,
    'snapshot of {size} bytes at log index {index}',
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
    'recorder stopped for good: {reason}',
)
BOOTSTRAPPED = logevents.Event(
    530,
    logevents.Level.notice,
    'log founded with recorders {recorders}',
)
MUST_BE_ADDED = logevents.Event(
    531,
    logevents.Level.warning,
    'the data folder is new but {host} has a log already; this recorder'
    ' must be added by an operator',
)
TORN_WRITE_REMOVED = logevents.Event(
    532,
    logevents.Level.warning,
    'cut {lost} bytes that were never synced from the end of the log',
)
