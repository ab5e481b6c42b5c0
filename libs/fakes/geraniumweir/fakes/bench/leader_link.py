"""The entry hosts' way to the pool leader, over its loss and replacement.

Each message takes one hop. When the leader is lost, releases and asks find
nobody until the hosts notice; then they hand their open grants to a new
leader and ask again, under the same ids, for whatever waits.
"""

import asyncio
import collections
import typing

from geraniumweir.scheduling import deadline_leader, requests

HOP_SECONDS = 0.0005
_DETECTION_SECONDS = 1.5
_SETTLE_SECONDS = 0.5


class LeaderLink:
    """Messages between all entry hosts and one pool leader.

    :ivar messages: their number, by kind.
    """

    def __init__(
        self,
        make_leader: typing.Callable[
            [float], deadline_leader.DeadlinePoolLeader
        ],
        open_grants: typing.Callable[[], list[requests.OpenGrant]],
    ) -> None:
        """Start with a leader that knows nothing.

        :param make_leader: starts a leader, given its settle time.
        :param open_grants: lists what is handed to a new leader.
        """
        self.messages: collections.Counter[str] = collections.Counter()
        self._make_leader = make_leader
        self._open_grants = open_grants
        self._loop = asyncio.get_running_loop()
        self._lost = asyncio.Event()
        self._present = asyncio.Event()
        self._present.set()
        self._leader = make_leader(0)

    def present(self) -> deadline_leader.DeadlinePoolLeader | None:
        """Give the leader, or None while there is none."""
        return self._leader if self._present.is_set() else None

    async def ask(
        self,
        ask: requests.SlotRequest,
    ) -> requests.Grant | requests.Denial:
        """Ask until some leader answers."""
        answer = None
        while answer is None:
            await self._present.wait()
            self.messages['ask'] += 1
            await asyncio.sleep(HOP_SECONDS)
            answer = await self._ask_one(self._leader, ask)
        self.messages['answer'] += 1
        await asyncio.sleep(HOP_SECONDS)
        return answer

    def release(self, release: requests.Release) -> None:
        """Release a grant; without a leader the message is lost."""
        self.messages['release'] += 1
        self._loop.call_later(HOP_SECONDS, self._deliver, release)

    def lose(self) -> None:
        """Forget the leader; another one starts after detection."""
        self._present.clear()
        self._lost.set()
        self._loop.call_later(_DETECTION_SECONDS, self._take_over)

    def _take_over(self) -> None:
        self._leader = self._make_leader(_SETTLE_SECONDS)
        self._lost = asyncio.Event()
        self._leader.adopt(self._open_grants())
        self._present.set()
        # The hosts' repeated asks arrive before the last hand-over is done.
        self._loop.call_later(
            _SETTLE_SECONDS / 2, self._leader.takeover_complete
        )

    async def _ask_one(
        self,
        owner: deadline_leader.DeadlinePoolLeader,
        ask: requests.SlotRequest,
    ) -> requests.Grant | requests.Denial | None:
        asking = asyncio.create_task(owner.request_slot(ask))
        losing = asyncio.create_task(self._lost.wait())
        try:
            await asyncio.wait(
                (asking, losing),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            losing.cancel()
            if not asking.done():
                asking.cancel()
        return asking.result() if asking.done() else None

    def _deliver(self, release: requests.Release) -> None:
        present = self.present()
        if present is not None:
            present.release(release)
