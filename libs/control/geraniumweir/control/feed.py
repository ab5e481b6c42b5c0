"""Updates from control hosts to the hosts that watch them.

A watch is answered when there is something newer than the watcher has, or when
its wait is over. The document is sent compressed, and only when its version is
newer; a large one is fetched in pieces. A watcher that comes from another
control host sends digests of the servers that it has and gets only those that
differ.
"""

import asyncio
import contextlib
import typing
import uuid

from geraniumweir.common import ids, timers
from geraniumweir.configuration import published
from geraniumweir.configuration import rollouts as stored
from geraniumweir.control import (
    document_pieces,
    enrolments,
    hosts,
    reachable_hosts,
    recorders,
    server_lists,
)
from geraniumweir.rollout import orders
from geraniumweir.wire import peers
from geraniumweir.wire.gen.control import ttypes

_MS = 1000
# A watch is answered by then, whatever wait the reader requested: the reader
# takes silence for a lost host.
_MAX_WAIT_SECONDS = 2.0
# Enrolments arrive one by one; those that arrive within this time for each
# watcher are sent together, so that answers take a bounded part of the time.
_GATHER_SECONDS_PER_WATCHER = 0.002
# A leaving server must be known everywhere within 2 s.
_MAX_GATHER_SECONDS = 0.25


class Feed:
    """Answers watches."""

    def __init__(
        self,
        link: peers.Peers,
        log: recorders.Recorders,
        table: enrolments.Enrolments,
        rollouts_known: hosts.ControlHosts,
        entry_hosts: reachable_hosts.EntryHosts,
        rollouts: typing.Callable[[], list[orders.Rollout]] = list,
    ) -> None:
        """Answer from now on.

        :param rollouts: returns the newest order of each pool.
        """
        self._epoch = uuid.uuid4().hex
        self._log = log
        self._table = table
        self._known = rollouts_known
        self._entry_hosts = entry_hosts
        self._rollouts = rollouts
        self._clock = timers.TimerService()
        self._lists = server_lists.ServerLists(table, self._clock)
        self._changed = asyncio.Event()
        self._waiting = 0
        self._gathering: asyncio.TimerHandle | None = None
        self._pieces = document_pieces.DocumentPieces(link)
        log.documents.subscribe(self._set_newest)
        link.handle(ttypes.Watch, self._on_watch)

    def notify(self) -> None:
        """Answer waiting watches soon: an enrolment changed."""
        if self._gathering is None:
            self._gathering = self._clock.after(
                min(
                    self._waiting * _GATHER_SECONDS_PER_WATCHER,
                    _MAX_GATHER_SECONDS,
                ),
                self._end_gathering,
            )

    def _end_gathering(self) -> None:
        self._gathering = None
        self._wake_all()

    def _wake_all(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _set_newest(self, document: published.PublishedDocument) -> None:
        # A recorder that was reopened replays older documents.
        if document.version > self._pieces.version:
            self._pieces.set_newest(document)
            self._wake_all()

    async def _on_watch(
        self,
        sender: ids.HostId,
        watch: ttypes.Watch,
    ) -> ttypes.News:
        self._entry_hosts.heard(sender, self._clock.now())
        if watch.brief:
            return self._answer(watch)
        wait_seconds = min(watch.wait_ms / _MS, _MAX_WAIT_SECONDS)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_seconds):
                await self._wait_for_update(watch)
        self._entry_hosts.heard(sender, self._clock.now())
        return self._answer(watch)

    async def _wait_for_update(self, watch: ttypes.Watch) -> None:
        self._waiting += 1
        try:
            while not self._has_update(watch):
                await self._changed.wait()
        finally:
            self._waiting -= 1

    def _has_update(self, watch: ttypes.Watch) -> bool:
        if watch.epoch != self._epoch:
            return True
        if watch.revision < self._table.revision and self._gathering is None:
            return True
        return self._is_newer(watch) or self._has_rollouts(watch)

    def _has_rollouts(self, watch: ttypes.Watch) -> bool:
        received = watch.rollouts_progress or 0
        if stored.progress(self._rollouts()) <= received:
            return False
        return self._log.is_current()

    def _is_newer(self, watch: ttypes.Watch) -> bool:
        # What is applied here is committed, so a higher version is newer,
        # whether or not there is a still newer one elsewhere.
        return self._pieces.version > watch.version

    def _answer(self, watch: ttypes.Watch) -> ttypes.News:
        update = ttypes.News(
            epoch=self._epoch,
            revision=self._table.revision,
            version=watch.version,
            sure=self._log.is_current(),
            whole=False,
            servers=[],
            hosts=[host.to_wire() for host in self._known.known()],
        )
        self._add_servers(watch, update)
        if self._is_newer(watch):
            self._pieces.add_document(watch, update)
        if self._has_rollouts(watch):
            rollouts_known = self._rollouts()
            update.rollouts = [_to_wire(one) for one in rollouts_known]
            update.rollouts_progress = stored.progress(rollouts_known)
        return update

    def _add_servers(self, watch: ttypes.Watch, update: ttypes.News) -> None:
        """Add the servers that the watcher lacks."""
        is_same_epoch = watch.epoch == self._epoch
        if watch.brief:
            revision = watch.revision if is_same_epoch else 0
            departing = self._table.departing_since(revision)
            update.servers = [found.to_wire() for found in departing]
        elif is_same_epoch:
            update.servers = self._lists.changed_since(watch.revision)
        elif watch.digests is None:
            update.servers = [found.to_wire() for found in self._table.known()]
            update.whole = True
        else:
            differing = self._lists.differing(watch.digests)
            update.buckets = list(differing.buckets)
            update.packed = differing.packed
            update.revision = differing.revision


def _to_wire(found: orders.Rollout) -> ttypes.Rollout:
    return ttypes.Rollout(
        found.pool,
        found.number,
        found.to,
        int(found.phase),
        int(found.state),
    )
