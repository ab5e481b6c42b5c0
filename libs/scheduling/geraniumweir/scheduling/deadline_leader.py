"""A pool leader: the one owner of a pool's capacity in a failure domain.

It keeps the queue of all waiting requests and grants them to backend servers.
Decisions are synchronous; only those who ask wait. The state is soft: a new
leader adopts the grants in use and lets the waiting ask again.

See Also
========
geraniumweir.scheduling.admitting, geraniumweir.scheduling.deadline_granting,
geraniumweir.scheduling.shedding, geraniumweir.scheduling.progressing
"""

import random
import typing

from geraniumweir.common import ids
from geraniumweir.membership import servers
from geraniumweir.scheduling import (
    admitting,
    adoption,
    crashes,
    deadline_granting,
    joining,
    placement,
    progressing,
    shedding,
    ticking,
)
from geraniumweir.scheduling import (
    deadline_state,
    requests,
    settings,
    suspects,
)
from geraniumweir.scheduling import summary as summaries


class DeadlinePoolLeader:
    """Grants the capacity of one pool in one failure domain."""

    def __init__(
        self,
        cfg: settings.LeaderSettings,
        now: typing.Callable[[], float],
        live: typing.Callable[[], typing.Sequence[servers.Announcement]],
        on_preempt: typing.Callable[[requests.Preempt], None],
    ) -> None:
        """Start with an empty queue.

        :param now: gives the time in seconds, the loop's clock.
        :param live: gives the pool's backend servers that may get work.
        :param on_preempt: told of a stream that its owner is to cancel.
        """
        self._state = deadline_state.DeadlineLeaderState(
            cfg,
            now,
            live,
            on_preempt,
            takeover_complete=cfg.settle_seconds <= 0,
            takeover_ends_at=now() + cfg.settle_seconds,
            live_server_at=now(),
            rng=random.Random(cfg.seed),
            suspects=suspects.Suspects(cfg.quarantine_seconds, cfg.origin),
        )

    async def ask(
        self,
        slot_request: requests.Ask,
    ) -> requests.Grant | requests.Denial:
        """Wait for a backend server.

        A repeated ask of a waiting id joins it; of a granted id it gets the
        same grant again.

        :param slot_request: what waits; its deadline is on the leader's clock.
        :returns: a grant, or a denial once there can be none in time.
        """
        ticking.start_ticking(self._state)
        ticking.sync_if_stale(self._state)
        running = self._state.running.get(slot_request.request_id)
        if running is not None:
            return running.grant
        waiting = self._state.waiting.get(slot_request.request_id)
        if waiting is None:
            admitted = admitting.admit(self._state, slot_request)
            if isinstance(admitted, requests.Denial):
                return admitted
            waiting = admitted
        return await joining.answer(
            self,
            waiting,
            self._state.running,
        )

    def withdraw(self, request_id: ids.RequestId) -> None:
        """Drop a request whose caller went away while it waited.

        A request that is granted already is its owner's to release.
        """
        waiting = self._state.waiting.get(request_id)
        if waiting is not None:
            reason = requests.DenialReason.withdrawn
            shedding.deny(self._state, waiting, reason)

    def progress(self, progress: requests.Progress) -> None:
        """Take how granted work goes on."""
        progressing.progress(self._state, progress)

    def release(self, release: requests.Release) -> None:
        """Take back a grant and serve who waits; a repeat is ignored.

        :param release: how the work ended.
        """
        if release.outcome is requests.Outcome.crashed:
            running = self._state.running.get(release.request_id)
            if running is not None:
                self.server_crashed(
                    running.grant.server_id,
                    running.grant.incarnation,
                )
        progressing.release(self._state, release)

    def report(self, report: requests.LoadReport) -> None:
        """Take an engine's load report."""
        server = self._state.servers.get(report.server_id)
        if server is not None:
            server.limit.report(report.waiting, report.age, self._state.now())
            placement.refresh(self._state, server)

    def cache_events(self, events: requests.CacheEvents) -> None:
        """Take an engine's cache events, in whatever order they come."""
        self._state.prefixes.apply_events(
            events.server_id,
            events.incarnation,
            events.sequence,
            (events.stored, events.evicted),
        )

    def server_crashed(
        self,
        server_id: ids.ServerId,
        incarnation: ids.Incarnation,
    ) -> None:
        """Take that a server crashed.

        Its requests are taken off it and suspected; their owners learn of it
        through their own failed dispatch.

        :param incarnation: the one that is gone.
        """
        server = self._state.servers.get(server_id)
        if server is not None:
            crashes.crashed(self._state, server, incarnation)
            deadline_granting.fill_open(self._state)

    def owner_gone(self, owner: ids.HostId) -> None:
        """End the grants and the waiting requests of a lost entry host."""
        adoption.owner_gone(self._state, owner)

    def adopt(self, grants: typing.Sequence[requests.OpenGrant]) -> None:
        """Take over grants in use that another leader gave."""
        ticking.sync_if_stale(self._state)
        for taken in grants:
            adoption.adopt(self._state, taken)

    def settled(self) -> None:
        """Start granting: all owners have handed over their grants."""
        self._state.takeover_complete = True
        ticking.sync_if_stale(self._state)
        deadline_granting.fill_open(self._state)

    def summary(self) -> requests.PoolSummary:
        """Sum up the pool for other hosts."""
        ticking.sync_if_stale(self._state)
        return summaries.summarize(self._state)

    def grant_waiting(self) -> None:
        """Take that announcements or the configuration changed."""
        ticking.servers_changed(self._state)

    @property
    def suspects(self) -> suspects.Suspects:
        """Return the suspects, to spread quarantines between hosts."""
        return self._state.suspects
