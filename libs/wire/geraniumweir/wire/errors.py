"""Errors of the peer layer."""

from geraniumweir.common import errors


class PeerError(errors.GeraniumweirError):
    """A peer gave no answer; whether it acted is unknown."""

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
    """Bytes on a connection that are no message of this protocol."""

    code = 'GW-4105'


class BusyError(UnreachableError):
    """Too much waits to be sent to the peer; this was not sent."""

    code = 'GW-4106'
