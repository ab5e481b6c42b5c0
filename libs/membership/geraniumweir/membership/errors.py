"""Errors of membership."""

from geraniumweir.common import errors


class MembershipError(errors.GeraniumweirError):
    """Base of the errors about hosts and backend servers."""

    code = 'GW-6000'


class AnnouncementError(MembershipError, ValueError):
    """An announcement with an invalid field, or one beyond a limit."""

    code = 'GW-6102'


class OtherDomainError(AnnouncementError):
    """An announcement to a host of another failure domain."""

    code = 'GW-6103'


class RegistryFullError(AnnouncementError):
    """An announcement of a new server while the registry is full."""

    code = 'GW-6104'


class CardError(MembershipError):
    """A host card from another host that can't be decoded."""

    code = 'GW-6105'


class NoticeError(MembershipError):
    """A notice whose payload exceeds the size limit."""

    code = 'GW-6106'
