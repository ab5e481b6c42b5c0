"""The table of the versions that began streams."""

import asyncio
import dataclasses

from geraniumweir.common import ids, timers, virtual
from geraniumweir.scheduling import requests, stream_origins, translation

_POOL = ids.PoolName('pool')
_START = (ids.ServerId('server'), ids.Incarnation(7))


def _begin(
    key: int, version: str = 'v1', seconds: float = 10
) -> stream_origins.StreamBegin:
    origin = stream_origins.StreamOrigin(
        _POOL, ids.SoftwareVersion(version), _START
    )
    return stream_origins.StreamBegin(ids.StreamKey(key), origin, seconds)


def test_stream_is_known_for_as_long_as_its_caller_may_return() -> None:
    """Others expire before or after it."""

    async def work() -> None:
        origins = stream_origins.StreamOrigins(timers.TimerService())
        for key, seconds in enumerate((3, 1, 2, 0)):
            origins.record(_begin(key, seconds=seconds))
        await asyncio.sleep(1.5)
        assert [one.key for one in origins.known()] == [0, 2]
        assert origins.find(ids.StreamKey(1)) is None
        assert int(origins.known()[0].seconds * 10) == 15
        await asyncio.sleep(2)
        assert not origins.known()

    virtual.run(work())


def test_contradicting_reports_make_a_stream_unknown() -> None:
    """The same report again does not."""

    async def work() -> None:
        origins = stream_origins.StreamOrigins(timers.TimerService())
        assert origins.record(_begin(1))
        assert not origins.record(_begin(1))
        assert origins.find(ids.StreamKey(1)).version == 'v1'
        assert origins.record(_begin(1, 'v1.1'))
        assert origins.find(ids.StreamKey(1)) is None
        assert not origins.record(_begin(1))
        versions = [one.origin.version for one in origins.known()]
        assert versions == ['v1', 'v1.1']

    virtual.run(work())


def test_content_is_known_while_its_last_stream_may_be_resumed() -> None:
    """A third stream at another version was taken for the second one."""

    async def work() -> None:
        origins = stream_origins.StreamOrigins(timers.TimerService())
        origins.record(_begin(1))
        await asyncio.sleep(8)
        assert origins.record(_begin(1))
        assert not origins.record(_begin(1, seconds=9.99))
        await asyncio.sleep(4)
        assert origins.find(ids.StreamKey(1)).version == 'v1'
        origins.record(_begin(1, 'v1.1', seconds=20))
        await asyncio.sleep(5.9)
        assert origins.find(ids.StreamKey(1)) is None
        await asyncio.sleep(0.2)
        assert origins.find(ids.StreamKey(1)).version == 'v1.1'

    virtual.run(work())


def test_streams_of_a_content_are_told_apart_by_their_ends() -> None:
    """Where two of different versions end at one time, neither is known."""

    async def work() -> None:
        origins = stream_origins.StreamOrigins(timers.TimerService())
        key = ids.StreamKey(1)
        for version, seconds in (
            ('v1', 5),
            ('v1.1', 11),
            ('v1.1', 12),
            ('v1', 16.8),
        ):
            assert origins.record(_begin(1, version, seconds))
        assert origins.find_ending(key, 5.03).version == 'v1'
        assert origins.find_ending(key, 10.97).version == 'v1.1'
        for ends_at in (4.9, 5.1, 8, 11.5, 12, 16.8):
            assert origins.find_ending(key, ends_at) is None
        assert len(origins.known()) == 4

    virtual.run(work())


def test_content_is_doubtful_where_the_begin_of_its_stream_is() -> None:
    """A grant doesn't name the incarnation that sends the first event."""

    async def work() -> None:
        origins = stream_origins.StreamOrigins(
            timers.TimerService(), lambda origin: origin.start == _START
        )
        content = ids.StreamKey(2)
        grant = stream_origins.StreamOrigin(_POOL, ids.SoftwareVersion('v1'))
        origins.record(stream_origins.StreamBegin(content, grant, 10))
        assert origins.find(content).version == 'v1'
        origins.record(dataclasses.replace(_begin(1), content=content))
        assert origins.find(content) is None
        assert len(origins.known()) == 2

    virtual.run(work())


def test_crowded_content_is_not_found_by_a_discarded_end() -> None:
    """A stream next to it was taken for the one whose end was discarded."""

    async def work() -> None:
        origins = stream_origins.StreamOrigins(timers.TimerService())
        key = ids.StreamKey(1)
        origins.record(_begin(1, 'v1', 10.05))
        for number in range(40):
            origins.record(_begin(1, 'v1.1', 10 + number))
        origins.record(_begin(1, 'v1', 80))
        assert len(origins.known()) < 40
        assert origins.find(key) is None
        assert origins.find_ending(key, 10.05) is None
        assert origins.find_ending(key, 45).version == 'v1.1'

    virtual.run(work())


def test_memory_is_bounded() -> None:
    """The oldest streams go first."""

    async def work() -> None:
        origins = stream_origins.StreamOrigins(
            timers.TimerService(), max_streams=10
        )
        for key in range(30):
            origins.record(_begin(key))
        assert [one.key for one in origins.known()] == list(range(20, 30))
        await asyncio.sleep(11)
        assert not origins.known()

    virtual.run(work())


def test_begin_and_version_survive_their_messages() -> None:
    """An empty version isn't taken for any version."""
    begin = dataclasses.replace(
        _begin(2**63 + 5), content=ids.StreamKey(2**64 - 1)
    )
    progress = requests.Progress(ids.RequestId('r'), 0.5, 1, begin)
    found = translation.unpack_progress(
        translation.pack_progress(_POOL, progress)
    )
    assert found.begin.key == begin.key
    assert found.begin.origin.agrees_with(begin.origin)
    assert found.begin.origin.start == _START
    assert found.begin.content == begin.content
    for version in (None, '', 'v1'):
        slot_request = requests.SlotRequest(
            ids.RequestId('r'),
            ids.HostId('h'),
            _POOL,
            ids.CustomerName('c'),
            ids.RuleName('r'),
            ids.Tier.normal,
            10,
            version=version,
        )
        packed = translation.pack_ask(slot_request, 1, 0)
        assert translation.unpack_ask(packed, 0).version == version
