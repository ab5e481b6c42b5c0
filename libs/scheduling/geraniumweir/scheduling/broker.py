"""The entry host's side of asking: one face, wherever the pool leader is.

The leader of a pool in the own failure domain is found by rendezvous hashing
over the domain's live hosts. When it can't serve in time, the leaders in
other failure domains are asked, one after another, each once. When a leader
moves, the requests that wait move to the new one, and it gets the grants in
use.

See Also
========
geraniumweir.scheduling.asking, geraniumweir.scheduling.upkeep,
geraniumweir.scheduling.remote
"""

import asyncio
import dataclasses
import math
import typing

from geraniumweir.common import ids, timers
from geraniumweir.scheduling import (
    channel,
    home,
    owned,
    requesting,
    requests,
    spill,
    upkeep,
    views,
)
from geraniumweir.wire.gen.scheduling import ttypes

_PAUSE = 0.05
_HOME_PATIENCE = 3.0

_Answer = requests.Grant | requests.Denial
# What another leader may have: slots, and quotas of customers.
_FOR_WANT = frozenset(
    (
        requests.DenialReason.shed,
        requests.DenialReason.over_quota,
        requests.DenialReason.no_server,
    )
)


def _never() -> bool:
    return False


@dataclasses.dataclass(frozen=True, slots=True)
class _Tried:
    """What came of asking at home.

    :ivar slot_request: as it may go on to other failure domains.
    """

    slot_request: requests.SlotRequest
    answer: _Answer


