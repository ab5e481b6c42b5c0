"""Events of the durable files, numbers 501 to 519."""

from geraniumweir.common import logevents

TAIL_CUT = logevents.Event(
    501,
    logevents.Level.warning,
    'cut {lost} bytes that were never synced from the end of {name}',
)
FOLDER_OPENED = logevents.Event(
    502,
    logevents.Level.info,
    'data folder of recorder {identity} opened at log index {index}',
)
FOLDER_FAILED = logevents.Event(
    503,
    logevents.Level.error,
    'the data folder failed and takes nothing any more: {reason}',
)
