"""Heartbeats between all hosts of a failure domain.

A heartbeat carries the incarnation of its sender and fingerprints of the
sender's state; a receiver whose fingerprint differs requests the state
(anti-entropy). Before a silent host counts as dead, inquiries about it go to
three other hosts each period (:mod:`geraniumweir.membership.suspicion`).
"""

import random
import typing

from geraniumweir.common import ids
from geraniumweir.membership import (
    cards,
    hosts,
    members,
    rosters,
    shared_state,
)
from geraniumweir.wire.gen.membership import ttypes

# Dead hosts are sent a heartbeat every tenth tick, so that the views join
# after a partition.
_DEAD_HEARTBEAT_TICKS = 10
_MS_PER_SECOND = 1000
_MAX_AGE_MS = 60_000

Renewals = list[ttypes.Renewal]


class LeaseCarrier(typing.Protocol):
    """Source and receiver of the lease renewals carried by heartbeats."""

    def renewals(self) -> Renewals:
        """Return the renewals for the next heartbeat."""

    def apply_renewals(self, sender: ids.HostId, renewed: Renewals) -> None:
        """Apply the renewals of a received heartbeat."""


class Heartbeats:
    """Sender and receiver of heartbeats.

    :ivar leases: carrier of lease renewals; None sends no renewals.
    """

    def __init__(
        self,
        shared: shared_state.SharedState,
        roster_exchange: rosters.RosterExchange,
        seed: int,
    ) -> None:
        """Register the handlers.

        :param seed: of the random choice of witnesses.
        """
        self._shared = shared
        self._roster_exchange = roster_exchange
        self._random = random.Random(seed)  # noqa: S311
        self._pull_limiter = shared_state.Limiter(shared.timing.period)
        self._last_tick_at = shared.now()
        self.leases: LeaseCarrier | None = None
        shared.peers.handle(ttypes.Heartbeat, self._on_heartbeat)
        shared.peers.handle(ttypes.Inquiry, self._on_inquiry)
        shared.peers.handle(ttypes.Voucher, self._on_voucher)
        shared.peers.handle(ttypes.Farewell, self._on_farewell)
        shared.peers.handle(ttypes.OutsideRequest, self._on_outside_request)
        shared.peers.handle(ttypes.OutsideList, self._on_outside_list)

    def tick(self, count: int) -> None:
        """Detect failures, then send heartbeats and inquiries.

        :param count: of ticks; dead hosts get a heartbeat on some only.
        """
        now = self._shared.now()
        self._detect_stall(now)
        self._shared.members.evaluate(now)
        self._shared.outside.sweep(now)
        self.send_heartbeats(with_dead=count % _DEAD_HEARTBEAT_TICKS == 0)
        self._send_inquiries()

    def send_heartbeats(self, *, with_dead: bool = False) -> None:
        """Send one heartbeat to the other hosts of the domain.

        :param with_dead: also to dead hosts.
        """
        states = [
            members.State.candidate,
            members.State.live,
            members.State.suspected,
        ]
        if with_dead:
            states.append(members.State.dead)
        message = self._message()
        for host in self._shared.members.others(*states):
            self._shared.peers.send(host.host_id, message)

    def send_farewell(self) -> None:
        """Notify the domain that this host stops."""
        message = ttypes.Farewell(self._shared.me.incarnation)
        view_states = (members.State.live, members.State.suspected)
        for host in self._shared.members.others(*view_states):
            self._shared.peers.send(host.host_id, message)

    def _message(self) -> ttypes.Heartbeat:
        shared = self._shared
        outside = None
        if shared.is_delegate():
            outside = _fingerprint(shared.outside.entries())
        return ttypes.Heartbeat(
            incarnation=shared.me.incarnation,
            hears=shared.members.reachable_count,
            roster=shared.members.roster,
            roles=shared.me.roles.value or None,
            outside=outside,
            log_index=shared.progress.newest.log_index or None,
            version=shared.progress.newest.version or None,
            notices=shared.notices.fingerprint(shared.now()),
            renewed=(self.leases and self.leases.renewals()) or None,
        )

    def _detect_stall(self, now: float) -> None:
        gap = now - self._last_tick_at - self._shared.timing.period
        self._last_tick_at = now
        if gap < self._shared.timing.stall:
            return
        self._shared.members.suspicion.shift_forward(gap, now)
        self._shared.outside.shift_forward(gap, now)
        self._shared.members.changes.on_next(
            hosts.SelfStalled(self._shared.me, gap),
        )

    def _send_inquiries(self) -> None:
        live = self._shared.members.others(members.State.live)
        for suspect in self._shared.members.others(members.State.suspected):
            message = ttypes.Inquiry(suspect.host_id, suspect.incarnation)
            count = min(self._shared.timing.witnesses, len(live))
            chosen = self._random.sample(live, count)
            for witness in chosen:
                self._shared.peers.send(witness.host_id, message)

    async def _on_heartbeat(
        self,
        sender: ids.HostId,
        message: ttypes.Heartbeat,
    ) -> None:
        incarnation = ids.Incarnation(message.incarnation)
        member = self._shared.members.record_heartbeat(
            sender,
            incarnation,
            self._shared.now(),
        )
        if member is None:
            self._request_card(sender, incarnation)
            return
        roles = hosts.Role(message.roles or 0)
        self._shared.members.update(member, roles, message.hears)
        self._shared.progress.raise_to(message.log_index, message.version)
        if self.leases and message.renewed:
            self.leases.apply_renewals(sender, message.renewed)
        self._compare(sender, message)

    def _request_card(self, sender: ids.HostId, incarnation: int) -> None:
        member = self._shared.members.member(sender)
        if member is None or member.host.incarnation < incarnation:
            self._roster_exchange.request_roster(
                sender, self._shared.me.failure_domain
            )

    def _compare(self, sender: ids.HostId, message: ttypes.Heartbeat) -> None:
        if message.roster != self._shared.members.roster:
            self._roster_exchange.request_own_roster(sender)
        now = self._shared.now()
        own_notices = self._shared.notices.fingerprint(now)
        if message.notices and message.notices != own_notices:
            if self._pull_limiter.allows(ttypes.NoticesRequest, now):
                self._shared.peers.send(sender, ttypes.NoticesRequest())
        if message.outside and sender == self._shared.followed():
            self._compare_followed(sender, message.outside)

    def _compare_followed(self, sender: ids.HostId, fingerprint: int) -> None:
        outside = self._shared.outside
        entries = outside.entries(sender)
        if _fingerprint(entries) == fingerprint:
            for domain, roster in entries:
                outside.refresh(domain, sender, roster, self._shared.now())
        elif self._pull_limiter.allows(
            ttypes.OutsideRequest, self._shared.now()
        ):
            self._shared.peers.send(sender, ttypes.OutsideRequest())

    async def _on_outside_request(
        self,
        sender: ids.HostId,
        message: ttypes.OutsideRequest,
    ) -> None:
        entries = [
            ttypes.OutsideEntry(domain, roster)
            for domain, roster in self._shared.outside.entries()
        ]
        self._shared.peers.send(sender, ttypes.OutsideList(entries))

    async def _on_outside_list(
        self,
        sender: ids.HostId,
        message: ttypes.OutsideList,
    ) -> None:
        if sender != self._shared.followed():
            return
        outside = self._shared.outside
        named = {
            ids.FailureDomain(entry.failure_domain): entry.roster
            for entry in message.entries
        }
        outside.retain_only(sender, named)
        for domain, roster in named.items():
            if outside.refresh(domain, sender, roster, self._shared.now()):
                self._roster_exchange.request_roster(sender, domain)

    async def _on_inquiry(
        self,
        sender: ids.HostId,
        message: ttypes.Inquiry,
    ) -> None:
        subject = ids.HostId(message.host_id)
        member = self._shared.members.member(subject)
        age = self._shared.members.suspicion.direct_silence_seconds(
            subject,
            self._shared.now(),
        )
        if member is None or age is None:
            return
        if member.host.incarnation != message.incarnation:
            return
        age_ms = min(int(age * _MS_PER_SECOND), _MAX_AGE_MS)
        self._shared.peers.send(
            sender,
            ttypes.Voucher(subject, message.incarnation, age_ms),
        )

    async def _on_voucher(
        self,
        sender: ids.HostId,
        message: ttypes.Voucher,
    ) -> None:
        subject = ids.HostId(message.host_id)
        member = self._shared.members.member(subject)
        if member is None or member.host.incarnation != message.incarnation:
            return
        when = self._shared.now() - max(message.age_ms, 0) / _MS_PER_SECOND
        self._shared.members.suspicion.record_indirect(subject, when)

    async def _on_farewell(
        self,
        sender: ids.HostId,
        message: ttypes.Farewell,
    ) -> None:
        self._shared.members.record_farewell(
            sender,
            ids.Incarnation(message.incarnation),
            self._shared.now(),
        )


def _fingerprint(entries: list[tuple[ids.FailureDomain, int]]) -> int:
    return cards.signed_crc32(
        ' '.join(f'{domain} {roster}' for domain, roster in entries),
    )
