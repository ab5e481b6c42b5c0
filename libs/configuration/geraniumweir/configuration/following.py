"""Follows the log: brings each accepted version in force on every host.

One task asks one source after the other (:mod:`sources`) for a version newer
than the one in force. The source holds the question until it has one or the
wait is over (a long poll), so a change goes from host to host as fast as the
links are, and an idle host costs two small messages a second. What comes is
the difference to the version that the asker has (:mod:`patches`), whole where
the source doesn't have that one any more. A host that was away for hundreds
of changes takes the newest one only.

A version is kept in the data folder, if there is one, before it comes in
force, and one that is not newer is never taken. A host is sure once it heard,
over any number of hosts, from a recorder that hears the log's leader; the age
of that news goes along with it, so hosts can't keep each other sure.
"""

import asyncio
import collections
import typing

import reactivex
from geraniumweir.common import errors as common_errors
from geraniumweir.common import ids
from geraniumweir.configuration import (
    changes,
    document,
    errors,
    logevents,
    patches,
    reading,
    sources,
    state,
)
from geraniumweir.wire import errors as wire_errors
from geraniumweir.wire import peers
from geraniumweir.wire.gen.configuration import ttypes
from reactivex import subject

POLL = 1.0
_MARGIN = 0.5
_PAUSE = 0.1
_STALE = 5.0
_KEPT_TEXTS = 8
_FIRST_ROUND = 32
_NEVER = -1
_MS = 1000


class Shelf(typing.Protocol):
    """Where a host with a data folder keeps its last version."""

    def load(self) -> tuple[ids.Version, str] | None:
        """Give the version kept last, or None."""

    async def save(self, version: ids.Version, text: str) -> None:
        """Keep a version; done once it is synced.

        :raises geraniumweir.common.errors.GeraniumweirError: when it isn't.
        """


class LocalRecorder(typing.Protocol):
    """The recorder that runs on this host."""

    state: state.SystemState

    def is_sure(self) -> bool:
        """Tell whether it leads a majority or hears who does."""


