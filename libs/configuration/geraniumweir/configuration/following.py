"""Follows the log: brings each accepted version in force on every host.

One task asks a source (:mod:`sources`) for a version newer than the one in
force. The source holds the question until it has one or the wait is over (a
long poll), so a change goes from host to host as fast as the links are, and
an idle host costs two small messages a second. What comes is the difference
to the version that the asker has (:mod:`patches`), whole where the source
doesn't have that one any more. A host that was away for hundreds of changes
takes the newest one only.

A host is sure once it heard, over any number of hosts, from a recorder that
hears the log's leader. The age of that news goes along with it, so hosts
can't keep each other sure, and those that chose each other soon part. A host
whose source isn't sure searches: it asks the best sources and, in turn, all
others that it knows, and takes the newest version among them.
"""

import asyncio
import math
import typing

import reactivex
from geraniumweir.common import eventlog, ids
from geraniumweir.configuration import (
    document,
    errors,
    holding,
    logevents,
    patches,
    sources,
    state,
)
from geraniumweir.wire import errors as wire_errors
from geraniumweir.wire import peers
from geraniumweir.wire.gen.configuration import ttypes

POLL = 1.0
_MARGIN = 0.5
_PAUSE = 0.25
_STALE = 5.0
_STALE_POLLS = 2
_LEAST_ADVANCE = 0.1
_BACK_TO_BEST = 10.0
_FIRST_SEARCH = 32
_SEARCH = 4
_NEVER = -1
_MS = 1000


class LocalRecorder(typing.Protocol):
    """The recorder that runs on this host."""

    state: state.SystemState

    def is_sure(self) -> bool:
        """Tell whether it leads a majority or hears who does."""