class Broker:
    """Asks for grants on behalf of one entry host.

    :ivar on_preempt: told of a stream in flight that is to be cancelled.
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
        """Start without requests.

        :param domain: this host's failure domain.
        :param is_leader_due: tells whether this host leads its own requests
            for a moment only, as another one is being elected.
        """
        self.on_preempt: typing.Callable[[requests.Preempt], None] | None = None
        self._link = link
        self._directory = directory
        self._clock = clock
        self._mine = owned.Owned()
        self._home = home.HomeLeaders(domain, view, link.host_id)
        self._asker = requesting.SlotRequester(link, self._mine, clock)
        self._upkeep = upkeep.Upkeep(
            link,
            self._mine,
            self._home,
            self._asker,
            clock,
        )
        self._is_leader_due = is_leader_due
        self._withdrawn: set[ids.RequestId] = set()
        link.handle(ttypes.Preempt, self._on_preempt)

    async def request_slot(self, slot_request: requests.SlotRequest) -> _Answer:
        """Wait for a grant, here or in another failure domain.

        Whoever gets a grant dispatches at most once and then releases it.
        One that is cancelled while it waits leaves nothing behind.

        :param slot_request: its deadline is on the loop's clock; no request of the
            same id may be waiting or in use.
        """
        try:
            return await self._ask_everywhere(slot_request)
        except asyncio.CancelledError:
            given_up = requests.Outcome.given_up
            self.release(requests.Release(slot_request.request_id, given_up))
            raise
        finally:
            self._withdrawn.discard(slot_request.request_id)

    def withdraw(self, request_id: ids.RequestId) -> None:
        """End the waiting of a request whose caller went away."""
        self._withdrawn.add(request_id)
        place = self._mine.places.get(request_id)
        if place is not None:
            place.resolve(_withdrawn(request_id))

    def progress(self, progress: requests.Progress) -> None:
        """Tell the pool leader how granted work goes on."""
        found = self._mine.in_use.get(progress.request_id)
        if found is None:
            return
        found.first_token = progress.first_token
        found.output_tokens = progress.output_tokens
        message = ttypes.Progress(
            found.slot_request.pool,
            progress.request_id,
            progress.first_token,
            progress.output_tokens,
        )
        self._link.send(self._holder(found), message)

    def release(self, release: requests.Release) -> None:
        """Give a grant back; a repeat does nothing."""
        found = self._mine.in_use.pop(release.request_id, None)
        if found is not None:
            host = self._holder(found)
            self._upkeep.touch(host, found.slot_request.pool)
            self._asker.release(found, host, release)

    def close(self) -> None:
        """Stop the periodic work."""
        self._upkeep.close()

    def _holder(self, found: owned.InUse) -> ids.HostId:
        return (
            self._home.leader(found.slot_request.pool)
            if found.home
            else found.host
        )

    async def _ask_everywhere(
        self, slot_request: requests.SlotRequest
    ) -> _Answer:
        tried = await self._ask_home(slot_request)
        first = tried.answer
        if not _may_spill(first):
            return first
        slot_request = tried.slot_request
        others = self._directory.others(slot_request.pool)
        for pool in spill.in_order(slot_request, others):
            if self._clock.now() >= slot_request.deadline:
                break
            if slot_request.request_id in self._withdrawn:
                return _withdrawn(slot_request.request_id)
            answer = await self._ask_there(slot_request, pool.leader)
            if answer is not None and not _may_spill(answer):
                return answer
        return first

    async def _ask_home(self, slot_request: requests.SlotRequest) -> _Tried:
        until = self._clock.now() + _HOME_PATIENCE
        while slot_request.request_id not in self._withdrawn:
            host = self._home.leader(slot_request.pool)
            place = await self._ask_at(slot_request, host, at_home=True)
            slot_request = place.slot_request
            answer = place.fut.result()
            if answer is not None and not _is_elsewhere(answer):
                if not self._may_be_granted_soon(place, answer):
                    return _Tried(slot_request, answer)
            self._home.reject(slot_request.pool, place.host, place.hint)
            until = max(until, self._heard_at(place) + _HOME_PATIENCE)
            if self._clock.now() >= until:
                no_server = requests.DenialReason.no_server
                denial = requests.Denial(slot_request.request_id, no_server)
                return _Tried(slot_request, denial)
            await asyncio.sleep(_PAUSE)
        return _Tried(slot_request, _withdrawn(slot_request.request_id))

    def _may_be_granted_soon(self, place: owned.Place, answer: _Answer) -> bool:
        """Tell whether a denial of this host itself is worth a wait."""
        if isinstance(answer, requests.Grant):
            return False
        if place.host != self._link.host_id or not self._is_leader_due():
            return False
        return answer.reason in _FOR_WANT

    def _heard_at(self, place: owned.Place) -> float:
        """Tell when the place's leader last showed that it is there.

        A leader that answers other calls is there, so an ask that came to
        nothing was lost on the way and is worth repeating.
        """
        if place.reached:
            return self._clock.now()
        if place.failed:
            return -math.inf
        return self._mine.last_seen.get(place.host, -math.inf)

    async def _ask_there(
        self,
        slot_request: requests.SlotRequest,
        host: ids.HostId,
    ) -> _Answer | None:
        place = await self._ask_at(slot_request, host, at_home=False)
        answer = place.fut.result()
        if answer is None or not _is_elsewhere(answer):
            return answer
        if place.hint is None or place.hint == host:
            return None
        place = await self._ask_at(slot_request, place.hint, at_home=False)
        return place.fut.result()

    async def _ask_at(
        self,
        slot_request: requests.SlotRequest,
        host: ids.HostId,
        *,
        at_home: bool,
    ) -> owned.Place:
        self._upkeep.touch(host, slot_request.pool)
        return await self._asker.ask_at(slot_request, host, home=at_home)

    async def _on_preempt(
        self,
        _sender: ids.HostId,
        message: ttypes.Preempt,
    ) -> None:
        found = self._mine.in_use.get(ids.RequestId(message.request_id))
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


def _is_elsewhere(answer: _Answer) -> bool:
    if isinstance(answer, requests.Grant):
        return False
    return answer.reason is requests.DenialReason.not_leader


def _may_spill(answer: _Answer) -> bool:
    return isinstance(answer, requests.Denial) and spill.is_for_capacity(answer)


def _withdrawn(request_id: ids.RequestId) -> requests.Denial:
    return requests.Denial(request_id, requests.DenialReason.withdrawn)
