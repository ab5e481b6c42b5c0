"""Control hosts that stop answering, and entry hosts that ask them."""

import asyncio
import collections
import dataclasses
import math
import typing

from geraniumweir.common import ids, timers
from geraniumweir.scheduling import broker, channel, remote, requests, views
from geraniumweir.scheduling.ontime.tests import play
from geraniumweir.wire import memory
from geraniumweir.wire.gen.scheduling import ttypes
from reactivex import subject

ENTRY = ids.HostId('entry')
FIRST = ids.HostId('c1')
NEXT = ids.HostId('c2')
_AREA = ids.FailureDomain('all')
# Of the first customer: time limits and patience of its routes, in seconds.
PLAIN = (1.65, math.inf)
PATIENT = (12.7, 3.38)
HASTY = (3.1, 2.09)
KINDS = (PLAIN, PATIENT, HASTY)


class View:
    """View with the coordinators that the test sets."""

    def __init__(self) -> None:
        self.changes: subject.Subject[None] = subject.Subject()
        self.coordinators = [FIRST]

    def live(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        """List the coordinators."""
        return self.coordinators

    def owners(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        """Return no hosts."""
        return []

    def see(self, coordinator: ids.HostId) -> None:
        """Replace the coordinator."""
        self.coordinators = [coordinator]
        self.changes.on_next(None)


class NoOthers:
    """Directory without pools in other failure domains."""

    def others(self, _pool: ids.PoolName) -> typing.Sequence[typing.Any]:
        return ()


class Fifo:
    """Pool leader that grants its slots in the order of the requests.

    :ivar running: the granted requests.
    """

    def __init__(self, slots: int) -> None:
        self.running: set[ids.RequestId] = set()
        self._slots = slots
        self._waiting: dict[
            ids.RequestId, asyncio.Future[requests.Grant | requests.Denial]
        ] = {}

    async def request_slot(
        self, slot_request: requests.SlotRequest
    ) -> requests.Grant | requests.Denial:
        """Wait for a slot."""
        fut = asyncio.get_running_loop().create_future()
        self._waiting[slot_request.request_id] = fut
        self.grant_waiting()
        return await fut

    def withdraw(self, request_id: ids.RequestId) -> None:
        """Deny a waiting request."""
        fut = self._waiting.pop(request_id, None)
        if fut is not None:
            fut.set_result(
                requests.Denial(request_id, requests.DenialReason.withdrawn)
            )

    def release(self, release: requests.Release) -> None:
        """Free a slot."""
        self.running.discard(release.request_id)
        self.grant_waiting()

    def progress(self, _progress: requests.Progress) -> None:
        """Do nothing."""

    def adopt(self, grants: typing.Sequence[requests.OpenGrant]) -> None:
        """Take over grants."""
        self.running.update(one.grant.request_id for one in grants)

    def takeover_complete(self) -> None:
        """Do nothing."""

    def grant_waiting(self) -> None:
        """Grant free slots."""
        while self._waiting and len(self.running) < self._slots:
            request_id = next(iter(self._waiting))
            self.running.add(request_id)
            grant = requests.Grant(
                request_id,
                ids.ServerId('s'),
                ids.Incarnation(1),
                ids.Address('127.0.0.1', 1),
            )
            self._waiting.pop(request_id).set_result(grant)


class Control:
    """Control host that leads pools and can stop doing so.

    :ivar runs: is unset while it answers nothing; what arrives meanwhile is
        handled when it runs again.
    :ivar hears: is unset while it answers no slot requests, but all else.
    """

    def __init__(
        self,
        network: memory.MemoryNetwork,
        host_id: ids.HostId,
        number: int,
        leader: views.PoolLeader,
    ) -> None:
        self.runs = asyncio.Event()
        self.runs.set()
        self.hears = asyncio.Event()
        self.hears.set()
        layer = network.join(host_id, ids.Address('10.0.0.1', number))
        view = View()
        view.coordinators = [host_id]
        self.link = channel.Channel(layer)
        clock = timers.TimerService()
        self.service = remote.LeaderService(
            self.link,
            view,
            _AREA,
            lambda _pool, _on_preempt: leader,
            clock,
        )
        for kind in (ttypes.Ask, ttypes.Sync, ttypes.Withdraw, ttypes.Release):
            self._delay(layer, kind)

    def _delay(self, layer: memory.MemoryPeers, kind: type) -> None:
        """Let the handler of a message type wait while this host is stopped."""
        handler = layer._handlers[kind]  # noqa: SLF001

        async def handle(sender: ids.HostId, message: typing.Any) -> typing.Any:
            await self.runs.wait()
            if kind is ttypes.Ask:
                await self.hears.wait()
            return await handler(sender, message)

        layer.handle(kind, handle)


class Entry:
    """Entry host that serves its requests as the gateway does.

    :ivar ends: answer of each request and the seconds until it came.
    :ivar runs: number of dispatches by request.
    """

    def __init__(
        self, network: memory.MemoryNetwork, host_id: ids.HostId, number: int
    ) -> None:
        self.host_id = host_id
        self.view = View()
        self.link = channel.Channel(
            network.join(host_id, ids.Address('10.0.1.1', number)),
        )
        self.broker = broker.Broker(
            self.link, _AREA, self.view, NoOthers(), timers.TimerService()
        )
        self.ends: dict[
            ids.RequestId, tuple[requests.Grant | requests.Denial, float]
        ] = {}
        self.runs: collections.Counter[str] = collections.Counter()

    async def serve(
        self, name: str, kind: tuple[float, float], seconds: float = 0.2
    ) -> requests.Grant | requests.Denial:
        """Request a slot and use it for some seconds."""
        start = asyncio.get_running_loop().time()
        slot_request = dataclasses.replace(
            play.make_request(
                f'{self.host_id}.{name}',
                start,
                deadline=start + kind[0],
                patience=start + kind[1],
                target=start + 0.5,
                streams=kind[1] < math.inf,
            ),
            owner=self.host_id,
        )
        answer = await self.broker.request_slot(slot_request)
        took = asyncio.get_running_loop().time() - start
        self.ends[slot_request.request_id] = (answer, took)
        if isinstance(answer, requests.Grant):
            self.runs[slot_request.request_id] += 1
            await asyncio.sleep(seconds)
            done = requests.Outcome.done
            self.broker.release(
                requests.Release(
                    slot_request.request_id, done, 0.1, 10, seconds
                )
            )
        return answer

    def start(
        self, name: str, kind: tuple[float, float], seconds: float = 0.2
    ) -> asyncio.Task[requests.Grant | requests.Denial]:
        """Serve a request in a task."""
        return asyncio.create_task(self.serve(name, kind, seconds))
