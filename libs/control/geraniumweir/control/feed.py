"""What control hosts tell those that watch them.

A watch is answered when there is something newer than the watcher has, or
when its wait is over. The document goes compressed, and only when its version
is newer.
"""

import asyncio
import contextlib
import typing
import uuid

from geraniumweir.common import ids, timers
from geraniumweir.configuration import published
from geraniumweir.configuration import rollouts as stored
from geraniumweir.control import (
    enrolments,
    hosts,
    recorders,
    standing,
)
from geraniumweir.rollout import orders
from geraniumweir.wire import peers
from geraniumweir.wire.gen.control import ttypes

_MS = 1000
# A watch is answered by then, whatever its reader asked for, in seconds: the
# reader takes silence for a lost host.
_LONGEST_WAIT_SECONDS = 2.0
# Enrolments come one by one; readers are told of those that come within this
# time together, in seconds. It counts for nothing beside the 2 s in which a
# leaving server must be known everywhere.
_GATHER_SECONDS = 0.001


class Feed:
    """Answers watches."""

    def __init__(
        self,
        link: peers.Peers,
        log: recorders.Recorders,
        table: enrolments.Enrolments,
        known: hosts.ControlHosts,
        entry_hosts: standing.EntryHosts,
        rollouts: typing.Callable[[], list[orders.Rollout]] = list,
    ) -> None:
        """Answer from now on.

        :param rollouts: gives the newest order of each pool.
        """
        self._epoch = uuid.uuid4().hex
        self._log = log
        self._table = table
        self._known = known
        self._entry_hosts = entry_hosts
        self._rollouts = rollouts
        self._clock = timers.TimerService()
        self._news = asyncio.Event()
        self._newest: published.PublishedDocument | None = None
        log.documents.subscribe(self._put)
        link.handle(ttypes.Watch, self._on_watch)

    def notify(self) -> None:
        """Wake the watchers: an enrolment changed."""
        self._news.set()
        self._news = asyncio.Event()

    def _put(self, document: published.PublishedDocument) -> None:
        # A recorder that was opened again replays what is older.
        if self._newest is None or document.version > self._newest.version:
            self._newest = document
            self.notify()

    async def _on_watch(
        self,
        sender: ids.HostId,
        watch: ttypes.Watch,
    ) -> ttypes.News:
        self._entry_hosts.heard(sender, self._clock.now())
        if watch.brief:
            return self._answer(watch)
        wait = min(watch.wait_ms / _MS, _LONGEST_WAIT_SECONDS)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait):
                await self._until_news(watch)
        self._entry_hosts.heard(sender, self._clock.now())
        return self._answer(watch)

    async def _until_news(self, watch: ttypes.Watch) -> None:
        while not self._has_news(watch):
            await self._news.wait()
        await asyncio.sleep(_GATHER_SECONDS)

    def _has_news(self, watch: ttypes.Watch) -> bool:
        if watch.epoch != self._epoch or watch.revision < self._table.revision:
            return True
        return self._is_newer(watch) or self._has_rollouts(watch)

    def _has_rollouts(self, watch: ttypes.Watch) -> bool:
        told = watch.rollouts_progress or 0
        if stored.progress(self._rollouts()) <= told:
            return False
        return self._log.is_current()

    def _is_newer(self, watch: ttypes.Watch) -> bool:
        # What is applied here is committed, so that it is newer wherever its
        # version is higher, whether or not there is something newer still.
        if self._newest is None:
            return False
        return self._newest.version > watch.version

    def _answer(self, watch: ttypes.Watch) -> ttypes.News:
        again = watch.epoch == self._epoch
        whole = not (again or watch.brief)
        if watch.brief:
            revision = watch.revision if again else 0
            changed = self._table.departing_since(revision)
        elif again:
            changed = self._table.since(watch.revision)
        else:
            changed = self._table.known()
        news = ttypes.News(
            epoch=self._epoch,
            revision=self._table.revision,
            version=watch.version,
            sure=self._log.is_current(),
            whole=whole,
            servers=[found.to_wire() for found in changed],
            hosts=[host.to_wire() for host in self._known.known()],
        )
        if self._newest is not None and self._is_newer(watch):
            news.version = self._newest.version
            news.document = self._newest.packed
        if self._has_rollouts(watch):
            known = self._rollouts()
            news.rollouts = [_to_wire(one) for one in known]
            news.rollouts_progress = stored.progress(known)
        return news


def _to_wire(found: orders.Rollout) -> ttypes.Rollout:
    return ttypes.Rollout(
        found.pool,
        found.number,
        found.to,
        int(found.phase),
        int(found.state),
    )
