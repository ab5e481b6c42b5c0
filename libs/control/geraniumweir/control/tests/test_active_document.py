"""An acknowledged document is in force at every entry host with a path.

The version in force at each watcher is checked every 50 ms.
"""

import asyncio
import typing

import pytest
from geraniumweir.common import errors, ids, virtual
from geraniumweir.configuration import recordings
from geraniumweir.control import watching
from geraniumweir.control.tests import bed

# Time after its acknowledgement in which a document must be in force
# everywhere.
_IN_FORCE_SECONDS = 2
_POLL_SECONDS = 0.05
_IMMEDIATE_SECONDS = 0.2
_BEGIN_SECONDS = 4
_CUT_SECONDS = 6
_SEARCHES_A_SECOND = 5

Partition = typing.Callable[[bed.Bed, str], None]


def _drop_outgoing(hosts: bed.Bed, domain: str) -> None:
    """Drop what a control host sends to the others; it still receives."""
    for other in bed.DOMAINS:
        if other != domain:
            hosts.network.cut(ids.HostId(domain), ids.HostId(other))


def _drop_incoming(hosts: bed.Bed, domain: str) -> None:
    """Drop what the others send to a control host."""
    for other in bed.DOMAINS:
        if other != domain:
            hosts.network.cut(ids.HostId(other), ids.HostId(domain))


def _isolate(hosts: bed.Bed, domain: str) -> None:
    _drop_outgoing(hosts, domain)
    _drop_incoming(hosts, domain)


async def _publish_anywhere(
    hosts: bed.Bed,
    cut_off: str,
    version: int,
) -> None:
    """Store a version like an operator who tries one host after another."""
    others = [name for name in bed.DOMAINS if name != cut_off]
    for _ in range(20):
        for name in others:
            try:
                await bed.publish(hosts.controls[name], version)
            except errors.GeraniumweirError:
                continue
            return
    raise AssertionError('no host stored it')


async def _longest_behind(
    watchers: typing.Sequence[watching.Watcher],
    version: int,
    seconds: float,
) -> float:
    """Return for how long the last watcher had an older version."""
    now = asyncio.get_running_loop().time
    start = now()
    behind = float(0)
    while now() < start + seconds:
        await asyncio.sleep(_POLL_SECONDS)
        if any(one.version < version for one in watchers):
            behind = now() - start
    return behind


@pytest.mark.parametrize('cut', [_drop_outgoing, _drop_incoming, _isolate])
@pytest.mark.parametrize('leads', [True, False])
def test_watchers_of_a_partitioned_control_host_have_the_newest(
    monkeypatch: pytest.MonkeyPatch,
    cut: Partition,
    leads: bool,
) -> None:
    """A control host that only receives still follows the leader."""

    async def work() -> None:
        hosts = bed.Bed()
        monkeypatch.setattr(recordings, 'opened', hosts.opened)
        leading = await hosts.start()
        await bed.publish(leading, 1)
        domain = next(
            name for name, one in hosts.controls.items() if one.leads() is leads
        )
        watchers = [
            hosts.watch(domain, f'entry-{number}') for number in range(2)
        ]
        await asyncio.sleep(1)
        cut(hosts, domain)
        await _publish_anywhere(hosts, domain, 2)
        behind = await _longest_behind(watchers, 2, _CUT_SECONDS)
        hosts.stop()
        assert behind < _IN_FORCE_SECONDS

    virtual.run(work())


@pytest.mark.parametrize('silent', [1, 2, 4])
def test_silent_control_hosts_in_a_row_do_not_delay_a_watcher(
    monkeypatch: pytest.MonkeyPatch,
    silent: int,
) -> None:
    """Replaced hosts stay registered for a while; the near one may stall."""

    async def work() -> None:
        hosts = bed.Bed()
        monkeypatch.setattr(recordings, 'opened', hosts.opened)
        leading = await hosts.start()
        await bed.publish(leading, 1)
        frozen = next(
            name for name, one in hosts.controls.items() if not one.leads()
        )
        watcher = hosts.watch(frozen, silent=silent)
        await asyncio.sleep(0.2)
        assert watcher.version == 1
        hosts.partition('entry', frozen)
        await bed.publish(leading, 2)
        behind = await _longest_behind([watcher], 2, _CUT_SECONDS)
        hosts.stop()
        assert behind < _IN_FORCE_SECONDS

    virtual.run(work())


