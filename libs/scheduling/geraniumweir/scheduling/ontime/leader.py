"""Grants the capacity of one pool so that first tokens come on time.

The interface is that of
:class:`geraniumweir.scheduling.deadline_leader.DeadlinePoolLeader`. The state
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
from geraniumweir.rollout import guiding
from geraniumweir.scheduling import (
    joining,
    notices,
    requests,
    settings,
    suspects,
)
from geraniumweir.scheduling.ontime import (
    classes,
    fleet,
    granting,
    lessons,
    records,
    state,
)

_MS = 1000


def _no_pauses(_host_id: ids.HostId) -> dict[notices.Start, float]:
    return {}


class OnTimeLeader:
    """Grants the capacity of one pool."""

    def __init__(
        self,
        cfg: settings.LeaderSettings,
        now: typing.Callable[[], float],
        live: typing.Callable[[], typing.Sequence[servers.Announcement]],
        guide: guiding.Guide | None = None,
        rates: typing.Callable[
            [],
            typing.Mapping[notices.Start, float],
        ] = dict,
        pauses: state.Pauses = _no_pauses,
    ) -> None:
        """Start with an empty queue.

        :param now: gives the time in seconds, the loop's clock.
        :param live: gives the pool's backend servers that may get work.
        :param guide: decides what servers of which version may get.
        :param rates: gives the requests a second that may be granted here to
            servers that name a limit.
        :param pauses: gives the servers that want nothing from a host for a
            while.
        """
        self._state = state.LeaderState(
            pool=cfg.pool,
            now=now,
            live=live,
            suspects=suspects.Suspects(cfg.quarantine_seconds, cfg.origin),
            dice=random.Random(cfg.seed),
            guide=guide or guiding.Guide(lambda: None, now),
            rates=rates,
            pauses=pauses,
            settle_by=now() + cfg.settle_seconds,
            served_at=now(),
        )

    @property
    def suspects(self) -> suspects.Suspects:
        """Give what is known of requests that crash servers."""
        return self._state.suspects

    async def ask(
        self,
        ask: requests.Ask,
    ) -> requests.Grant | requests.Denial:
        """Wait for a backend server.

        A repeated ask of a waiting id joins it; of a granted id it gets the
        same grant again.

        :param ask: what waits; its times are on the leader's clock.
        """
        running = self._state.running.get(ask.request_id)
        if running is not None:
            return running.grant
        waiting = self._state.waiting.get(ask.request_id)
        if waiting is None:
            denied = self._deny_at_once(ask)
            if denied is not None:
                return denied
            waiting = self._enqueue(ask)
            granting.fill(self._state)
        return await joining.answer(
            self,
            waiting,
            self._state.running,
        )

    def withdraw(self, request_id: ids.RequestId) -> None:
        """Drop a request whose caller went away while it waited."""
        waiting = self._state.waiting.get(request_id)
        if waiting is not None:
            withdrawn = requests.DenialReason.withdrawn
            state.refuse(self._state, waiting, withdrawn)

    def progress(self, progress: requests.Progress) -> None:
        """Take that the first token of granted work came."""
        running = self._state.running.get(progress.request_id)
        if running is not None and progress.first_token is not None:
            lessons.first_token(self._state, running, progress.first_token)

    def release(self, release: requests.Release) -> None:
        """Take back a grant and serve who waits; a repeat is ignored."""
        running = self._state.running.pop(release.request_id, None)
        if running is None:
            return
        lessons.ended(self._state, running, release)
        server = fleet.server_of(self._state, running)
        if server is not None:
            server.end(
                release.request_id,
                self._state.now(),
                answered=release.outcome in lessons.ANSWERED,
            )
        granting.fill(self._state)

    def server_crashed(
        self,
        server_id: ids.ServerId,
        _incarnation: ids.Incarnation,
    ) -> None:
        """Take that a server crashed; its requests are suspected."""
        server = self._state.servers.pop(server_id, None)
        if server is not None:
            lost = [one.ask.fingerprint for one in server.running.values()]
            self._state.suspects.crashed(lost, self._state.now())
            granting.fill(self._state)

    def owner_gone(self, owner: ids.HostId) -> None:
        """End the grants and the waiting requests of a lost entry host."""
        for waiting in list(self._state.waiting.values()):
            if waiting.ask.owner == owner:
                self.withdraw(waiting.ask.request_id)
        cancelled = requests.Outcome.cancelled
        for running in list(self._state.running.values()):
            if running.ask.owner == owner:
                request_id = running.ask.request_id
                self.release(requests.Release(request_id, cancelled))

    def adopt(self, grants: typing.Sequence[requests.OpenGrant]) -> None:
        """Take over grants in use that another leader gave."""
        fleet.sync(self._state)
        for taken in grants:
            if taken.ask.request_id not in self._state.running:
                self._adopt(taken)

    def settled(self) -> None:
        """Keep to the settle window: owners hand over by themselves."""

    def grant_waiting(self) -> None:
        """Take that announcements or the configuration changed.

        A crash is taken at once: its suspects may be asking again.
        """
        fleet.changed(self._state)
        fleet.sync(self._state)
        granting.fill(self._state)

    def rollout_load(self) -> guiding.Load:
        """Tell how the pool does, for its rollout."""
        fleet.sync(self._state)
        return fleet.rollout_load(self._state)

    def _deny_at_once(self, ask: requests.Ask) -> requests.Denial | None:
        now = self._state.now()
        known = self._state.suspects
        verdict = known.verdict(ask.fingerprint, now)
        if verdict is suspects.Verdict.quarantined:
            reason = requests.DenialReason.quarantined
            wait = known.remaining(ask.fingerprint, now)
            return requests.Denial(ask.request_id, reason, int(wait * _MS))
        if ask.deadline <= now:
            too_late = requests.DenialReason.too_late
            return state.denial(self._state, ask, too_late)
        return None

    def _enqueue(self, ask: requests.Ask) -> records.Waiting:
        now = self._state.now()
        self._state.sequence += 1
        self._state.arriving.note(now)
        waited = self._state.repeated.waited(ask.fingerprint, now)
        if not waited:
            self._state.shares.asked(classes.class_of(ask), now)
        waiting = records.Waiting(
            ask,
            self._state.sequence,
            now,
            waited,
            lessons.expected_tokens(self._state, ask),
            asyncio.get_running_loop().create_future(),
        )
        self._state.waiting[ask.request_id] = waiting
        return waiting

    def _adopt(self, taken: requests.OpenGrant) -> None:
        waiting = self._state.waiting.pop(taken.ask.request_id, None)
        if waiting is not None:
            waiting.fut.set_result(taken.grant)
        running = records.Running(
            ask=taken.ask,
            grant=taken.grant,
            granted=self._state.now() - taken.age,
            read_tokens=taken.ask.prompt_tokens,
            predicted=taken.age,
            tokens=lessons.expected_tokens(self._state, taken.ask),
            first_token=taken.first_token,
        )
        server = fleet.server_of(self._state, running)
        state.run(self._state, server, running)
