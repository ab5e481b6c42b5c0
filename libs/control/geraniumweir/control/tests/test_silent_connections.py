"""Acknowledged documents are in force although connections carry nothing.

Entry hosts and control hosts talk over connections that treat lost bytes as a
kernel does.
"""

import asyncio
import itertools
import typing

import pytest
from geraniumweir.common import errors, ids, virtual
from geraniumweir.configuration import recordings
from geraniumweir.control import watching
from geraniumweir.control.tests import bed

# Time after its acknowledgement in which a document must be in force.
_IN_FORCE_SECONDS = 2
# A host counts as in touch so long after a fault of its connections has ended.
_CONTACT_SECONDS = 3
_POLL_SECONDS = 0.05
_OBSERVED_SECONDS = 8
_PUBLISH_SECONDS = 0.2
_ENTRY_HOSTS = tuple(
    (domain, ids.HostId(f'entry-{domain}-{number}'))
    for domain in bed.DOMAINS
    for number in range(2)
)

Fault = typing.Callable[[bed.Streams], None]


def _silence_entry_hosts(streams: bed.Streams) -> None:
    streams.network.silence(*(name for _, name in _ENTRY_HOSTS))


def _silence_all(streams: bed.Streams) -> None:
    _silence_entry_hosts(streams)
    streams.network.silence(*(ids.HostId(name) for name in bed.DOMAINS))


def _cut_entry_hosts(streams: bed.Streams) -> None:
    _cut_to_control_hosts(streams)
    _cut_from_control_hosts(streams)


def _cut_to_control_hosts(streams: bed.Streams) -> None:
    for (_, name), domain in itertools.product(_ENTRY_HOSTS, bed.DOMAINS):
        streams.cut(name, ids.HostId(domain))


def _cut_from_control_hosts(streams: bed.Streams) -> None:
    for (_, name), domain in itertools.product(_ENTRY_HOSTS, bed.DOMAINS):
        streams.cut(ids.HostId(domain), name)


class _Scene:
    """Control hosts, entry hosts and an operator who publishes documents.

    :ivar acknowledged: versions with the times of their acknowledgements.
    """

    def __init__(self) -> None:
        self.streams = bed.Streams()
        self.hosts = bed.Bed(self.streams)
        self.watchers: list[watching.Watcher] = []
        self.acknowledged: list[tuple[float, int]] = []
        self._operator: asyncio.Task[None] | None = None

    async def start(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(recordings, 'opened', self.hosts.opened)
        await bed.publish(await self.hosts.start(), 1)
        await asyncio.sleep(1)
        self.watchers = [
            self.hosts.enter(domain, name).watcher
            for domain, name in _ENTRY_HOSTS
        ]
        await asyncio.sleep(2)
        self._operator = asyncio.create_task(self._publish_all())
        await asyncio.sleep(1)

    async def longest_behind(self, seconds: float) -> float:
        """Return the age of the oldest acknowledgement without effect."""
        now = asyncio.get_running_loop().time
        end = now() + seconds
        behind = float(0)
        while now() < end:
            await asyncio.sleep(_POLL_SECONDS)
            oldest = min(one.version for one in self.watchers)
            overdue = [at for at, found in self.acknowledged if found > oldest]
            behind = max(behind, now() - min(overdue, default=now()))
        return behind

    def longest_pause(self) -> float:
        """Return the longest time without an acknowledgement."""
        times = [at for at, _ in self.acknowledged]
        return max(after - at for at, after in itertools.pairwise(times))

    def stop(self) -> None:
        if self._operator is not None:
            self._operator.cancel()
        self.hosts.stop()

    async def _publish_all(self) -> None:
        now = asyncio.get_running_loop().time
        for version in itertools.count(2):
            while not await self._publish(version):
                await asyncio.sleep(_POLL_SECONDS)
            self.acknowledged.append((now(), version))
            await asyncio.sleep(_PUBLISH_SECONDS)

    async def _publish(self, version: int) -> bool:
        """Store a version like an operator who tries one host after another."""
        for control in self.hosts.controls.values():
            try:
                await bed.publish(control, version)
            except errors.GeraniumweirError:
                continue
            return True
        return False


@pytest.mark.parametrize('silence', [_silence_entry_hosts, _silence_all])
def test_document_is_in_force_although_open_connections_went_silent(
    monkeypatch: pytest.MonkeyPatch,
    silence: Fault,
) -> None:
    """New connections work."""

    async def work() -> None:
        scene = _Scene()
        await scene.start(monkeypatch)
        silence(scene.streams)
        await asyncio.sleep(_CONTACT_SECONDS)
        behind = await scene.longest_behind(_OBSERVED_SECONDS)
        scene.stop()
        assert behind < _IN_FORCE_SECONDS

    virtual.run(work())


def test_documents_are_stored_soon_although_open_connections_went_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Also those between control hosts."""

    async def work() -> None:
        scene = _Scene()
        await scene.start(monkeypatch)
        _silence_all(scene.streams)
        await asyncio.sleep(_OBSERVED_SECONDS)
        scene.stop()
        assert scene.longest_pause() < _CONTACT_SECONDS

    virtual.run(work())


@pytest.mark.parametrize(
    'cut', [_cut_entry_hosts, _cut_to_control_hosts, _cut_from_control_hosts]
)
@pytest.mark.parametrize('seconds', [0.7, 1.5, 3.1, 4.9, 6.3])
def test_document_is_in_force_once_a_cut_has_ended(
    monkeypatch: pytest.MonkeyPatch,
    cut: Fault,
    seconds: float,
) -> None:
    """Bytes that were lost are sent again at growing intervals."""

    async def work() -> None:
        scene = _Scene()
        await scene.start(monkeypatch)
        cut(scene.streams)
        await asyncio.sleep(seconds)
        scene.streams.heal()
        await asyncio.sleep(_CONTACT_SECONDS)
        behind = await scene.longest_behind(_OBSERVED_SECONDS)
        scene.stop()
        assert behind < _IN_FORCE_SECONDS

    virtual.run(work())


@pytest.mark.parametrize('seconds', [1.5, 3.1, 4.9])
def test_document_is_in_force_after_cuts_that_overlap_silent_connections(
    monkeypatch: pytest.MonkeyPatch,
    seconds: float,
) -> None:
    """Connections that were made between two cuts go silent too."""

    async def work() -> None:
        scene = _Scene()
        await scene.start(monkeypatch)
        _silence_entry_hosts(scene.streams)
        await asyncio.sleep(1)
        for _ in range(2):
            _cut_entry_hosts(scene.streams)
            await asyncio.sleep(seconds)
            scene.streams.heal()
            await asyncio.sleep(0.5)
            _silence_entry_hosts(scene.streams)
        await asyncio.sleep(_CONTACT_SECONDS)
        behind = await scene.longest_behind(_OBSERVED_SECONDS)
        scene.stop()
        assert behind < _IN_FORCE_SECONDS

    virtual.run(work())


@pytest.mark.parametrize('late_seconds', [0.3, 0.7, 1.0, 1.3])
def test_document_is_in_force_where_every_answer_comes_late(
    monkeypatch: pytest.MonkeyPatch,
    late_seconds: float,
) -> None:
    """The event loop of a busy entry host may run a second late."""

    async def work() -> None:
        scene = _Scene()
        await scene.start(monkeypatch)
        for _, name in _ENTRY_HOSTS:
            scene.streams.network.late[name] = late_seconds
        behind = await scene.longest_behind(_OBSERVED_SECONDS)
        scene.stop()
        assert behind < _IN_FORCE_SECONDS + late_seconds

    virtual.run(work())
