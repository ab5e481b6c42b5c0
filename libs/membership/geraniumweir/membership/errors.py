"""Errors of membership."""

from geraniumweir.common import errors


class MembershipError(errors.GeraniumweirError):
    """Something about hosts or servers can't be taken."""

    code = 'GW-6000'


class AnnouncementError(MembershipError, ValueError):
    """An announcement is nonsense or beyond a limit."""

    code = 'GW-6102'


class OtherDomainError(AnnouncementError):
    """A server announced itself to a host of another failure domain."""

    code = 'GW-6103'


class RegistryFullError(AnnouncementError):
    """More servers are known than the limit allows."""

    code = 'GW-6104'


class CardError(MembershipError):
    """A message from another host can't be read."""

    code = 'GW-6105'


class NoticeError(MembershipError):
    """A notice is larger than the limit."""

    code = 'GW-6106'
