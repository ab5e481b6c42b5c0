"""Errors of the gateway."""

from geraniumweir.common import errors


class GatewayError(errors.GeraniumweirError):
    """Something about a call can't be done."""

    code = 'GW-1700'


class BadRequestError(GatewayError, ValueError):
    """A call can't be read."""

    code = 'GW-1701'


class InvalidStreamError(GatewayError):
    """A stream ended before its last event, or its events don't follow."""

    code = 'GW-1702'