def test_watcher_never_leaves_a_current_control_host_for_a_silent_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The near one is probed beside the one that answers."""

    async def work() -> None:
        hosts = bed.Bed()
        monkeypatch.setattr(recordings, 'opened', hosts.opened)
        leading = await hosts.start()
        await bed.publish(leading, 1)
        frozen = next(
            name for name, one in hosts.controls.items() if not one.leads()
        )
        watcher = hosts.watch(frozen)
        await asyncio.sleep(1)
        hosts.partition('entry', frozen)
        await asyncio.sleep(2)
        worst = float(0)
        for version in range(2, 22):
            await bed.publish(leading, version)
            worst = max(worst, await _longest_behind([watcher], version, 0.35))
        hosts.stop()
        assert worst < _IMMEDIATE_SECONDS

    virtual.run(work())


def test_watcher_without_a_log_leader_searches_at_a_bounded_rate(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All answer at once that they may not be up to date."""

    async def work() -> None:
        hosts = bed.Bed()
        monkeypatch.setattr(recordings, 'opened', hosts.opened)
        await bed.publish(await hosts.start(), 1)
        hosts.watch(bed.DOMAINS[0])
        await asyncio.sleep(1)
        for domain in bed.DOMAINS:
            _drop_outgoing(hosts, domain)
        await asyncio.sleep(2)
        sent = hosts.network.sent
        key = (ids.HostId('entry'), 'Watch')
        before = sent[key]
        await asyncio.sleep(_CUT_SECONDS)
        hosts.stop()
        searches = (sent[key] - before) / (len(bed.DOMAINS) + 1)
        assert searches <= _SEARCHES_A_SECOND * _CUT_SECONDS

    virtual.run(work())


def test_host_that_may_lag_publishes_its_newer_document(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What is applied is committed, and versions only grow."""

    async def work() -> None:
        hosts = bed.Bed()
        monkeypatch.setattr(recordings, 'opened', hosts.opened)
        leading = await hosts.start()
        await bed.publish(leading, 1)
        name = leading.host_id
        watcher = hosts.watch(name)
        await asyncio.sleep(1)
        for domain in bed.DOMAINS:
            hosts.partition('entry', domain)
        await bed.publish(leading, 2)
        for domain in bed.DOMAINS:
            _isolate(hosts, domain)
        await asyncio.sleep(2)
        assert not leading.log.is_current()
        hosts.network.heal()
        for domain in bed.DOMAINS:
            _isolate(hosts, domain)
            if domain != name:
                hosts.partition('entry', domain)
        behind = await _longest_behind([watcher], 2, _CUT_SECONDS)
        hosts.stop()
        assert behind < _IN_FORCE_SECONDS

    virtual.run(work())


def test_entry_host_that_starts_in_a_partition_has_a_document(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A partitioned failure domain continues to serve."""

    async def work() -> None:
        hosts = bed.Bed()
        monkeypatch.setattr(recordings, 'opened', hosts.opened)
        await bed.publish(await hosts.start(), 1)
        await asyncio.sleep(1)
        for domain in bed.DOMAINS:
            _isolate(hosts, domain)
        await asyncio.sleep(2)
        watcher = hosts.watch(bed.DOMAINS[0])
        behind = await _longest_behind([watcher], 1, _CUT_SECONDS)
        hosts.stop()
        assert behind < _BEGIN_SECONDS

    virtual.run(work())


def test_replaced_leader_confirms_nothing_once_a_newer_version_is_stored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It may not have noticed yet that the others follow another one."""

    async def work() -> None:
        hosts = bed.Bed()
        monkeypatch.setattr(recordings, 'opened', hosts.opened)
        leading = await hosts.start()
        await bed.publish(leading, 1)
        await asyncio.sleep(1)
        _isolate(hosts, leading.host_id)
        await _publish_anywhere(hosts, leading.host_id, 2)
        is_current = leading.log.is_current()
        hosts.stop()
        assert not is_current

    virtual.run(work())
