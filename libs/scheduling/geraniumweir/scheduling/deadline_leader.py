"""Pool leader for requests that must end before a deadline.

It owns the capacity of one pool in one failure domain: it keeps the queue of
all waiting requests and grants them slots on backend servers. Decisions are
synchronous; only the callers of :meth:`DeadlinePoolLeader.ask` wait. The state
is soft: a new leader adopts the grants in use, and waiting requests are sent
to it again.

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
    """Pool leader that grants the capacity of one pool in a failure domain."""

    def __init__(
        self,
        cfg: settings.LeaderSettings,
        now: typing.Callable[[], float],
        live: typing.Callable[[], typing.Sequence[servers.Announcement]],
        on_preempt: typing.Callable[[requests.Preempt], None],
    ) -> None:
        """Initialize with an empty queue.

        :param now: returns the time in seconds on the loop's clock.
        :param live: returns the pool's backend servers that may get new work.
        :param on_preempt: called with a stream that its owner is to cancel.
        """
        self._state = deadline_state.DeadlineLeaderState(
            cfg,
            now,
            live,
            on_preempt,
            takeover_complete=cfg.takeover_seconds <= 0,
            takeover_ends_at=now() + cfg.takeover_seconds,
            live_server_at=now(),
            rng=random.Random(cfg.seed),
            suspects=suspects.Suspects(cfg.quarantine_seconds, cfg.origin),
        )

    async def request_slot(
        self,
        slot_request: requests.SlotRequest,
    ) -> requests.Grant | requests.Denial:
        """Wait for a grant of a slot on a backend server.

        A repeated slot request with the id of a waiting one joins it; with the
        id of a granted one it gets the same grant again.

        :param slot_request: the request; its deadline is on the leader's
            clock.
        :returns: a grant, or a denial once no grant in time is possible.
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
        return await joining.wait_for_answer(
            self,
            waiting,
            self._state.running,
        )

    def withdraw(self, request_id: ids.RequestId) -> None:
        """Remove a waiting request whose caller disconnected.

        A granted request has to be released by its owner.
        """
        waiting = self._state.waiting.get(request_id)
        if waiting is not None:
            reason = requests.DenialReason.withdrawn
            shedding.deny(self._state, waiting, reason)

    def progress(self, progress: requests.Progress) -> None:
        """Record the progress of a granted request."""
        progressing.progress(self._state, progress)

    def release(self, release: requests.Release) -> None:
        """Release a grant and grant the free slot; repeats are ignored.

        :param release: how the granted request ended.
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
        """Apply a load report of an engine."""
        server = self._state.servers.get(report.server_id)
        if server is not None:
            server.limit.report(report.waiting, report.age, self._state.now())
            placement.refresh(self._state, server)

    def cache_events(self, events: requests.CacheEvents) -> None:
        """Apply cache events of an engine, in any order of arrival."""
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
        """Record the crash of a server.

        The requests that ran on it are removed from it and become suspects.
        Their owners learn of the crash from their own failed dispatches.

        :param incarnation: the one that crashed.
        """
        server = self._state.servers.get(server_id)
        if server is not None:
            crashes.crashed(self._state, server, incarnation)
            deadline_granting.fill_open(self._state)

    def owner_gone(self, owner: ids.HostId) -> None:
        """Release the grants and deny the requests of a lost entry host."""
        adoption.owner_gone(self._state, owner)

    def adopt(self, grants: typing.Sequence[requests.OpenGrant]) -> None:
        """Adopt grants in use that another leader gave."""
        ticking.sync_if_stale(self._state)
        for taken in grants:
            adoption.adopt(self._state, taken)

    def takeover_complete(self) -> None:
        """Start granting, as all owners have handed over their grants."""
        self._state.takeover_complete = True
        ticking.sync_if_stale(self._state)
        deadline_granting.fill_open(self._state)

    def summary(self) -> requests.PoolSummary:
        """Return a summary of the pool for other hosts."""
        ticking.sync_if_stale(self._state)
        return summaries.summarize(self._state)

    def grant_waiting(self) -> None:
        """Apply changed announcements or a changed configuration."""
        ticking.servers_changed(self._state)

    @property
    def suspects(self) -> suspects.Suspects:
        """The suspects, to share quarantines between hosts."""
        return self._state.suspects
