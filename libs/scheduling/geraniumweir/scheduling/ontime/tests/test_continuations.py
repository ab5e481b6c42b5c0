"""Begun streams get servers of the version that began them, and no others."""

import asyncio
import dataclasses
import typing

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.membership import servers
from geraniumweir.rollout import controller, orders
from geraniumweir.scheduling import requests, settings
from geraniumweir.scheduling.ontime import leader
from geraniumweir.scheduling.ontime.tests import play

_OLD = ids.SoftwareVersion('v1')
_NEW = ids.SoftwareVersion('v1.1')
_SECONDS = 100.0


def _server(
    name: str, version: ids.SoftwareVersion, slots: int = 2
) -> servers.Announcement:
    return dataclasses.replace(play.server(name, slots), version=version)


class _Pool:
    """A pool of two versions, with a rollout if a test gives one."""

    def __init__(self, *announced: servers.Announcement) -> None:
        self.announced = list(announced)
        self.rollout: orders.Rollout | None = None
        self.now = asyncio.get_running_loop().time
        self.guide = controller.RolloutController(
            self._order, self.now, may_spend_budget=lambda: True
        )
        self.leader = leader.OnTimePoolLeader(
            settings.LeaderSettings(play.POOL),
            self.now,
            lambda: self.announced,
            self.guide,
        )
        self._started = self.now()
        self._count = 0

    async def request(
        self,
        version: ids.SoftwareVersion | None,
        wait: float = 0.2,
        **changes: typing.Any,
    ) -> requests.Grant | requests.Denial | None:
        """Request a slot; None if there is no answer in time."""
        self._count += 1
        slot_request = play.make_request(
            str(self._count), self.now(), version=version, **changes
        )
        try:
            async with asyncio.timeout(wait):
                return await self.leader.request_slot(slot_request)
        except TimeoutError:
            return None

    def set_phase(self, phase: orders.Phase, **changes: typing.Any) -> None:
        """Let a rollout to the new version be in a phase."""
        rollout = orders.Rollout(play.POOL, 1, _NEW, _SECONDS, phase=phase)
        self.rollout = dataclasses.replace(rollout, **changes)
        self.leader.grant_waiting()

    def _order(self) -> controller.ObservedOrder | None:
        if self.rollout is None:
            return None
        return controller.ObservedOrder(self.rollout, self._started)


def _run(
    scenario: typing.Callable[[], typing.Coroutine[None, None, None]],
) -> None:
    virtual.run(scenario())


def test_begun_stream_is_not_granted_a_server_of_another_version() -> None:
    """Though these are free, and also where its own have no slot."""

    async def scenario() -> None:
        pool = _Pool(_server('old', _OLD), _server('new', _NEW, 20))
        granted = [await pool.request(_OLD) for _ in range(2)]
        assert [one.server_id for one in granted] == ['old', 'old']
        assert await pool.request(_OLD) is None
        assert (await pool.request(None)).server_id == 'new'

    _run(scenario)


def test_begun_stream_waits_for_a_slot_of_its_version() -> None:
    """And gets it before its caller leaves."""

    async def scenario() -> None:
        pool = _Pool(_server('old', _OLD, 1), _server('new', _NEW, 20))
        first = await pool.request(_OLD)
        waiting = asyncio.create_task(pool.request(_OLD, 2))
        await asyncio.sleep(0.1)
        done = requests.Outcome.done
        pool.leader.release(requests.Release(first.request_id, done))
        assert (await waiting).version == _OLD

    _run(scenario)


@pytest.mark.parametrize('waits', [False, True])
def test_begun_stream_is_refused_at_once_without_a_server_of_its_version(
    waits: bool,
) -> None:
    """Also if the last one leaves while it waits; new streams are served."""

    async def scenario() -> None:
        pool = _Pool(_server('old', _OLD, 1), _server('new', _NEW, 20))
        await pool.request(_OLD)
        waiting = asyncio.create_task(pool.request(_OLD, 2))
        await asyncio.sleep(0.1 * waits)
        pool.announced.pop(0)
        started = pool.now()
        pool.leader.grant_waiting()
        denied = await waiting
        assert denied.reason is requests.DenialReason.version_gone
        assert int((pool.now() - started) * 10) == 0
        assert (await pool.request(None)).version == _NEW

    _run(scenario)


def test_slots_are_counted_once_for_new_and_begun_streams() -> None:
    """Requests of one cycle get no more than there are."""

    async def scenario() -> None:
        pool = _Pool(_server('old', _OLD, 4))
        asked = [
            pool.request(_OLD if number % 2 else None) for number in range(9)
        ]
        answers = await asyncio.gather(*asked)
        assert sum(isinstance(one, requests.Grant) for one in answers) == 4

    _run(scenario)


def test_streams_of_the_old_version_go_on_after_the_traffic_moved() -> None:
    """New ones don't begin there; after the end nothing goes there."""

    async def scenario() -> None:
        pool = _Pool(_server('old', _OLD), _server('new', _NEW, 20))
        pool.set_phase(orders.Phase.moved)
        assert (await pool.request(_OLD)).server_id == 'old'
        others = [await pool.request(None) for _ in range(4)]
        assert {one.server_id for one in others} == {'new'}
        pool.announced.pop(0)
        pool.set_phase(orders.Phase.moved, state=orders.State.completed)
        denied = await pool.request(_OLD)
        assert denied.reason is requests.DenialReason.version_gone

    _run(scenario)


def test_old_version_serves_new_streams_while_the_new_one_has_no_server() -> (
    None
):
    """Also after the traffic moved."""

    async def scenario() -> None:
        pool = _Pool(_server('old', _OLD))
        pool.set_phase(orders.Phase.moved)
        assert (await pool.request(None)).server_id == 'old'

    _run(scenario)


def test_stream_that_a_bad_version_began_is_refused_after_the_roll_back() -> (
    None
):
    """It gets no server of the old version either."""

    async def scenario() -> None:
        pool = _Pool(_server('old', _OLD), _server('new', _NEW))
        pool.set_phase(orders.Phase.ramp, state=orders.State.rolled_back)
        denied = await pool.request(_NEW)
        assert denied.reason is requests.DenialReason.version_gone

    _run(scenario)


@pytest.mark.parametrize(('reserved', 'served'), [(0, 0), (3, 3)])
def test_streams_go_on_at_a_canary_within_its_budget(
    reserved: int, served: int
) -> None:
    """Each counts as one more request that the new version gets."""

    async def scenario() -> None:
        pool = _Pool(_server('old', _OLD), _server('new', _NEW, 20))
        pool.set_phase(orders.Phase.canary)
        await pool.request(_OLD)
        # A reservation that comes later isn't used up by the takeover.
        pool.set_phase(orders.Phase.canary, exposure=reserved)
        answers = [await pool.request(_NEW) for _ in range(served + 2)]
        granted = [one for one in answers if isinstance(one, requests.Grant)]
        assert len(granted) == served
        assert all(one.version == _NEW for one in granted)

    _run(scenario)
