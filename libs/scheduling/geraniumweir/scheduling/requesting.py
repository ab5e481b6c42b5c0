"""Delivery of an entry host's slot requests to one pool leader.

A slot request is sent until the leader has it; the leader joins repeats. The
answer arrives in the call's reply or, for a slot request that waits, in a
separate message. A grant for a place that no longer waits is rejected at once,
so that the leader releases it. A request whose wait is over without an answer
is denied here; see :mod:`geraniumweir.scheduling.ask_limits`.
"""

import asyncio
import dataclasses

from geraniumweir.common import eventlog, ids, timers
from geraniumweir.scheduling import (
    ask_limits,
    channel,
    logevents,
    owned,
    requests,
    translation,
)
from geraniumweir.wire import errors
from geraniumweir.wire.gen.scheduling import ttypes

_REQUEST_TIMEOUT_SECONDS = 0.5
_REQUEST_ATTEMPTS = 3
_RELEASE_TIMEOUT_SECONDS = 0.5
_RELEASE_ATTEMPTS = 3
_RETRY_PAUSE_SECONDS = 0.05


class SlotRequester:
    """Client of pool leaders for the requests of one entry host."""

    def __init__(
        self,
        link: channel.Channel,
        mine: owned.Owned,
        clock: timers.TimerService,
    ) -> None:
        """Initialize and register for the leaders' answers."""
        self._link = link
        self._owned = mine
        self._clock = clock
        link.handle(ttypes.Answer, self._on_answer)

    async def request_at(
        self,
        slot_request: requests.SlotRequest,
        host: ids.HostId,
        wait: ask_limits.Wait,
        *,
        home: bool,
    ) -> owned.Place:
        """Wait in one leader's queue.

        :param wait: until when the request may wait.
        :param home: whether it leads the pool in the own failure domain.
        :returns: the place with its answer; None as answer means that the
            leader is unreachable or lost the slot request.
        """
        fut = asyncio.get_running_loop().create_future()
        attempt = self._owned.next_attempt()
        place = owned.Place(slot_request, host, home, attempt, fut, wait)
        self._owned.places[slot_request.request_id] = place
        self.deliver(place)
        try:
            await self._answered(place)
        finally:
            self._owned.places.pop(slot_request.request_id, None)
            self._leave_queue(place)
        return place

    def deliver(self, place: owned.Place) -> None:
        """Send the slot request until the leader has it."""
        if place.delivery is not None:
            place.delivery.cancel()
        place.delivery = self._link.start(
            self._deliver(place, place.slot_request)
        )

    def move(self, place: owned.Place, host: ids.HostId) -> None:
        """Move a waiting request to another leader of the same pool."""
        self._withdraw(place)
        place.host = host
        place.attempt = self._owned.next_attempt()
        # The new leader doesn't have it yet.
        place.reached = False
        place.failed = False
        place.hint = None
        self.deliver(place)

    def release(
        self,
        found: owned.InUse,
        host: ids.HostId,
        release: requests.Release,
    ) -> None:
        """Release a grant at the pool's current leader."""
        message = translation.pack_release(
            found.slot_request.pool,
            release,
            found.attempt,
        )
        self._link.start(self._release(host, message))

    async def _answered(self, place: owned.Place) -> None:
        while not place.fut.done():
            now = self._clock.now()
            wait = place.wait
            if now >= wait.refuse_at():
                place.resolve(wait.denial_at(place.slot_request, now))
                return
            wakes_at = wait.refuse_at()
            if wait.needs_confirmation():
                if now < wait.confirm_at():
                    wakes_at = wait.confirm_at()
                elif not place.is_being_sent():
                    self._confirm(place)
            await asyncio.wait((place.fut,), timeout=wakes_at - now)

    def _confirm(self, place: owned.Place) -> None:
        """Send the slot request again; the leader joins it to the first.

        The reply has the answer if there is one that got lost. The prompt's
        blocks, most of the message, are left out as the leader has them.
        """
        short = dataclasses.replace(place.slot_request, blocks=())
        place.delivery = self._link.start(self._deliver(place, short))

    def _leave_queue(self, place: owned.Place) -> None:
        if place.delivery is not None:
            place.delivery.cancel()
        if place.fut.done() and isinstance(
            place.fut.result(),
            requests.Grant,
        ):
            return
        place.resolve(None)
        self._withdraw(place)

    def _withdraw(self, place: owned.Place) -> None:
        message = ttypes.Withdraw(
            place.slot_request.pool,
            place.slot_request.request_id,
            place.attempt,
        )
        self._link.send(place.host, message)

    async def _deliver(
        self, place: owned.Place, slot_request: requests.SlotRequest
    ) -> None:
        for _ in range(_REQUEST_ATTEMPTS):
            message = translation.pack_ask(
                slot_request,
                place.attempt,
                self._clock.now(),
            )
            try:
                reply = await self._link.call(
                    place.host, message, _REQUEST_TIMEOUT_SECONDS
                )
            except errors.UnreachableError:
                break
            except errors.PeerError as exc:
                place.failed = isinstance(exc, errors.RemoteError)
                await asyncio.sleep(_RETRY_PAUSE_SECONDS)
                continue
            self._accept_reply(place, reply)
            return
        place.resolve(None)

    def _accept_reply(self, place: owned.Place, reply: ttypes.AskReply) -> None:
        now = self._clock.now()
        place.hint = reply.leader
        if reply.leader is None:
            place.reached = True
            _clear_rate_limit(place, reply)
            self._owned.last_seen[place.host] = now
            if reply.grant is None and reply.denial is None:
                place.wait.queued_at = now
        self._accept_answer(place, reply)

    async def _on_answer(
        self,
        sender: ids.HostId,
        message: ttypes.Answer,
    ) -> ttypes.AnswerReply:
        request_id = ids.RequestId(message.request_id)
        place = self._owned.places.get(request_id)
        if place is not None and _is_from(place, sender, message):
            self._accept_answer(place, message)
        accepted = message.grant is None or self._is_in_use(sender, message)
        if not accepted:
            eventlog.emit(
                logevents.STRAY_GRANT,
                request=request_id,
                leader=sender,
            )
        return ttypes.AnswerReply(accepted)

    def _is_in_use(self, sender: ids.HostId, message: ttypes.Answer) -> bool:
        found = self._owned.in_use.get(ids.RequestId(message.request_id))
        return found is not None and _is_from(found, sender, message)

    def _accept_answer(
        self,
        place: owned.Place,
        message: ttypes.AskReply | ttypes.Answer,
    ) -> None:
        request_id = place.slot_request.request_id
        answer = translation.unpack_answer(request_id, message)
        if answer is None or place.fut.done():
            return
        if isinstance(answer, requests.Grant):
            self._owned.in_use[request_id] = owned.InUse(
                place.slot_request,
                answer,
                place.host,
                place.home,
                place.attempt,
                self._clock.now(),
            )
        place.resolve(answer)

    async def _release(
        self,
        host: ids.HostId,
        message: ttypes.Release,
    ) -> None:
        for _ in range(_RELEASE_ATTEMPTS):
            try:
                await self._link.call(host, message, _RELEASE_TIMEOUT_SECONDS)
            except errors.PeerError:
                await asyncio.sleep(_RETRY_PAUSE_SECONDS)
            else:
                return


def _clear_rate_limit(place: owned.Place, reply: ttypes.AskReply) -> None:
    """Prevent that a slot request counts against its rule's rate again."""
    not_leader = requests.DenialReason.not_leader.value
    if reply.denial is not None and reply.denial.reason == not_leader:
        return
    if place.slot_request.rate_per_s is not None:
        place.slot_request = dataclasses.replace(
            place.slot_request, rate_per_s=None
        )


def _is_from(
    found: owned.Place | owned.InUse,
    sender: ids.HostId,
    message: ttypes.Answer,
) -> bool:
    return found.host == sender and found.attempt == message.attempt
