"""Slot requests of an entry host, independent of where the pool leader is.

The leader of a pool in the own failure domain is found by rendezvous hashing
over the domain's live hosts. When it can't serve in time, the slot request
goes to the leaders in other failure domains, one after another, each once.
When a leader moves, the waiting requests move to the new one, which also gets
the grants in use.

Waits without an answer are limited; see
:mod:`geraniumweir.scheduling.ask_limits`.

See Also
========
geraniumweir.scheduling.requesting, geraniumweir.scheduling.upkeep,
geraniumweir.scheduling.remote
"""

import asyncio
import dataclasses
import math
import random
import typing

from geraniumweir.common import ids, timers
from geraniumweir.scheduling import (
    ask_limits,
    channel,
    home,
    owned,
    requesting,
    requests,
    spill,
    throttle,
    translation,
    upkeep,
    views,
)
from geraniumweir.wire.gen.scheduling import ttypes

_RETRY_PAUSE_SECONDS = 0.05
_HOME_TIMEOUT_SECONDS = 3.0

_Answer = requests.Grant | requests.Denial
# Denials for lack of slots or quota, which another leader may have.
_CAPACITY_REASONS = frozenset(
    (
        requests.DenialReason.shed,
        requests.DenialReason.over_quota,
        requests.DenialReason.no_server,
    )
)


def _never() -> bool:
    return False


@dataclasses.dataclass(frozen=True, slots=True)
class _HomeAnswer:
    """Answer of the leader in the own failure domain.

    :ivar slot_request: in the form for other failure domains.
    """

    slot_request: requests.SlotRequest
    answer: _Answer