class Follower:
    """Keeps one host at the newest version.

    :ivar held: the version in force on this host.
    """

    def __init__(
        self,
        peer_layer: peers.Peers,
        neighbours: sources.Neighbours,
        shelf: holding.Shelf | None = None,
        recorder: LocalRecorder | None = None,
        reader: holding.Reader | None = None,
    ) -> None:
        """Take up the version kept last and answer other hosts.

        :param shelf: absent on a host without a data folder.
        :param recorder: where this host is one.
        :param reader: reads a document; the daemon gives one that does it in
            a thread, as a long document takes a tenth of a second.
        """
        self.held = holding.Holder(shelf, reader)
        self._peers = peer_layer
        self._neighbours = neighbours
        self._recorder = recorder
        self._sure_at: float | None = None
        self._source: ids.HostId | None = None
        self._searched_at = float(0)
        self._turn = 0
        self._stale_polls = 0
        peer_layer.handle(ttypes.FetchVersion, self._answer)

    @property
    def in_force(self) -> document.InForce:
        """Give the version in force."""
        return self.held.in_force

    @property
    def changes(self) -> reactivex.Observable[document.InForce]:
        """Tell of each version that comes in force."""
        return self.held.changes

    @property
    def unsure(self) -> bool:
        """Tell that the log's leader wasn't heard of since the start."""
        return self.sure_age() is None

    def sure_age(self) -> float | None:
        """Give how long ago the log's leader was heard of, in seconds."""
        if self._recorder is not None and self._recorder.is_sure():
            self._sure_at = _now()
        return None if self._sure_at is None else _now() - self._sure_at

    async def run(self) -> None:
        """Follow until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            if self._recorder is not None:
                tasks.create_task(self._follow_recorder(self._recorder))
            tasks.create_task(self._follow(self._recorder))

    async def _follow_recorder(self, recorder: LocalRecorder) -> None:
        fresh = asyncio.Event()
        subscription = recorder.state.versions.subscribe(
            lambda _newest: fresh.set(),
        )
        try:
            while True:
                fresh.clear()
                newest = recorder.state.newest()
                if newest is not None:
                    await self.held.take(newest.version, newest.text())
                await fresh.wait()
        finally:
            subscription.dispose()

    async def _follow(self, recorder: LocalRecorder | None) -> None:
        count = _FIRST_SEARCH
        while True:
            if recorder is not None and recorder.is_sure():
                await asyncio.sleep(POLL)
                continue
            known = sources.ranked(self._peers.host_id, self._neighbours)
            if self._must_search(known):
                await self._search(known, count)
                count = _SEARCH
            if self._source is None:
                await asyncio.sleep(_PAUSE)
            else:
                await self._poll(self._source)

    async def _poll(self, source: ids.HostId) -> None:
        """Ask the chosen source and keep it while it brings news.

        Hosts that chose each other while both were cut off would tell each
        other for some time that they heard of the leader lately. But what
        they tell doesn't get any younger, so they part.
        """
        before = self._sure_at or 0
        version = self.in_force.version
        is_sure = await self._ask(source, POLL)
        is_younger = (self._sure_at or 0) - before > _LEAST_ADVANCE
        if is_younger or self.in_force.version > version:
            self._stale_polls = 0
        else:
            self._stale_polls += 1
        if not is_sure or self._stale_polls >= _STALE_POLLS:
            self._source = None
            self._stale_polls = 0

    def _must_search(self, known: list[ids.HostId]) -> bool:
        if self._source is None or self._source not in known:
            return True
        if self._source == known[0]:
            return False
        return _now() - self._searched_at > _BACK_TO_BEST

    async def _search(self, known: list[ids.HostId], count: int) -> None:
        """Ask the best sources and one other; choose the best that is sure.

        :param known: best first.
        :param count: how many of the best to ask.
        """
        asked = known[:count]
        others = known[count:]
        if others:
            self._turn = (self._turn + 1) % len(others)
            asked.append(others[self._turn])
        found = await asyncio.gather(*(self._ask(one, 0) for one in asked))
        sure = (one for one, is_sure in zip(asked, found) if is_sure)
        self._source = next(sure, None)
        self._searched_at = _now()

    async def _ask(self, source: ids.HostId, wait: float) -> bool:
        """Ask one source and take what it has.

        :param wait: how long it may hold the question, in seconds.
        :returns: whether it heard of the log's leader lately.
        """
        question = ttypes.FetchVersion(
            self.held.seen,
            self.in_force.version,
            int(wait * _MS),
        )
        try:
            answer = await self._peers.call(source, question, wait + _MARGIN)
        except wire_errors.PeerError:
            return False
        if answer.patch is not None and not await self._take(source, answer):
            return False
        return self._note_age(source, answer)

    async def _take(
        self,
        source: ids.HostId,
        answer: ttypes.VersionFetched,
    ) -> bool:
        """Take a version; ask for the whole where a difference won't do."""
        old = self.held.texts.get(answer.patch.base, b'')
        try:
            text = patches.apply(answer.patch, old)
        except errors.PatchError:
            return answer.patch.base > 0 and await self._ask_whole(source)
        version = ids.Version(answer.version)
        await self.held.take(version, text.decode(errors='replace'))
        return True

    async def _ask_whole(self, source: ids.HostId) -> bool:
        question = ttypes.FetchVersion(self.held.seen, 0, 0)
        try:
            answer = await self._peers.call(source, question, _MARGIN)
        except wire_errors.PeerError:
            return False
        return answer.patch is None or await self._take(source, answer)

    def _note_age(
        self,
        source: ids.HostId,
        answer: ttypes.VersionFetched,
    ) -> bool:
        age = answer.sure_age_ms / _MS
        if answer.sure_age_ms == _NEVER or age > _STALE:
            return False
        if self._sure_at is None:
            version = self.in_force.version
            eventlog.emit(logevents.SURE, source=source, version=version)
        heard_at = _now() - age
        self._sure_at = max(self._sure_at or heard_at, heard_at)
        return True

    async def _answer(
        self,
        _sender: ids.HostId,
        question: ttypes.FetchVersion,
    ) -> ttypes.VersionFetched:
        if question.have >= self.in_force.version and question.wait_ms:
            await self.held.wait_for_news(min(question.wait_ms / _MS, POLL))
        age = self.sure_age()
        answer = ttypes.VersionFetched(
            self.in_force.version,
            None,
            _NEVER if age is None else math.ceil(age * _MS),
        )
        if self.in_force.version > question.have:
            answer.patch = self.held.patch_from(question.base)
        return answer


def _now() -> float:
    return asyncio.get_running_loop().time()
