"""Orders to move pools to new versions of their servers, in the log.

Any control host accepts an order and reports its progress. The one that leads
the log, and so coordinates the pools, moves the traffic, and records in the log
what a successor needs.
"""

import asyncio
import time
import typing

from geraniumweir.common import eventlog, ids, timers
from geraniumweir.configuration import commands
from geraniumweir.configuration import rollouts as stored
from geraniumweir.control import errors, logaccess, logevents, recorders
from geraniumweir.rollout import budget, controller, orders
from geraniumweir.wire.gen.configuration import ttypes

_MS = 1000
# Operators switch to another host after a second without an answer.
_ORDER_SECONDS = 0.9
_READ_SECONDS = 0.8
# A read waits for this host to apply the required entries, and checks at this
# interval.
_POLL_SECONDS = 0.02
# Interval of the steps of a rollout.
_STEP_SECONDS = 0.1
# Wall clocks of hosts differ by less; an older order that arrives for the first
# time was given before this host started.
_MAX_CLOCK_SKEW_SECONDS = 1.0


class RolloutLeader(typing.Protocol):
    """A pool's leader, as far as a rollout needs it."""

    def rollout_load(self) -> controller.Load:
        """Return the load and slots of the pool."""


LeaderOf = typing.Callable[[ids.PoolName], RolloutLeader | None]
OnCompleted = typing.Callable[[orders.Rollout], None]


class Rollouts:
    """The rollouts as one control host has them; its leader advances them."""

    def __init__(
        self,
        access: logaccess.LogAccess,
        log: recorders.Recorders,
        clock: timers.TimerService,
        bounds: budget.Bounds,
        resend_seconds: float,
    ) -> None:
        """Follow the log.

        :param bounds: limits of what a bad version may receive.
        :param resend_seconds: how long operators may send an order again.
        """
        self.on_completed: OnCompleted = _ignore
        self.reaches_all_owners: typing.Callable[[], bool] = _unknown
        self._access = access
        self._log = log
        self._clock = clock
        self._bounds = bounds
        self._resend_ms = int(resend_seconds * _MS)
        self._known: dict[ids.PoolName, controller.ObservedOrder] = {}
        self._guides: dict[ids.PoolName, controller.RolloutController] = {}
        log.rollouts.subscribe(self._apply)

    def known(self) -> list[orders.Rollout]:
        """Return the newest order of each pool that was applied here."""
        return [one.rollout for one in self._known.values()]

    def of_pool(self, pool: ids.PoolName) -> orders.Rollout | None:
        """Return a pool's newest order that was applied here."""
        found = self._known.get(pool)
        return None if found is None else found.rollout

    async def order(
        self,
        pool: ids.PoolName,
        to: ids.SoftwareVersion,
        seconds: float,
    ) -> None:
        """Store an order; returns once a majority of recorders synced it.

        :param seconds: time in which all traffic should have moved.
        :raises errors.NotStoredError: when it may not have been stored.
        :raises errors.RolloutInProgressError: when another one is in progress.
        """
        now_ms = int(time.time() * _MS)
        command = commands.order_rollout(
            pool, to, int(seconds * _MS), self._resend_ms, now_ms
        )
        answers = await self._access.propose(command, _ORDER_SECONDS)
        result = stored.Result(answers[0].rollout.result)
        eventlog.emit(
            logevents.ROLLOUT_ORDERED,
            pool=pool,
            to=to,
            seconds=seconds,
            result=result.name,
        )
        if result is stored.Result.another_runs:
            raise errors.RolloutInProgressError(
                f'pool {pool} is being moved to another version',
            )

    async def find(self, pool: ids.PoolName) -> orders.Rollout | None:
        """Return a pool's newest order, all that was stored before included.

        :raises errors.NotUpToDateError: when this host may not have it.
        """
        deadline = self._clock.now() + _READ_SECONDS
        index = await self._access.barrier(_READ_SECONDS)
        while not self._access.has_applied(index):
            if self._clock.now() > deadline:
                raise errors.NotUpToDateError(f'entry {index} is not here yet')
            await asyncio.sleep(_POLL_SECONDS)
        return self.of_pool(pool)

    def guide(self, pool: ids.PoolName) -> controller.RolloutController:
        """Create the guide of a pool that is led here from now on."""
        made = controller.RolloutController(
            lambda: self._known.get(pool),
            self._clock.now,
            self._bounds,
            may_spend_budget=self._log.is_leading,
            reaches_all_owners=lambda: self.reaches_all_owners(),
        )
        self._guides[pool] = made
        return made

    async def run(self, leader_of: LeaderOf) -> None:
        """Advance rollouts while this host leads the log, until cancelled."""
        while True:
            await asyncio.sleep(_STEP_SECONDS)
            if self._log.is_leading():
                running = [
                    one
                    for one in self.known()
                    if one.state is orders.State.running
                ]
                await asyncio.gather(
                    *(self._step(one, leader_of) for one in running),
                )

    async def _step(
        self,
        rollout: orders.Rollout,
        leader_of: LeaderOf,
    ) -> None:
        leader = leader_of(rollout.pool)
        guide = self._guides.get(rollout.pool)
        if leader is None or guide is None:
            return
        load = leader.rollout_load()
        guide.refresh()
        step = guide.next_step(load)
        if step is None:
            return
        eventlog.emit(
            logevents.ROLLOUT_STEP,
            pool=rollout.pool,
            to=rollout.to,
            step=_step_name(step),
            old_running=load.old_running,
            **guide.summary(),
        )
        note = _to_command(rollout, step)
        now_ms = int(time.time() * _MS)
        try:
            await self._access.propose(
                commands.note_rollout(note, now_ms),
                _ORDER_SECONDS,
            )
        except errors.NotStoredError as exc:
            eventlog.emit(
                logevents.ROLLOUT_NOT_RECORDED,
                pool=rollout.pool,
                reason=exc.message,
            )

    def _apply(self, rollout: orders.Rollout) -> None:
        before = self._known.get(rollout.pool)
        if before is not None and _progress_key(before.rollout) > _progress_key(
            rollout
        ):
            # A recorder that was reopened replays older orders.
            return
        if before is not None and before.rollout.number == rollout.number:
            started = before.started
        else:
            started = self._clock.now() - _seconds_since_order(rollout)
        self._known[rollout.pool] = controller.ObservedOrder(rollout, started)
        if rollout.state is orders.State.running:
            return
        if before is None or before.rollout.state is not rollout.state:
            eventlog.emit(
                logevents.ROLLOUT_ENDED,
                pool=rollout.pool,
                to=rollout.to,
                state=rollout.state.name,
                reason=rollout.reason,
            )
        ended_now = before is not None and self._log.is_leading()
        if ended_now and rollout.state is orders.State.completed:
            self.on_completed(rollout)


