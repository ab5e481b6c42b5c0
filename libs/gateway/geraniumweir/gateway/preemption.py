"""Moves requests from servers that are about to stop to other servers."""

import asyncio
import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.gateway import attempts
from geraniumweir.rollout import controller, schedule
from geraniumweir.scheduling import requests

# Interval of the checks whether requests have to move.
_CHECK_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class RunningAttempt:
    """An attempt that is at a server.

    :ivar pool: pool of the server.
    """

    grant: requests.Grant
    pool: ids.PoolName
    attempt: attempts.Attempt


class RunningAttempts:
    """The attempts of this host that are at a server, by request."""

    def __init__(self) -> None:
        """Initialize without attempts."""
        self._by_request: dict[ids.RequestId, RunningAttempt] = {}

    def add(self, running: RunningAttempt) -> None:
        """Add an attempt that is about to be sent."""
        self._by_request[running.grant.request_id] = running

    def remove(self, running: RunningAttempt) -> None:
        """Remove an attempt that has ended."""
        self._by_request.pop(running.grant.request_id, None)

    def pools(self) -> set[ids.PoolName]:
        """Return the pools of all attempts."""
        return {running.pool for running in self._by_request.values()}

    def preempt_old_versions(
        self, pool: ids.PoolName, to: ids.SoftwareVersion
    ) -> None:
        """Stop attempts at servers of other versions than a new one.

        Their requests continue on other servers. Requests that may not run
        again go on, and so do streams that have begun.
        """
        for running in list(self._by_request.values()):
            is_old = running.pool == pool and running.grant.version != to
            if is_old and running.attempt.may_move():
                running.attempt.stop()


class RolloutFollower:
    """Moves requests off servers of old versions before these stop."""

    def __init__(
        self,
        running: RunningAttempts,
        order_of: typing.Callable[
            [ids.PoolName], controller.ObservedOrder | None
        ],
        now: typing.Callable[[], float],
    ) -> None:
        """Initialize; :meth:`run` starts it.

        :param order_of: returns the newest order of a pool.
        :param now: returns the time in seconds.
        """
        self._running = running
        self._order_of = order_of
        self._now = now

    async def run(self) -> None:
        """Check the orders until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_SECONDS)
            for pool in self._running.pools():
                self._check(pool)

    def _check(self, pool: ids.PoolName) -> None:
        found = self._order_of(pool)
        if found is None:
            return
        elapsed = self._now() - found.started
        if schedule.moves_running(found.rollout, elapsed):
            self._running.preempt_old_versions(pool, found.rollout.to)
