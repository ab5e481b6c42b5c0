"""Service of this host's pool leaders for entry hosts.

A new leader requests the grants in use and the waiting requests from every
entry host of its failure domain, and grants nothing before they have answered
or the takeover window is over; the pool leader measures the window itself. A
slot request for a pool that this host doesn't lead is answered ``not
leader``.
"""

import asyncio
import functools
import random
import typing

from geraniumweir.common import eventlog, ids, timers
from geraniumweir.scheduling import (
    answer_delivery,
    granted_streams,
    channel,
    home,
    led,
    logevents,
    requests,
    stream_origins,
    takeover,
    throttle,
    translation,
    turns,
    views,
)
from geraniumweir.wire.gen.scheduling import ttypes

_QUICK_ANSWER_SECONDS = 0.005
_OWNER_SILENCE_SECONDS = 4.0
_CHECK_PERIOD_SECONDS = 1.0

OnPreempt = typing.Callable[[requests.Preempt], None]
OnStreamBegin = typing.Callable[[stream_origins.StreamBegin], typing.Any]
MakeLeader = typing.Callable[[ids.PoolName, OnPreempt], views.PoolLeader]


class LeaderService:
    """Leaders of the pools of a failure domain that this host leads."""

    def __init__(
        self,
        link: channel.Channel,
        view: views.HostView,
        domain: ids.FailureDomain,
        make_leader: MakeLeader,
        clock: timers.TimerService,
        gate: led.Gate | None = None,
        on_stream_begin: OnStreamBegin | None = None,
    ) -> None:
        """Initialize and register the handlers of entry hosts' messages.

        :param make_leader: returns a new leader of a pool, whose takeover
            window should be :data:`takeover.TAKEOVER_WINDOW_SECONDS`.
        :param gate: admits slot requests before the leaders see them.
        :param on_stream_begin: called with each stream that begins, and with
            what grants tell of streams of the same content.
        """
        self._on_stream_begin = on_stream_begin
        self._link = link
        self._view = view
        self._domain = domain
        self._make_leader = make_leader
        self._clock = clock
        self._gate = gate
        self._leader_of = functools.partial(
            home.leader_by_view,
            domain,
            view=view,
            host_id=link.host_id,
        )
        self._closed = False
        self._turns = turns.Turns(clock)
        self._rng = random.Random(link.host_id)
        self._pools: dict[ids.PoolName, led.LedPool] = {}
        self._subscriptions = (
            view.changes.subscribe(lambda _: self._follow_view()),
            clock.every(_CHECK_PERIOD_SECONDS).subscribe(
                lambda _: self._check()
            ),
        )
        link.handle(ttypes.Ask, self._on_ask)
        link.handle(ttypes.Withdraw, self._on_withdraw)
        link.handle(ttypes.Release, self._on_release)
        link.handle(ttypes.Progress, self._on_progress)
        link.handle(ttypes.Sync, self._on_sync)
        link.handle(ttypes.Handover, self._on_handover)

    def leader(self, pool: ids.PoolName) -> views.PoolLeader | None:
        """Return the leader of a pool, or None if it is on another host."""
        found = self._led(pool)
        return None if found is None else found.leader

    def pools(self) -> list[ids.PoolName]:
        """List the pools led here."""
        return list(self._pools)

    def close(self) -> None:
        """Stop leading; waiting slot requests are answered ``not leader``.

        So are those that still arrive.
        """
        self._closed = True
        for subscription in self._subscriptions:
            subscription.dispose()
        for pool in self.pools():
            self._hand_over(pool)

    def _led(self, pool: ids.PoolName) -> led.LedPool | None:
        if self._closed or self._leader_of(pool) != self._link.host_id:
            return None
        found = self._pools.get(pool)
        if found is None:
            found = led.LedPool(
                pool,
                self._make_leader(pool, self._preempt),
                self._clock.now,
                self._answered,
                self._gate,
            )
            self._pools[pool] = found
            eventlog.emit(logevents.LEADERSHIP_STARTED, pool=pool)
            hosts = self._view.owners(self._domain)
            work = takeover.run(self._link, found, hosts, self._clock)
            self._link.start(work)
        return found

    async def _on_ask(
        self,
        _sender: ids.HostId,
        message: ttypes.Ask,
    ) -> ttypes.AskReply:
        now = self._clock.now()
        request_id = ids.RequestId(message.request_id)
        found = self._led(message.pool)
        if found is not None and request_id not in found.entries:
            tier = ids.Tier(message.tier)
            if not await self._turns.wait(request_id, tier):
                return _busy_reply(message, self._rng)
            # Another host may lead by now.
            found = self._led(message.pool)
        if found is None:
            return _denial_reply(
                requests.DenialReason.not_leader,
                self._leader_of(message.pool),
            )
        slot_request = translation.unpack_ask(message, now)
        entry = found.join(slot_request, message.attempt)
        if entry is None:
            return _denial_reply(requests.DenialReason.withdrawn)
        await _wait_for_quick_answer(entry)
        reply = ttypes.AskReply(**answer_delivery.packed(entry.answer))
        found.discard_denied(entry)
        return reply

    async def _on_withdraw(
        self,
        _sender: ids.HostId,
        message: ttypes.Withdraw,
    ) -> None:
        self._turns.withdraw(ids.RequestId(message.request_id))
        found = self._pools.get(message.pool)
        if found is not None:
            found.withdraw(message.request_id, message.attempt)

    async def _on_release(
        self,
        _sender: ids.HostId,
        message: ttypes.Release,
    ) -> None:
        found = self._pools.get(message.pool)
        if found is not None:
            release = translation.unpack_release(message)
            found.release(release, message.attempt)

    async def _on_progress(
        self,
        _sender: ids.HostId,
        message: ttypes.Progress,
    ) -> None:
        progress = translation.unpack_progress(message)
        if progress.begin is not None and self._on_stream_begin is not None:
            self._on_stream_begin(progress.begin)
        found = self._pools.get(message.pool)
        if found is not None:
            found.leader.progress(progress)

    async def _on_sync(
        self,
        sender: ids.HostId,
        message: ttypes.Sync,
    ) -> ttypes.SyncReply:
        found = self._led(message.pool)
        if found is None:
            return ttypes.SyncReply(leads=False, waiting=[], open=[])
        waiting, in_use = found.compare(
            sender,
            message.attempt,
            frozenset(message.waiting),
            frozenset(message.open),
        )
        return ttypes.SyncReply(leads=True, waiting=waiting, open=in_use)

    async def _on_handover(
        self,
        _sender: ids.HostId,
        message: ttypes.Handover,
    ) -> None:
        found = self._led(message.pool)
        if found is not None:
            takeover.adopt(found, message, self._clock.now())

    def _answered(self, found: led.LedPool, entry: led.Entry) -> None:
        self._record_stream(entry)
        if not entry.call_open and not entry.notifying:
            entry.notifying = True
            self._link.start(answer_delivery.deliver(self._link, found, entry))

    def _record_stream(self, entry: led.Entry) -> None:
        answer = entry.answer
        slot_request = entry.slot_request
        if self._on_stream_begin is None or isinstance(answer, requests.Denial):
            return
        if answer is not None and slot_request.streams:
            begin = granted_streams.of_grant(
                slot_request, answer, self._clock.now()
            )
            self._on_stream_begin(begin)

    def _preempt(self, preempt: requests.Preempt) -> None:
        message = ttypes.Preempt(preempt.request_id, preempt.server_id)
        self._link.send(preempt.owner, message)

    def _follow_view(self) -> None:
        for pool in self.pools():
            if self._leader_of(pool) != self._link.host_id:
                self._hand_over(pool)

    def _hand_over(self, pool: ids.PoolName) -> None:
        eventlog.emit(logevents.LEADERSHIP_ENDED, pool=pool)
        for entry in self._pools.pop(pool).close():
            reason = requests.DenialReason.not_leader
            entry.answer = requests.Denial(
                entry.slot_request.request_id, reason
            )
            self._link.send(
                entry.slot_request.owner, answer_delivery.message(entry)
            )

    def _check(self) -> None:
        last_seen_before = self._clock.now() - _OWNER_SILENCE_SECONDS
        for found in self._pools.values():
            _remove_silent(found, last_seen_before)


def _remove_silent(found: led.LedPool, last_seen_before: float) -> None:
    for owner in found.silent_owners(last_seen_before):
        count = found.remove_owner(owner)
        if count:
            eventlog.emit(logevents.OWNER_SILENT, owner=owner, count=count)


async def _wait_for_quick_answer(entry: led.Entry) -> None:
    """Wait briefly, so that the call's reply can carry a quick answer."""
    if entry.work is None or entry.notifying:
        return
    entry.call_open = True
    try:
        await asyncio.wait((entry.work,), timeout=_QUICK_ANSWER_SECONDS)
    finally:
        entry.call_open = False


def _denial_reply(
    reason: requests.DenialReason,
    holder: ids.HostId | None = None,
) -> ttypes.AskReply:
    denial = ttypes.Denial(reason.value, 0)
    return ttypes.AskReply(denial=denial, leader=holder)


def _busy_reply(message: ttypes.Ask, rng: random.Random) -> ttypes.AskReply:
    """Return the denial of a slot request that this host has no time for."""
    denial = throttle.busy(
        ids.RequestId(message.request_id), message.time_left, rng
    )
    return ttypes.AskReply(denial=translation.pack_denial(denial))