class Broker:
    """Scheduler that forwards one entry host's requests to pool leaders.

    :ivar on_preempt: called with a running stream that is to be cancelled.
    """

    def __init__(
        self,
        link: channel.Channel,
        domain: ids.FailureDomain,
        view: views.HostView,
        directory: views.PoolDirectory,
        clock: timers.TimerService,
        is_leader_due: typing.Callable[[], bool] = _never,
    ) -> None:
        """Initialize without requests.

        :param domain: this host's failure domain.
        :param is_leader_due: returns whether this host leads its own requests
            only temporarily, as an election is in progress.
        """
        self.on_preempt: typing.Callable[[requests.Preempt], None] | None = None
        self._link = link
        self._directory = directory
        self._clock = clock
        self._owned = owned.Owned()
        self._home = home.HomeLeaders(domain, view, link.host_id)
        self._requester = requesting.SlotRequester(link, self._owned, clock)
        self._upkeep = upkeep.Upkeep(
            link,
            self._owned,
            self._home,
            self._requester,
            clock,
        )
        self._is_leader_due = is_leader_due
        self._throttle = throttle.Throttle(
            clock.now, random.Random(link.host_id)
        )
        self._withdrawn: set[ids.RequestId] = set()
        link.handle(ttypes.Preempt, self._on_preempt)

    async def request_slot(self, slot_request: requests.SlotRequest) -> _Answer:
        """Wait for a grant, here or in another failure domain.

        The caller dispatches at most once on a grant and then releases it. A
        cancelled call leaves neither a waiting request nor a grant.

        :param slot_request: its deadline is on the loop's clock; no request
            of the same id may be waiting or in use.
        """
        try:
            return await self._request_everywhere(slot_request)
        except asyncio.CancelledError:
            given_up = requests.Outcome.given_up
            self.release(requests.Release(slot_request.request_id, given_up))
            raise
        finally:
            self._withdrawn.discard(slot_request.request_id)

    def withdraw(self, request_id: ids.RequestId) -> None:
        """Withdraw a waiting request whose caller disconnected."""
        self._withdrawn.add(request_id)
        place = self._owned.places.get(request_id)
        if place is not None:
            place.resolve(_withdrawn(request_id))

    def progress(self, progress: requests.Progress) -> None:
        """Report the progress of granted work to the pool leader."""
        found = self._owned.in_use.get(progress.request_id)
        if found is None:
            return
        found.first_token = progress.first_token
        found.output_tokens = progress.output_tokens
        message = translation.pack_progress(found.slot_request.pool, progress)
        self._link.send(self._leader_for(found), message)

    def release(self, release: requests.Release) -> None:
        """Release a grant; a repeated release has no effect."""
        found = self._owned.in_use.pop(release.request_id, None)
        if found is not None:
            host = self._leader_for(found)
            self._upkeep.touch(host, found.slot_request.pool)
            self._requester.release(found, host, release)

    def close(self) -> None:
        """Stop the periodic work."""
        self._upkeep.close()

    def _leader_for(self, found: owned.InUse) -> ids.HostId:
        return (
            self._home.leader(found.slot_request.pool)
            if found.home
            else found.host
        )

    async def _request_everywhere(
        self, slot_request: requests.SlotRequest
    ) -> _Answer:
        home_answer = await self._request_at_home(slot_request)
        first = home_answer.answer
        if not _may_spill(first):
            return first
        slot_request = home_answer.slot_request
        others = self._directory.others(slot_request.pool)
        for pool in spill.in_order(slot_request, others):
            if self._clock.now() >= slot_request.deadline:
                break
            if slot_request.request_id in self._withdrawn:
                return _withdrawn(slot_request.request_id)
            answer = await self._request_elsewhere(slot_request, pool.leader)
            if answer is not None and not _may_spill(answer):
                return answer
        return first

    async def _request_at_home(
        self, slot_request: requests.SlotRequest
    ) -> _HomeAnswer:
        withheld = self._throttle.denial(slot_request)
        if withheld is not None:
            return _HomeAnswer(slot_request, withheld)
        now = self._clock.now()
        wait = ask_limits.begin(slot_request, now)
        give_up_at = now + _HOME_TIMEOUT_SECONDS
        while slot_request.request_id not in self._withdrawn:
            host = self._home.leader(slot_request.pool)
            place = await self._request_at(
                slot_request, host, wait, at_home=True
            )
            slot_request = place.slot_request
            answer = place.fut.result()
            if answer is not None and not _is_not_leader(answer):
                self._throttle.record_answer(slot_request.tier, answer)
                if not self._may_be_granted_soon(place, answer):
                    return _HomeAnswer(slot_request, answer)
            self._home.reject(slot_request.pool, place.host, place.hint)
            give_up_at = max(
                give_up_at, self._last_seen_at(place) + _HOME_TIMEOUT_SECONDS
            )
            now = self._clock.now()
            if now >= wait.refuse_at():
                return _HomeAnswer(
                    slot_request, wait.denial_at(slot_request, now)
                )
            if now >= give_up_at:
                return _HomeAnswer(
                    slot_request, wait.no_answer(slot_request, now)
                )
            await asyncio.sleep(_RETRY_PAUSE_SECONDS)
        return _HomeAnswer(slot_request, _withdrawn(slot_request.request_id))

    def _may_be_granted_soon(self, place: owned.Place, answer: _Answer) -> bool:
        """Return whether a new leader may grant what this host denied."""
        if isinstance(answer, requests.Grant):
            return False
        if place.host != self._link.host_id or not self._is_leader_due():
            return False
        return answer.reason in _CAPACITY_REASONS

    def _last_seen_at(self, place: owned.Place) -> float:
        """Return when the place's leader was last seen, in seconds.

        A leader that answers other calls is alive, so a slot request without
        an answer was lost in transit and is worth repeating.
        """
        if place.reached:
            return self._clock.now()
        if place.failed:
            return -math.inf
        return self._owned.last_seen.get(place.host, -math.inf)

    async def _request_elsewhere(
        self,
        slot_request: requests.SlotRequest,
        host: ids.HostId,
    ) -> _Answer | None:
        wait = ask_limits.begin(slot_request, self._clock.now())
        place = await self._request_at(slot_request, host, wait, at_home=False)
        answer = place.fut.result()
        if answer is None or not _is_not_leader(answer):
            return answer
        if place.hint is None or place.hint == host:
            return None
        place = await self._request_at(
            slot_request, place.hint, wait, at_home=False
        )
        return place.fut.result()

    async def _request_at(
        self,
        slot_request: requests.SlotRequest,
        host: ids.HostId,
        wait: ask_limits.Wait,
        *,
        at_home: bool,
    ) -> owned.Place:
        self._upkeep.touch(host, slot_request.pool)
        return await self._requester.request_at(
            slot_request, host, wait, home=at_home
        )

    async def _on_preempt(
        self,
        _sender: ids.HostId,
        message: ttypes.Preempt,
    ) -> None:
        found = self._owned.in_use.get(ids.RequestId(message.request_id))
        if found is None or found.grant.server_id != message.server_id:
            return
        if self.on_preempt is not None:
            self.on_preempt(
                requests.Preempt(
                    found.slot_request.request_id,
                    self._link.host_id,
                    found.grant.server_id,
                ),
            )


def _is_not_leader(answer: _Answer) -> bool:
    if isinstance(answer, requests.Grant):
        return False
    return answer.reason is requests.DenialReason.not_leader


def _may_spill(answer: _Answer) -> bool:
    return isinstance(answer, requests.Denial) and spill.is_for_capacity(answer)


def _withdrawn(request_id: ids.RequestId) -> requests.Denial:
    return requests.Denial(request_id, requests.DenialReason.withdrawn)
