"""Pool leader that grants slots so that first tokens come before their targets.

It has the interface of
:class:`geraniumweir.scheduling.deadline_leader.DeadlinePoolLeader`. Its state
is soft: a new leader adopts the grants in use.

See Also
========
geraniumweir.scheduling.ontime.granting
"""

import asyncio
import random
import typing

from geraniumweir.common import ids
from geraniumweir.membership import servers
from geraniumweir.rollout import controller
from geraniumweir.scheduling import (
    joining,
    notices,
    part_evidence,
    requests,
    settings,
    suspects,
)
from geraniumweir.scheduling.ontime import (
    classes,
    fair_shares,
    fleet,
    granting,
    lengths,
    observations,
    part_checks,
    records,
    state,
)

_MS = 1000


def _no_pauses(_host_id: ids.HostId) -> dict[notices.ServerIncarnation, float]:
    return {}


class OnTimePoolLeader:
    """Leader of one pool whose requests have targets for their first tokens."""

    def __init__(
        self,
        cfg: settings.LeaderSettings,
        now: typing.Callable[[], float],
        live: typing.Callable[[], typing.Sequence[servers.Announcement]],
        guide: controller.RolloutController | None = None,
        rates: typing.Callable[
            [],
            typing.Mapping[notices.ServerIncarnation, float],
        ] = dict,
        pauses: state.Pauses = _no_pauses,
        rejections: typing.Callable[
            [],
            typing.Mapping[notices.ServerIncarnation, int],
        ] = dict,
    ) -> None:
        """Initialize with an empty queue.

        :param now: returns the time in seconds on the loop's clock.
        :param live: returns the pool's backend servers that may get requests.
        :param guide: decides what servers of each version may get.
        :param rates: returns the requests a second that may be granted here to
            servers that set a limit.
        :param pauses: returns the servers that asked a host for a pause, with
            the end of each pause.
        :param rejections: returns the rejections a second that may be caused
            here at servers that bear no more.
        """
        self._state = state.OnTimeLeaderState(
            pool=cfg.pool,
            now=now,
            live=live,
            suspects=suspects.Suspects(cfg.quarantine_seconds, cfg.origin),
            rng=random.Random(cfg.seed),
            guide=guide or controller.RolloutController(lambda: None, now),
            rates=rates,
            pauses=pauses,
            rejections=rejections,
            takeover_ends_at=now() + cfg.takeover_seconds,
            server_seen_at=now(),
        )

    @property
    def suspects(self) -> suspects.Suspects:
        """Return the requests suspected of crashing servers."""
        return self._state.suspects

    def use_parts(self, parts: part_evidence.PartEvidence) -> None:
        """Use what crashes of all pools led on this host show of parts."""
        self._state.parts = parts

    def use_weights(
        self, weights: typing.Callable[[], fair_shares.Weights]
    ) -> None:
        """Give customers fair shares of the slots.

        :param weights: returns the weights of customers; without any, no shares
            are kept.
        """
        self._state.customer_shares.weights = weights

    def customers_above_share(self) -> list[ids.CustomerName]:
        """List the customers that are limited to their fair shares now."""
        return self._state.customer_shares.above(self._state.now())

    async def request_slot(
        self,
        slot_request: requests.SlotRequest,
    ) -> requests.Grant | requests.Denial:
        """Wait for a slot on a backend server.

        A repeated request with the id of a waiting one joins it; with the id of
        a granted one it gets the same grant again.

        :param slot_request: its times are on the leader's clock.
        """
        running = self._state.running.get(slot_request.request_id)
        if running is not None:
            return running.grant
        waiting = self._state.waiting.get(slot_request.request_id)
        if waiting is None:
            denied = self._deny_at_once(slot_request)
            if denied is not None:
                return denied
            waiting = self._enqueue(slot_request)
            granting.trigger_cycle(self._state)
        return await joining.wait_for_answer(
            self,
            waiting,
            self._state.running,
        )

    def withdraw(self, request_id: ids.RequestId) -> None:
        """Remove a waiting request whose caller left."""
        waiting = self._state.waiting.get(request_id)
        if waiting is not None:
            withdrawn = requests.DenialReason.withdrawn
            state.refuse(self._state, waiting, withdrawn)

    def progress(self, progress: requests.Progress) -> None:
        """Record the first token of a granted request."""
        running = self._state.running.get(progress.request_id)
        if running is not None and progress.first_token is not None:
            observations.record_first_token(
                self._state, running, progress.first_token
            )

    def release(self, release: requests.Release) -> None:
        """Release a grant and run a cycle; a repeated release is ignored."""
        running = self._state.running.pop(release.request_id, None)
        if running is None:
            return
        part_checks.record_end(self._state, running, release)
        if running.counts_for_route:
            self._state.routes.record_end(
                running.slot_request, release.outcome, self._state.now()
            )
        observations.record_unanswered(self._state, running, release.outcome)
        observations.record_end(self._state, running, release)
        server = fleet.server_of(self._state, running)
        if server is not None:
            server.remove_running(
                release.request_id,
                self._state.now(),
                answered=release.outcome in observations.ANSWERED,
            )
        granting.trigger_cycle(self._state)

    def server_crashed(
        self,
        server_id: ids.ServerId,
        _incarnation: ids.Incarnation,
    ) -> None:
        """Record the crash of a server; its requests are suspected of it."""
        server = self._state.servers.pop(server_id, None)
        if server is not None:
            # It is listed among those that serve until the next look-up.
            server.live = False
            fleet.request_sync(self._state)
            lost = [
                one.slot_request.fingerprint for one in server.running.values()
            ]
            self._state.suspects.record_crash(lost, self._state.now())
            granting.trigger_cycle(self._state)

    def owner_gone(self, owner: ids.HostId) -> None:
        """End the grants and the waiting requests of a lost entry host."""
        for waiting in list(self._state.waiting.values()):
            if waiting.slot_request.owner == owner:
                self.withdraw(waiting.slot_request.request_id)
        cancelled = requests.Outcome.cancelled
        for running in list(self._state.running.values()):
            if running.slot_request.owner == owner:
                request_id = running.slot_request.request_id
                self.release(requests.Release(request_id, cancelled))

    def adopt(self, grants: typing.Sequence[requests.OpenGrant]) -> None:
        """Adopt grants in use that another leader made."""
        fleet.sync(self._state)
        for open_grant in grants:
            if open_grant.slot_request.request_id not in self._state.running:
                self._adopt(open_grant)

    def takeover_complete(self) -> None:
        """Do nothing; grants start at the end of the takeover time.

        Owners hand over their grants by themselves until then.
        """

    def grant_waiting(self) -> None:
        """Apply a change of the announcements or the configuration.

        Servers are looked up at once, as the requests suspected of a crash may
        already be repeated.
        """
        fleet.request_sync(self._state)
        fleet.sync(self._state)
        granting.trigger_cycle(self._state)

    def rollout_load(self) -> controller.Load:
        """Return the load of the pool, for its rollout."""
        fleet.sync(self._state)
        return fleet.rollout_load(self._state)

    def _deny_at_once(
        self, slot_request: requests.SlotRequest
    ) -> requests.Denial | None:
        now = self._state.now()
        suspected = self._state.suspects
        verdict = suspected.verdict(slot_request.fingerprint, now)
        if verdict is suspects.Verdict.quarantined:
            reason = requests.DenialReason.quarantined
            wait_seconds = suspected.remaining_seconds(
                slot_request.fingerprint, now
            )
            return requests.Denial(
                slot_request.request_id, reason, int(wait_seconds * _MS)
            )
        if slot_request.deadline <= now:
            too_late = requests.DenialReason.too_late
            return state.denial(self._state, slot_request, too_late)
        return part_checks.denial(self._state, slot_request, now)

    def _enqueue(self, slot_request: requests.SlotRequest) -> records.Waiting:
        now = self._state.now()
        self._state.sequence += 1
        self._state.arrival_rate.record(now)
        waited_seconds = self._state.repeated.waited_seconds(
            slot_request.fingerprint, now
        )
        tokens = observations.expected_tokens(self._state, slot_request)
        band = lengths.Band.usual
        request_class = classes.class_of(slot_request)
        if not waited_seconds:
            self._state.shares.record_arrival(request_class, now)
            if slot_request.streams:
                band = self._state.length_bands.record_arrival(
                    request_class,
                    observations.hold_time(self._state)(slot_request, tokens),
                    now,
                )
            self._state.customer_shares.record_arrival(
                request_class, slot_request.customer, now
            )
        counts_for_route = not self._state.customer_shares.is_limited(
            request_class, slot_request.customer
        )
        is_first = slot_request.sending is requests.Sending.first
        if counts_for_route and is_first and not waited_seconds:
            self._state.routes.record_caller(slot_request, now)
        waiting = records.Waiting(
            slot_request,
            self._state.sequence,
            now,
            waited_seconds,
            tokens,
            asyncio.get_running_loop().create_future(),
            band=band,
            counts_for_route=counts_for_route,
        )
        self._state.waiting[slot_request.request_id] = waiting
        return waiting

    def _adopt(self, open_grant: requests.OpenGrant) -> None:
        waiting = self._state.waiting.pop(
            open_grant.slot_request.request_id, None
        )
        if waiting is not None:
            waiting.fut.set_result(open_grant.grant)
        running = records.Running(
            slot_request=open_grant.slot_request,
            grant=open_grant.grant,
            granted_at=self._state.now() - open_grant.age,
            read_tokens=open_grant.slot_request.prompt_tokens,
            predicted=open_grant.age,
            tokens=observations.expected_tokens(
                self._state, open_grant.slot_request
            ),
            first_token=open_grant.first_token,
        )
        server = fleet.server_of(self._state, running)
        state.register_running(self._state, server, running)
