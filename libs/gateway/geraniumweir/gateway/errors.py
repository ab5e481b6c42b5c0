"""Errors of the gateway."""

from geraniumweir.common import errors


class GatewayError(errors.GeraniumweirError):
    """Base class of the errors of the gateway."""

    code = 'GW-1700'


class BadRequestError(GatewayError, ValueError):
    """A request with a malformed header."""

    code = 'GW-1701'


class InvalidStreamError(GatewayError):
    """A truncated stream, or one whose events are out of sequence."""

    code = 'GW-1702'
