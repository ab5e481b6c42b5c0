"""Errors of calls to backend servers.

What matters to the caller is whether a byte of the call can have reached the
server, so there is one error for each answer to that.
"""

from geraniumweir.common import errors


class NotSentError(errors.GeraniumweirError):
    """No connection could be made; no byte of the call was sent."""

    code = 'GW-3101'


class BrokenError(errors.GeraniumweirError):
    """The server failed after bytes of the call were sent."""

    code = 'GW-3102'
