"""Events of configuration and claims, numbers 701 to 799."""

from geraniumweir.common import logevents

IN_FORCE = logevents.Event(
    701,
    logevents.Level.info,
    'version {version} is in force',
)
UNREADABLE = logevents.Event(
    702,
    logevents.Level.error,
    'version {version} can not be read, {kept} stays in force: {reason}',
)
NOT_KEPT = logevents.Event(
    703,
    logevents.Level.error,
    'version {version} could not be written to the data folder: {reason}',
)
SURE = logevents.Event(
    704,
    logevents.Level.info,
    'the log was heard of through {source}; version {version} is the newest',
)
CLAIMS_DELAYED = logevents.Event(
    705,
    logevents.Level.warning,
    '{count} claims could not be logged yet: {reason}',
)
