"""Events about the log itself, 8xx."""

import typing

from geraniumweir.common import logevents

LEFT_OUT: typing.Final = logevents.Event(
    801,
    logevents.Level.warning,
    '{count} lines of event {number} were left out, over the bound a second',
)
UNWRITTEN: typing.Final = logevents.Event(
    802,
    logevents.Level.warning,
    '{count} lines were left out while nobody read the log',
)
