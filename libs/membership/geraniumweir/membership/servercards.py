"""Leases of backend servers as messages."""

from geraniumweir.common import ids
from geraniumweir.membership import limits, servers
from geraniumweir.wire.gen.membership import ttypes

MILLIS = 1000


def write(lease: servers.Lease, now: float) -> ttypes.ServerCard:
    """Turn a lease into a card that says how much of it is left."""
    said = lease.announcement
    return ttypes.ServerCard(
        server_id=said.server_id,
        incarnation=said.incarnation,
        address=str(said.address),
        kind=said.kind,
        pool=said.pool,
        failure_domain=said.failure_domain,
        models=list(said.models),
        adapters=list(said.adapters),
        hardware=said.hardware,
        slots=said.slots,
        kv_tokens=said.kv_tokens,
        max_context=said.max_context,
        fences=said.fences,
        can_cancel=said.can_cancel,
        can_resume=said.can_resume,
        leaving=said.state is servers.ServerState.leaving,
        left_ms=left_ms(lease, now),
    )


def read(card: ttypes.ServerCard) -> servers.Announcement:
    """Turn a card into what the server said.

    :raises errors.AnnouncementError: when it is beyond the limits.
    :raises ValueError: when the address is none.
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
    """Tell how much of a lease is left, in milliseconds."""
    return max(int((lease.until - now) * MILLIS), 0)
