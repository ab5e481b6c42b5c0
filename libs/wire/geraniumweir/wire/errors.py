"""Errors of the peer layer."""

from geraniumweir.common import errors


class PeerError(errors.GeraniumweirError):
    """No answer from a peer; it may have handled the message."""

    code = 'GW-4101'


class UnreachableError(PeerError):
    """No connection to the peer; the message was not sent."""

    code = 'GW-4102'


class PeerTimeoutError(PeerError):
    """The peer did not answer in time."""

    code = 'GW-4103'


class RemoteError(PeerError):
    """The peer's handler failed."""

    code = 'GW-4104'


class FrameError(PeerError):
    """Bytes that are not a valid message of this protocol."""

    code = 'GW-4105'


class OversizeError(FrameError):
    """A message that is too long for a frame; it was not sent."""

    code = 'GW-4107'


class BusyError(UnreachableError):
    """The send buffer to the peer is full; the message was not sent."""

    code = 'GW-4106'