def _progress_key(rollout: orders.Rollout) -> tuple[int, ...]:
    """Return a key that grows with each change of a pool's rollouts."""
    return (
        rollout.number,
        rollout.state,
        rollout.phase,
        rollout.exposure,
        rollout.requests,
    )


def _seconds_since_order(rollout: orders.Rollout) -> float:
    """Return the seconds since an order, by the wall clocks of hosts."""
    elapsed_seconds = time.time() - rollout.ordered_ms / _MS
    return (
        min(elapsed_seconds, rollout.seconds)
        if elapsed_seconds > _MAX_CLOCK_SKEW_SECONDS
        else 0
    )


def _to_command(
    rollout: orders.Rollout,
    step: controller.Advance | controller.End,
) -> ttypes.NoteRollout:
    match step:
        case controller.End(state, reason):
            return ttypes.NoteRollout(
                rollout.number, rollout.phase, state, 0, 0, reason, 0
            )
        case controller.Advance(phase, exposure, requests, answers):
            return ttypes.NoteRollout(
                rollout.number,
                phase,
                orders.State.running,
                exposure,
                requests,
                '',
                answers,
            )


def _step_name(step: controller.Advance | controller.End) -> str:
    match step:
        case controller.End(state):
            return state.name
        case controller.Advance(phase):
            return phase.name


def _unknown() -> bool:
    """Return that nothing is known of entry hosts where no callback is set."""
    return False


def _ignore(_rollout: orders.Rollout) -> None:
    """Do nothing where no callback is set."""
