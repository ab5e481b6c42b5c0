"""How hosts tell each other of the limits that servers name.

An entry host tells its coordinator, the coordinator tells the others with its
answers to their pings: only what changed since the last one, whatever the
number of hosts.
"""

import math
import typing

from geraniumweir.common import eventlog, ids, timers
from geraniumweir.control import logevents
from geraniumweir.scheduling import ratelimits
from geraniumweir.wire import peers
from geraniumweir.wire.gen.control import ttypes

_MS = 1000
# Ages go as 32-bit numbers; what is older is told as a day old.
_OLDEST_MS = 86_400_000
_NOBODY = ids.HostId('')


class Teller:
    """What an entry host tells its coordinator, and hears from it."""

    def __init__(
        self,
        known: ratelimits.RateLimits,
        clock: timers.TimerService,
    ) -> None:
        """Tell nobody yet."""
        self.known = known
        self._clock = clock
        self._host = _NOBODY
        self._told = 0
        self._heard = 0

    def turn_to(self, host_id: ids.HostId) -> ttypes.RateLimits:
        """Take that another host coordinates; give all that it must know."""
        self._host = host_id
        self._told = 0
        self._heard = 0
        return ttypes.RateLimits(self.untold(host_id))

    def untold(self, host_id: ids.HostId) -> list[ttypes.RateLimit]:
        """Give what a host wasn't told yet; nothing to other hosts."""
        if host_id != self._host or self._told == self.known.revision:
            return []
        return pack(self.known.since(self._told), self._clock.now())

    def fill(self, host_id: ids.HostId, ping: ttypes.Ping) -> int:
        """Put into a ping what is to be told.

        :returns: how far the host knows all once it has answered.
        """
        if host_id == self._host:
            ping.limits = self.untold(host_id) or None
            ping.limits_revision = self._heard
        return self.known.revision

    def answered(
        self,
        host_id: ids.HostId,
        told: int,
        pong: ttypes.Pong,
    ) -> None:
        """Take the answer to a ping.

        :param told: what :meth:`fill` gave.
        """
        if host_id != self._host:
            return
        self._told = max(self._told, told)
        take(self.known, pong.limits or (), host_id, self._clock.now())
        self._heard = pong.limits_revision or 0


class Listener:
    """What a coordinator hears from entry hosts, and tells them."""

    def __init__(
        self,
        link: peers.Peers,
        known: ratelimits.RateLimits,
        clock: timers.TimerService,
    ) -> None:
        """Take what hosts tell from now on."""
        self._known = known
        self._clock = clock
        link.handle(ttypes.RateLimits, self._on_limits)

    def take(self, sender: ids.HostId, ping: ttypes.Ping) -> None:
        """Take what came with a ping."""
        now = self._clock.now()
        take(self._known, ping.limits or (), sender, now)

    def fill(self, ping: ttypes.Ping, pong: ttypes.Pong) -> None:
        """Put into an answer what the asker doesn't have."""
        if ping.limits_revision is None:
            return
        known = ping.limits_revision
        if known > self._known.revision:
            # It heard that from an earlier run of this host.
            known = 0
        news = pack(self._known.since(known), self._clock.now())
        pong.limits = news or None
        pong.limits_revision = self._known.revision

    async def _on_limits(
        self,
        sender: ids.HostId,
        message: ttypes.RateLimits,
    ) -> None:
        take(self._known, message.limits, sender, self._clock.now())


def pack(
    found: typing.Iterable[ratelimits.Said],
    now: float,
) -> list[ttypes.RateLimit]:
    """Make the structs.

    :param now: in seconds.
    """
    return [
        ttypes.RateLimit(
            said.server_id,
            said.incarnation,
            said.per_second,
            _age_ms(now - said.sent_at),
            _age_ms(now - said.heard_at),
        )
        for said in found
    ]


def take(
    known: ratelimits.RateLimits,
    told: typing.Iterable[ttypes.RateLimit],
    teller: ids.HostId,
    now: float,
) -> None:
    """Take what another host told; what can't be read is left out.

    :param now: in seconds.
    """
    for one in told:
        if _is_readable(one):
            known.hear(_said(one, now))
        else:
            eventlog.emit(
                logevents.LIMIT_LEFT_OUT,
                teller=teller,
                server=one.server_id or '',
            )


def _is_readable(one: ttypes.RateLimit) -> bool:
    parts = (one.server_id, one.incarnation, one.sent_ms, one.heard_ms)
    if any(part is None for part in parts):
        return False
    rate = one.per_second
    return rate is None or (math.isfinite(rate) and rate >= 0)


def _said(one: ttypes.RateLimit, now: float) -> ratelimits.Said:
    return ratelimits.Said(
        ids.ServerId(one.server_id),
        ids.Incarnation(one.incarnation),
        one.per_second,
        now - one.sent_ms / _MS,
        now - one.heard_ms / _MS,
    )


def _age_ms(seconds: float) -> int:
    return min(max(int(seconds * _MS), 0), _OLDEST_MS)
