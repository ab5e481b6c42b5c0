"""Server cards: leases of backend servers as messages."""

from geraniumweir.common import ids
from geraniumweir.membership import limits, servers
from geraniumweir.wire.gen.membership import ttypes

MS_PER_SECOND = 1000


def write(lease: servers.Lease, now: float) -> ttypes.ServerCard:
    """Return the card of a lease, with the time left."""
    announced = lease.announcement
    return ttypes.ServerCard(
        server_id=announced.server_id,
        incarnation=announced.incarnation,
        address=str(announced.address),
        kind=announced.kind,
        pool=announced.pool,
        failure_domain=announced.failure_domain,
        models=list(announced.models),
        adapters=list(announced.adapters),
        hardware=announced.hardware,
        slots=announced.slots,
        kv_tokens=announced.kv_tokens,
        max_context=announced.max_context,
        fences=announced.fences,
        can_cancel=announced.can_cancel,
        can_resume=announced.can_resume,
        leaving=announced.state is servers.ServerState.leaving,
        left_ms=left_ms(lease, now),
    )


def read(card: ttypes.ServerCard) -> servers.Announcement:
    """Return the announcement in a card.

    :raises errors.AnnouncementError: when it is beyond the limits.
    :raises ValueError: when the address can't be parsed.
    """
    states = servers.ServerState
    announcement = servers.Announcement(
        server_id=ids.ServerId(card.server_id),
        incarnation=ids.Incarnation(card.incarnation),
        address=ids.parse_address(card.address),
        kind=card.kind,
        pool=ids.PoolName(card.pool),
        failure_domain=ids.FailureDomain(card.failure_domain),
        models=tuple(card.models),
        adapters=tuple(card.adapters),
        hardware=card.hardware,
        slots=card.slots,
        kv_tokens=card.kv_tokens,
        max_context=card.max_context,
        fences=card.fences,
        can_cancel=card.can_cancel,
        can_resume=card.can_resume,
        state=states.leaving if card.leaving else states.ready,
    )
    limits.check(announcement)
    return announcement


def left_ms(lease: servers.Lease, now: float) -> int:
    """Return the time left of a lease, in milliseconds, at least 0."""
    return max(int((lease.expires_at - now) * MS_PER_SECOND), 0)
