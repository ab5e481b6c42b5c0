"""Heartbeats inside a failure domain, each host to each other host.

A heartbeat says that its sender lives and in which life, and carries
fingerprints of what the sender knows, so that whoever knows something else
asks for it. A silent host is asked about among three others before it is
held for dead (:mod:`geraniumweir.membership.suspicion`).
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

_DEAD_EVERY = 10
_MILLIS = 1000
_MAX_AGE_MS = 60_000

Renewals = list[ttypes.Renewal]


class LeaseCarrier(typing.Protocol):
    """What has leases of backend servers carried by heartbeats."""

    def renewals(self) -> Renewals:
        """Give what the next heartbeat carries."""

    def take_renewals(self, sender: ids.HostId, renewed: Renewals) -> None:
        """Take what a heartbeat brought."""


class Heartbeats:
    """Sends and takes in heartbeats."""

    def __init__(
        self,
        known: shared_state.SharedState,
        lists: rosters.Rosters,
        seed: int,
    ) -> None:
        """Register the handlers.

        :param seed: of the choice of witnesses.
        """
        self._known = known
        self._lists = lists
        self._random = random.Random(seed)  # noqa: S311
        self._pulls = shared_state.Limiter(known.timing.period)
        self._last = known.now()
        self.leases: LeaseCarrier | None = None
        known.peers.handle(ttypes.Heartbeat, self._on_heartbeat)
        known.peers.handle(ttypes.Inquiry, self._on_inquiry)
        known.peers.handle(ttypes.Voucher, self._on_voucher)
        known.peers.handle(ttypes.Farewell, self._on_farewell)
        known.peers.handle(ttypes.OutsideRequest, self._on_outside_request)
        known.peers.handle(ttypes.OutsideList, self._on_outside_list)

    def tick(self, count: int) -> None:
        """Judge the others, then send to them.

        :param count: of ticks; the long dead are sent to only now and then.
        """
        now = self._known.now()
        self._notice_stall(now)
        self._known.members.judge(now)
        self._known.outside.sweep(now)
        self.beat(with_dead=count % _DEAD_EVERY == 0)
        self._inquire()

    def beat(self, *, with_dead: bool = False) -> None:
        """Send one heartbeat to all hosts of the domain."""
        states = [
            members.State.candidate,
            members.State.live,
            members.State.suspected,
        ]
        if with_dead:
            states.append(members.State.dead)
        message = self._message()
        for host in self._known.members.others(*states):
            self._known.peers.send(host.host_id, message)

    def farewell(self) -> None:
        """Tell the domain that this host stops."""
        message = ttypes.Farewell(self._known.me.incarnation)
        counted = (members.State.live, members.State.suspected)
        for host in self._known.members.others(*counted):
            self._known.peers.send(host.host_id, message)

    def _message(self) -> ttypes.Heartbeat:
        known = self._known
        outside = None
        if known.is_delegate():
            outside = _fingerprint(known.outside.entries())
        return ttypes.Heartbeat(
            incarnation=known.me.incarnation,
            hears=known.members.hears,
            roster=known.members.roster,
            roles=known.me.roles.value or None,
            outside=outside,
            log_index=known.progress.newest.log_index or None,
            version=known.progress.newest.version or None,
            notices=known.notices.fingerprint(known.now()),
            renewed=(self.leases and self.leases.renewals()) or None,
        )

    def _notice_stall(self, now: float) -> None:
        gap = now - self._last - self._known.timing.period
        self._last = now
        if gap < self._known.timing.stall:
            return
        self._known.members.suspicion.excuse(gap, now)
        self._known.outside.excuse(gap, now)
        self._known.members.changes.on_next(
            hosts.SelfStalled(self._known.me, gap),
        )

    def _inquire(self) -> None:
        live = self._known.members.others(members.State.live)
        for suspect in self._known.members.others(members.State.suspected):
            message = ttypes.Inquiry(suspect.host_id, suspect.incarnation)
            count = min(self._known.timing.witnesses, len(live))
            asked = self._random.sample(live, count)
            for witness in asked:
                self._known.peers.send(witness.host_id, message)

    async def _on_heartbeat(
        self,
        sender: ids.HostId,
        message: ttypes.Heartbeat,
    ) -> None:
        incarnation = ids.Incarnation(message.incarnation)
        member = self._known.members.beat(
            sender,
            incarnation,
            self._known.now(),
        )
        if member is None:
            self._ask_who(sender, incarnation)
            return
        roles = hosts.Role(message.roles or 0)
        self._known.members.update(member, roles, message.hears)
        self._known.progress.raise_to(message.log_index, message.version)
        if self.leases and message.renewed:
            self.leases.take_renewals(sender, message.renewed)
        self._compare(sender, message)

    def _ask_who(self, sender: ids.HostId, incarnation: int) -> None:
        member = self._known.members.member(sender)
        if member is None or member.host.incarnation < incarnation:
            self._lists.ask(sender, self._known.me.failure_domain)

    def _compare(self, sender: ids.HostId, message: ttypes.Heartbeat) -> None:
        if message.roster != self._known.members.roster:
            self._lists.repair(sender)
        now = self._known.now()
        noticed = self._known.notices.fingerprint(now)
        if message.notices and message.notices != noticed:
            if self._pulls.allows(ttypes.NoticesRequest, now):
                self._known.peers.send(sender, ttypes.NoticesRequest())
        if message.outside and sender == self._known.followed():
            self._follow(sender, message.outside)

    def _follow(self, sender: ids.HostId, fingerprint: int) -> None:
        outside = self._known.outside
        entries = outside.entries(sender)
        if _fingerprint(entries) == fingerprint:
            for domain, roster in entries:
                outside.fresh(domain, sender, roster, self._known.now())
        elif self._pulls.allows(ttypes.OutsideRequest, self._known.now()):
            self._known.peers.send(sender, ttypes.OutsideRequest())

    async def _on_outside_request(
        self,
        sender: ids.HostId,
        message: ttypes.OutsideRequest,
    ) -> None:
        entries = [
            ttypes.OutsideEntry(domain, roster)
            for domain, roster in self._known.outside.entries()
        ]
        self._known.peers.send(sender, ttypes.OutsideList(entries))

    async def _on_outside_list(
        self,
        sender: ids.HostId,
        message: ttypes.OutsideList,
    ) -> None:
        if sender != self._known.followed():
            return
        outside = self._known.outside
        named = {
            ids.FailureDomain(entry.failure_domain): entry.roster
            for entry in message.entries
        }
        outside.keep_only(sender, named)
        for domain, roster in named.items():
            if outside.fresh(domain, sender, roster, self._known.now()):
                self._lists.ask(sender, domain)

    async def _on_inquiry(
        self,
        sender: ids.HostId,
        message: ttypes.Inquiry,
    ) -> None:
        subject = ids.HostId(message.host_id)
        member = self._known.members.member(subject)
        age = self._known.members.suspicion.direct_age(
            subject,
            self._known.now(),
        )
        if member is None or age is None:
            return
        if member.host.incarnation != message.incarnation:
            return
        age_ms = min(int(age * _MILLIS), _MAX_AGE_MS)
        self._known.peers.send(
            sender,
            ttypes.Voucher(subject, message.incarnation, age_ms),
        )

    async def _on_voucher(
        self,
        sender: ids.HostId,
        message: ttypes.Voucher,
    ) -> None:
        subject = ids.HostId(message.host_id)
        member = self._known.members.member(subject)
        if member is None or member.host.incarnation != message.incarnation:
            return
        when = self._known.now() - max(message.age_ms, 0) / _MILLIS
        self._known.members.suspicion.vouched(subject, when)

    async def _on_farewell(
        self,
        sender: ids.HostId,
        message: ttypes.Farewell,
    ) -> None:
        self._known.members.farewell(
            sender,
            ids.Incarnation(message.incarnation),
            self._known.now(),
        )


def _fingerprint(entries: list[tuple[ids.FailureDomain, int]]) -> int:
    return cards.hash_of(
        ' '.join(f'{domain} {roster}' for domain, roster in entries),
    )
