"""The version in force on a host, and the step from one to the next.

A version is kept in the data folder, if there is one, before it comes in
force, and one that is not newer is never taken, so that no host goes back,
not over restarts either. A host without a data folder starts from nothing.
"""

import asyncio
import collections
import typing

import reactivex
from geraniumweir.common import errors as common_errors
from geraniumweir.common import eventlog, ids
from geraniumweir.configuration import (
    document,
    errors,
    logevents,
    patches,
    reading,
)
from geraniumweir.wire.gen.configuration import ttypes
from reactivex import subject

_KEPT_TEXTS = 8
Reader = typing.Callable[[str], typing.Awaitable[document.Document]]


class Shelf(typing.Protocol):
    """Where a host with a data folder keeps its last version."""

    def load(self) -> tuple[ids.Version, str] | None:
        """Give the version kept last, or None."""

    async def save(self, version: ids.Version, text: str) -> None:
        """Keep a version; done once it is synced.

        :raises geraniumweir.common.errors.GeraniumweirError: when it isn't.
        """


class Holder:
    """The version in force and the last texts, to make differences from.

    :ivar in_force: never replaced by an older one.
    :ivar seen: the newest version seen, in force or unreadable here.
    """

    def __init__(self, shelf: Shelf | None, reader: Reader | None) -> None:
        """Take up the version kept last.

        :param shelf: absent on a host without a data folder.
        :param reader: by default one that reads on the event loop.
        """
        self.in_force = document.EMPTY
        self.seen = self.in_force.version
        self.texts: collections.OrderedDict[int, bytes] = (
            collections.OrderedDict({document.NO_VERSION: b''})
        )
        self._shelf = shelf
        self._reader = reader or _read
        self._changes: subject.Subject[document.InForce] = subject.Subject()
        self._news = asyncio.Event()
        self._taking = asyncio.Lock()
        self._load()

    @property
    def changes(self) -> reactivex.Observable[document.InForce]:
        """Tell of each version that comes in force."""
        return self._changes

    async def take(self, version: ids.Version, text: str) -> bool:
        """Bring a version in force if it is newer.

        :param text: the document as accepted.
        :returns: whether it came in force.
        """
        async with self._taking:
            if version <= self.seen:
                return False
            try:
                doc = await self._reader(text)
            except errors.DocumentError as exc:
                self._refuse(version, exc)
                return False
            await self._keep(version, text)
            self._put_in_force(document.InForce(version, doc, text))
        return True

    def patch_from(self, base: int) -> ttypes.Patch:
        """Give what turns another version into the one in force.

        :param base: where its text is gone here, the whole is given.
        """
        base = base if base in self.texts else document.NO_VERSION
        newest = self.texts[self.in_force.version]
        return patches.make(base, self.texts[base], newest)

    async def wait_for_news(self, wait: float) -> None:
        """Wait until another version is in force.

        :param wait: longest, in seconds.
        """
        try:
            async with asyncio.timeout(wait):
                await self._news.wait()
        except TimeoutError:
            return

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

    def _refuse(self, version: ids.Version, exc: errors.DocumentError) -> None:
        """Stay with the version at hand; the proposer ran a newer build."""
        self.seen = version
        eventlog.emit(
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
            eventlog.emit(
                logevents.NOT_KEPT,
                version=version,
                reason=exc.message,
            )

    def _put_in_force(self, newest: document.InForce) -> None:
        self.in_force = newest
        self.seen = newest.version
        self.texts[newest.version] = newest.text.encode()
        while len(self.texts) > _KEPT_TEXTS:
            oldest = next(version for version in self.texts if version)
            self.texts.pop(oldest)
        news = self._news
        self._news = asyncio.Event()
        news.set()
        eventlog.emit(logevents.IN_FORCE, version=newest.version)
        self._changes.on_next(newest)


async def _read(text: str) -> document.Document:
    return reading.read(text)
