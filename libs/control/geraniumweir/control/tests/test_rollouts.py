"""Rollout orders at control hosts, over the replicated log."""

import asyncio
import typing

import pytest
from geraniumweir.common import ids, timers, virtual
from geraniumweir.configuration import recordings
from geraniumweir.control import errors, logaccess, rollouts
from geraniumweir.control.tests import bed
from geraniumweir.rollout import budget, controller, orders

_POOL = ids.PoolName('p')
_NEW = ids.SoftwareVersion('v2')
_LOAD = controller.Load(old_running=0, running=1, new_slots=9, held=0.1)


class _IdlePool:
    """A pool's leader without load."""

    def rollout_load(self) -> controller.Load:
        return _LOAD


def _rollouts(some: bed.Bed, domain: str) -> rollouts.Rollouts:
    control = some.controls[domain]
    access = logaccess.LogAccess(control.link, control.log, control.known)
    made = rollouts.Rollouts(
        access,
        control.log,
        timers.TimerService(),
        budget.Bounds(),
        10,
    )
    made.guide(_POOL).refresh()
    return made


async def _started(
    monkeypatch: pytest.MonkeyPatch,
) -> tuple[bed.Bed, bed.Control, dict[str, rollouts.Rollouts]]:
    some = bed.Bed()
    monkeypatch.setattr(recordings, 'opened', some.opened)
    leading = await some.start()
    found = {domain: _rollouts(some, domain) for domain in bed.DOMAINS}
    return some, leading, found


def _play(
    monkeypatch: pytest.MonkeyPatch,
    scene: typing.Callable[..., typing.Awaitable[None]],
) -> None:
    async def work() -> None:
        some, leading, found = await _started(monkeypatch)
        try:
            await scene(some, leading, found)
        finally:
            some.stop()

    virtual.run(work())


def test_any_control_host_accepts_an_order_and_all_have_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It is read back everywhere once it is acknowledged."""

    async def scene(
        _some: bed.Bed,
        _leading: bed.Control,
        found: dict[str, rollouts.Rollouts],
    ) -> None:
        await found['bee'].order(_POOL, _NEW, 12)
        for one in found.values():
            assert (await one.find(_POOL)).to == _NEW
        await found['cow'].order(_POOL, _NEW, 12)
        with pytest.raises(errors.RolloutInProgressError):
            await found['ant'].order(_POOL, ids.SoftwareVersion('v3'), 12)

    _play(monkeypatch, scene)


def test_host_without_a_majority_is_not_up_to_date(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It neither returns its order nor acknowledges one."""

    async def scene(
        some: bed.Bed,
        _leading: bed.Control,
        found: dict[str, rollouts.Rollouts],
    ) -> None:
        await found['ant'].order(_POOL, _NEW, 12)
        for other in ('bee', 'cow'):
            some.network.cut(ids.HostId('ant'), ids.HostId(other))
        await asyncio.sleep(3)
        with pytest.raises(errors.NotUpToDateError):
            await found['ant'].find(_POOL)
        with pytest.raises(errors.NotStoredError):
            await found['ant'].order(_POOL, _NEW, 12)

    _play(monkeypatch, scene)


def test_entry_host_receives_the_progress(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """If it is partitioned later, it uses the phase reached by then."""

    async def scene(
        some: bed.Bed,
        leading: bed.Control,
        found: dict[str, rollouts.Rollouts],
    ) -> None:
        watcher = some.watch('bee')
        await found['ant'].order(_POOL, _NEW, 12)
        await asyncio.sleep(1)
        assert watcher.rollout(_POOL).rollout.phase is orders.Phase.canary
        work = found[leading.host_id].run(lambda _: _IdlePool())
        task = asyncio.create_task(work)
        await asyncio.sleep(12)
        task.cancel()
        assert watcher.rollout(_POOL).rollout.state is orders.State.completed

    _play(monkeypatch, scene)


def test_entry_host_keeps_the_time_of_an_order(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its requests move off old servers at a time after the order."""

    async def scene(
        some: bed.Bed,
        leading: bed.Control,
        found: dict[str, rollouts.Rollouts],
    ) -> None:
        watcher = some.watch('bee')
        await found['ant'].order(_POOL, _NEW, 12)
        await asyncio.sleep(0.5)
        ordered = watcher.rollout(_POOL)
        work = found[leading.host_id].run(lambda _: _IdlePool())
        task = asyncio.create_task(work)
        await asyncio.sleep(11)
        task.cancel()
        moved = watcher.rollout(_POOL)
        assert moved.rollout.phase is orders.Phase.moved
        assert moved.started == ordered.started

    _play(monkeypatch, scene)