class Follower:
    """The configuration in force on one host.

    :ivar in_force: never replaced by an older one.
    """

    def __init__(
        self,
        peer_layer: peers.Peers,
        neighbours: sources.Neighbours,
        shelf: Shelf | None = None,
        recorder: LocalRecorder | None = None,
        read: typing.Callable[
            [str],
            typing.Awaitable[document.Document],
        ]
        | None = None,
    ) -> None:
        """Take up the version kept last and answer other hosts.

        :param shelf: absent on a host without a data folder.
        :param recorder: where this host is one.
        :param read: reads a document; the daemon gives one that does it in a
            thread, as long documents take a tenth of a second.
        """
        self.in_force = document.EMPTY
        self._peers = peer_layer
        self._neighbours = neighbours
        self._shelf = shelf
        self._recorder = recorder
        self._read = read or _read
        self._texts: collections.OrderedDict[int, bytes] = (
            collections.OrderedDict({patches.NO_BASE: b''})
        )
        self._changes: subject.Subject[document.InForce] = subject.Subject()
        self._news = asyncio.Event()
        self._taking = asyncio.Lock()
        self._sure_at: float | None = None
        self._refused = 0
        self._next = 0
        self._load()
        peer_layer.handle(ttypes.FetchVersion, self._answer)

    @property
    def changes(self) -> reactivex.Observable[document.InForce]:
        """Tell of each version that comes in force."""
        return self._changes

    @property
    def unsure(self) -> bool:
        """Tell that the log's leader wasn't heard of since the start."""
        return self._sure_at is None

    def sure_age(self) -> float | None:
        """Give how long ago the log's leader was heard of, in seconds."""
        if self._recorder is not None and self._recorder.is_sure():
            self._sure_at = self._now()
        if self._sure_at is None:
            return None
        return self._now() - self._sure_at

    async def run(self) -> None:
        """Follow until cancelled."""
        if self._recorder is None:
            await self._first_round()
            await self._follow()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._follow_recorder(self._recorder))
            tasks.create_task(self._follow())

    async def take(self, version: ids.Version, text: str) -> bool:
        """Bring a version in force if it is newer.

        :param text: the document as accepted.
        :returns: whether it is in force now.
        """
        async with self._taking:
            if version <= self.in_force.version or version == self._refused:
                return False
            try:
                doc = await self._read(text)
            except errors.DocumentError as exc:
                self._refuse(version, exc)
                return False
            await self._keep(version, text)
            self._put_in_force(document.InForce(version, doc, text))
        return True

    def _load(self) -> None:
        kept = None if self._shelf is None else self._shelf.load()
        if kept is None:
            return
        version, text = kept
        try:
            doc = reading.read(text)
        except errors.DocumentError as exc:
            self._refuse(version, exc)
            return
        self._put_in_force(document.InForce(version, doc, text))

    def _refuse(self, version: int, exc: errors.DocumentError) -> None:
        """Stay with the version at hand; the recorders run a newer build."""
        self._refused = version
        logevents.emit(
            logevents.UNREADABLE,
            version=version,
            kept=self.in_force.version,
            reason=exc.message,
        )

    async def _keep(self, version: ids.Version, text: str) -> None:
        if self._shelf is None:
            return
        try:
            await self._shelf.save(version, text)
        except common_errors.GeraniumweirError as exc:
            # In force everywhere goes before kept on one broken disk.
            logevents.emit(
                logevents.NOT_KEPT,
                version=version,
                reason=exc.message,
            )

    def _put_in_force(self, newest: document.InForce) -> None:
        self.in_force = newest
        self._texts[newest.version] = newest.text.encode()
        while len(self._texts) > _KEPT_TEXTS:
            oldest = next(key for key in self._texts if key)
            self._texts.pop(oldest)
        news = self._news
        self._news = asyncio.Event()
        news.set()
        logevents.emit(logevents.IN_FORCE, version=newest.version)
        self._changes.on_next(newest)

    async def _follow_recorder(self, recorder: LocalRecorder) -> None:
        fresh = asyncio.Event()
        subscription = recorder.state.versions.subscribe(
            lambda _newest: fresh.set(),
        )
        try:
            while True:
                fresh.clear()
                await self._take_accepted(recorder.state.newest())
                await fresh.wait()
        finally:
            subscription.dispose()

    async def _take_accepted(self, newest: changes.Accepted | None) -> None:
        if newest is not None:
            await self.take(newest.version, newest.text())

    async def _first_round(self) -> None:
        """Ask many at once, so that a cut off host has the newest soon."""
        known = sources.ranked(self._peers.host_id, self._neighbours)
        await asyncio.gather(
            *(self._ask(source, 0) for source in known[:_FIRST_ROUND]),
        )

    async def _follow(self) -> None:
        while True:
            if self._recorder is not None and self._recorder.is_sure():
                self._sure_at = self._now()
                await asyncio.sleep(POLL)
                continue
            known = sources.ranked(self._peers.host_id, self._neighbours)
            # A source that answered surely is kept, back to the best of all
            # once a second; one that didn't makes way for the next.
            self._next = self._next if self._next < len(known) else 0
            is_sure = bool(known) and await self._ask(
                known[self._next],
                POLL if self._is_fresh() else 0,
            )
            self._next = 0 if is_sure else self._next + 1
            if not is_sure:
                await asyncio.sleep(_PAUSE)

    async def _ask(self, source: ids.HostId, wait: float) -> bool:
        """Ask one source and take what it has.

        :param wait: how long it may hold the question, in seconds.
        :returns: whether it heard of the log's leader lately.
        """
        have = max(self.in_force.version, self._refused)
        question = ttypes.FetchVersion(have, int(wait * _MS))
        try:
            answer = await self._peers.call(source, question, wait + _MARGIN)
        except wire_errors.PeerError:
            return False
        if answer.patch is not None:
            await self._take_patch(answer)
        return self._note_age(source, answer)

    async def _take_patch(self, answer: ttypes.VersionFetched) -> None:
        old = self._texts.get(answer.patch.base)
        if old is None:
            return
        try:
            text = patches.apply(answer.patch, old)
        except errors.PatchError:
            # Two histories; asked again, the source sends all of it.
            self._texts.pop(answer.patch.base, None)
            return
        await self.take(
            ids.Version(answer.version),
            text.decode(errors='replace'),
        )

    def _note_age(
        self,
        source: ids.HostId,
        answer: ttypes.VersionFetched,
    ) -> bool:
        age = answer.sure_age_ms / _MS
        if answer.sure_age_ms == _NEVER or age > _STALE:
            return False
        if self.unsure:
            version = self.in_force.version
            logevents.emit(logevents.SURE, source=source, version=version)
        heard_at = self._now() - age
        self._sure_at = max(self._sure_at or 0, heard_at)
        return True

    async def _answer(
        self,
        _sender: ids.HostId,
        question: ttypes.FetchVersion,
    ) -> ttypes.VersionFetched:
        if question.have >= self.in_force.version and question.wait_ms:
            await self._wait_for_news(question.wait_ms / _MS)
        age = self.sure_age()
        answer = ttypes.VersionFetched(
            self.in_force.version,
            None,
            _NEVER if age is None else int(age * _MS),
        )
        if self.in_force.version > question.have:
            answer.patch = self._patch_from(question.have)
        return answer

    async def _wait_for_news(self, wait: float) -> None:
        try:
            async with asyncio.timeout(min(wait, POLL)):
                await self._news.wait()
        except TimeoutError:
            return

    def _patch_from(self, have: int) -> ttypes.Patch:
        base = have if have in self._texts else patches.NO_BASE
        newest = self._texts[self.in_force.version]
        return patches.make(base, self._texts[base], newest)

    def _is_fresh(self) -> bool:
        age = self.sure_age()
        return age is not None and age <= _STALE

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


async def _read(text: str) -> document.Document:
    return reading.read(text)
