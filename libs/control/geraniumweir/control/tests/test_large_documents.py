"""Large documents, from control hosts to entry hosts."""

import asyncio
import random

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.configuration import commands, recordings
from geraniumweir.control import document_pieces, errors, watching
from geraniumweir.control.tests import bed as beds
from geraniumweir.wire.gen.control import ttypes

_ENTRY_HOSTS = 20
# A change must be in force 2 s after it was acknowledged.
_IN_FORCE_SECONDS = 2.0


def _content(version: int, size: int = commands.MAX_DOCUMENT_BYTES) -> bytes:
    """Return a document that compression shortens by half at most."""
    start = b'%d ' % version
    rng = random.Random(version)
    return start + rng.randbytes(size).hex().encode()[: size - len(start)]


async def _wait_for(
    watchers: list[watching.Watcher], version: int, seconds: float
) -> None:
    async with asyncio.timeout(seconds):
        while any(one.version != version for one in watchers):
            await asyncio.sleep(0.05)


def test_largest_document_reaches_entry_hosts_in_bounded_messages(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All of them start at once; nothing of the document goes to one twice."""

    async def work() -> None:
        bed = beds.Bed()
        monkeypatch.setattr(recordings, 'opened', bed.opened)
        bed.network.sized |= {'News', 'DocumentPiece'}
        leading = await bed.start()
        content = _content(2)
        await leading.documents.publish(ids.Version(2), content)
        watchers = [
            bed.watch(beds.DOMAINS[number % 3], f'entry-{number}')
            for number in range(_ENTRY_HOSTS)
        ]
        await _wait_for(watchers, 2, _IN_FORCE_SECONDS)
        news = sum(
            size for key, size in bed.network.sizes.items() if key[1] == 'News'
        )
        assert news < document_pieces.PIECE_BYTES
        pieces = sum(bed.network.sizes.values()) - news
        assert pieces < _ENTRY_HOSTS * len(content)
        later = _content(3)
        await leading.documents.publish(ids.Version(3), later)
        await _wait_for(watchers, 3, _IN_FORCE_SECONDS)
        bed.stop()

    virtual.run(work())


def test_document_over_the_limit_leaves_the_next_one_stored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No document would be acknowledged while the log's leader runs."""

    async def work() -> None:
        bed = beds.Bed()
        monkeypatch.setattr(recordings, 'opened', bed.opened)
        leading = await bed.start()
        watcher = bed.watch(beds.DOMAINS[0])
        for control in bed.controls.values():
            with pytest.raises(errors.DocumentTooLargeError, match='bytes'):
                await control.documents.publish(
                    ids.Version(2), _content(2, commands.MAX_DOCUMENT_BYTES + 1)
                )
        await beds.publish(leading, 3)
        await _wait_for([watcher], 3, _IN_FORCE_SECONDS)
        bed.stop()

    virtual.run(work())


def test_fetch_goes_on_with_a_document_that_replaced_the_fetched_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its control host has the newest document only."""

    async def work() -> None:
        bed = beds.Bed()
        monkeypatch.setattr(recordings, 'opened', bed.opened)
        leading = await bed.start()
        watcher = bed.watch(beds.DOMAINS[0])
        for version in range(2, 7):
            content = _content(version)
            await leading.documents.publish(ids.Version(version), content)
            await asyncio.sleep(0.003)
        await _wait_for([watcher], 6, _IN_FORCE_SECONDS)
        bed.stop()

    virtual.run(work())


def test_host_of_an_earlier_build_gets_a_large_document_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It does not ask for pieces."""

    async def work() -> None:
        bed = beds.Bed()
        monkeypatch.setattr(recordings, 'opened', bed.opened)
        leading = await bed.start()
        content = _content(2)
        await leading.documents.publish(ids.Version(2), content)
        name = ids.HostId('earlier')
        link = bed.network.join(name, beds.address(name))
        watch = ttypes.Watch(-1, '', 0, 0)
        update = await link.call(leading.host_id, watch, 1)
        assert len(update.document) > document_pieces.PIECE_BYTES
        bed.stop()

    virtual.run(work())
