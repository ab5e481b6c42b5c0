"""What control hosts send of servers depends on changes, not on all servers."""

import asyncio
import collections
import typing

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.configuration import recordings
from geraniumweir.control import enrolments, watching
from geraniumweir.control.tests import bed
from geraniumweir.wire import framing
from geraniumweir.wire.gen.control import ttypes

_SERVERS = 200
_CHANGES = 40
_NEWS = 'News'


def _server(number: int, version: str = '1') -> enrolments.Enrolment:
    return enrolments.Enrolment(
        ids.ServerId(f'server-{number}'),
        ids.PoolName('pool'),
        ids.Address('10.1.0.1', number + 1),
        ids.FailureDomain('ant'),
        slots=4,
        sequence=int(version),
        version=ids.SoftwareVersion(version),
    )


def _enrol(found: bed.Bed, number: int, version: str = '1') -> None:
    for control in found.controls.values():
        now = asyncio.get_running_loop().time()
        one = _server(number, version)
        control.table.merge(one, now, ids.HostId('ant'))
        control.feed.notify()


def _sent(found: bed.Bed) -> collections.Counter[str]:
    """Return the bytes that all control hosts sent to watchers."""
    return collections.Counter(
        {
            str(host_id): size
            for (host_id, name), size in found.network.sizes.items()
            if name == _NEWS
        }
    )


def _whole_size(found: bed.Bed) -> int:
    """Return the bytes of a list of all servers."""
    known = found.controls['ant'].table.known()
    return len(
        framing.encode(ttypes.Enrolled([one.to_wire() for one in known]))
    )


async def _started(
    monkeypatch: pytest.MonkeyPatch,
    watchers: int,
) -> tuple[bed.Bed, list[watching.Watcher]]:
    found = bed.Bed()
    monkeypatch.setattr(recordings, 'opened', found.opened)
    found.network.sized.add(_NEWS)
    await found.start()
    for number in range(_SERVERS):
        _enrol(found, number)
    names = map('entry-{0}'.format, range(watchers))
    started = [found.watch('ant', name) for name in names]
    await asyncio.sleep(2)
    assert all(len(one.servers.known()) == _SERVERS for one in started)
    return found, started


def _run(
    monkeypatch: pytest.MonkeyPatch,
    watchers: int,
    work: typing.Callable[
        [bed.Bed, list[watching.Watcher]], typing.Awaitable[None]
    ],
) -> None:
    async def on_bed() -> None:
        found, started = await _started(monkeypatch, watchers)
        try:
            await work(found, started)
        finally:
            found.stop()

    virtual.run(on_bed())


def test_another_control_host_sends_only_what_differs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Whole lists at each turn filled the threads of control hosts."""

    async def work(found: bed.Bed, started: list[watching.Watcher]) -> None:
        found.network.sizes.clear()
        found.partition('ant', started[0]._link.host_id)
        await asyncio.sleep(0.5)
        _enrol(found, 0, '2')
        await asyncio.sleep(3)
        changed = started[0].servers.get(ids.ServerId('server-0'))
        assert changed == _server(0, '2')
        sent = _sent(found)
        assert 0 < sent['bee'] + sent['cow'] < _whole_size(found) / 4

    _run(monkeypatch, 1, work)


def test_restarted_control_host_sends_only_what_differs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It has an epoch of its own."""

    async def work(found: bed.Bed, started: list[watching.Watcher]) -> None:
        watcher = started[0]
        link = found.controls['bee'].link
        watch = ttypes.Watch(
            -1, 'another', 0, 0, digests=watcher.servers.bucket_digests()
        )
        update = await watcher._link.call(link.host_id, watch, 1)
        assert not update.whole and not update.buckets and not update.servers

    _run(monkeypatch, 1, work)


@pytest.mark.parametrize('watchers', [30, 60, 100])
def test_changes_in_quick_succession_cost_few_answers(
    monkeypatch: pytest.MonkeyPatch,
    watchers: int,
) -> None:
    """One answer for each change and watcher filled the threads."""

    async def work(found: bed.Bed, started: list[watching.Watcher]) -> None:
        found.network.sent.clear()
        for number in range(_CHANGES):
            _enrol(found, number, '2')
            await asyncio.sleep(0.01)
        await asyncio.sleep(1)
        answers = found.network.sent[(ids.HostId('ant'), _NEWS)]
        # One every half second without a change, and one for all that changed
        # within the time that 30 answers may take.
        assert answers / watchers < 3.2 + 0.6 / (watchers * 0.002) + 1
        for one in started:
            known = one.servers.known()
            assert sum(row.version == '2' for row in known) == _CHANGES

    _run(monkeypatch, watchers, work)


@pytest.mark.parametrize('watchers', [30, 100])
def test_host_that_differs_is_sent_the_document_at_once(
    monkeypatch: pytest.MonkeyPatch,
    watchers: int,
) -> None:
    """Gathering changes of servers must not delay it."""

    async def work(found: bed.Bed, started: list[watching.Watcher]) -> None:
        _enrol(found, 0, '2')
        await bed.publish(found.controls['ant'], 7)
        await asyncio.sleep(0.02)
        assert {one.version for one in started} == {7}

    _run(monkeypatch, watchers, work)


def test_server_that_is_gone_everywhere_is_removed_by_a_partial_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The buckets that differ are listed completely."""

    async def work(found: bed.Bed, started: list[watching.Watcher]) -> None:
        for control in found.controls.values():
            control.table.remove(ids.ServerId('server-0'))
        found.partition('ant', started[0]._link.host_id)
        await asyncio.sleep(12)
        assert started[0].servers.get(ids.ServerId('server-0')) is None
        assert len(started[0].servers.known()) == _SERVERS - 1

    _run(monkeypatch, 1, work)


def test_control_hosts_exchange_only_what_differs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The whole lists of all servers were exchanged twice a second."""

    async def work(found: bed.Bed, _started: list[watching.Watcher]) -> None:
        found.network.sized.add('Enrolled')
        now = asyncio.get_running_loop().time()
        leaving = enrolments.State.leaving
        lost = enrolments.Enrolment(
            ids.ServerId('server-0'),
            ids.PoolName('pool'),
            ids.Address('10.1.0.1', 1),
            ids.FailureDomain('ant'),
            slots=4,
            sequence=2,
            state=leaving,
        )
        found.controls['ant'].table.merge(lost, now, ids.HostId('ant'))
        await asyncio.sleep(1.5)
        for control in found.controls.values():
            known = control.table.get(ids.ServerId('server-0'))
            assert known is not None and known.state is leaving
        size = sum(
            sent
            for (_, name), sent in found.network.sizes.items()
            if name == 'Enrolled'
        )
        assert 0 < size < _whole_size(found) / 4

    _run(monkeypatch, 1, work)
