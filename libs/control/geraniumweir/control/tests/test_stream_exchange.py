"""Hosts in touch know which version began a stream, and no host is wrong."""

import asyncio
import dataclasses
import time
import typing

import hypothesis
import pytest
from geraniumweir.common import ids, timers, virtual
from geraniumweir.control import (
    coordinator_client,
    enrolments,
    grant_coverage,
    hosts,
    ping_times,
    request_exchange,
    stream_directory,
    stream_doubts,
    stream_exchange,
)
from geraniumweir.scheduling import (
    channel,
    notices,
    recent_usage,
    requests,
    stream_origins,
    translation,
)
from geraniumweir.wire import memory
from geraniumweir.wire.gen.control import ttypes
from geraniumweir.wire.gen.scheduling import ttypes as scheduling_types
from hypothesis import strategies as st
from reactivex import subject

_POOL = ids.PoolName('pool')
_CONTROLS = ('c0', 'c1', 'c2')
_ENTRIES = ('e0', 'e1', 'e2')
_VERSIONS = ('v1', 'v1.1', 'v1.2')
_CUSTOMER_KEY = ids.CustomerKey(5)
_CLAIM = stream_origins.ContentClaim(_CUSTOMER_KEY)
_CONTENT = ids.StreamKey(98)
_START = (ids.ServerId('server'), ids.Incarnation(1))
# Hosts that reach each other for so long are in touch.
_CONTACT_SECONDS = 3.0


def _address(name: str) -> ids.Address:
    return ids.Address('10.0.0.1', sum(name.encode()))


def _card(name: str) -> hosts.ControlHost:
    return hosts.ControlHost(
        ids.HostId(name), _address(name), _address(name), ids.FailureDomain('x')
    )


def _all_versions() -> list[enrolments.Enrolment]:
    """Return a server of each version."""
    return [
        enrolments.Enrolment(
            ids.ServerId(version),
            _POOL,
            _address(version),
            ids.FailureDomain('x'),
            1,
            1,
            version=ids.SoftwareVersion(version),
        )
        for version in _VERSIONS
    ]


class _Control:
    """A control host; it leads where a test says so."""

    def __init__(self, network: memory.MemoryNetwork, name: str) -> None:
        self.host_id = ids.HostId(name)
        self.leader = ids.HostId(_CONTROLS[0])
        self.changes: subject.Subject[None] = subject.Subject()
        link = network.join(self.host_id, _address(name))
        known = hosts.ControlHosts()
        for other in _CONTROLS:
            known.register(_card(other), 0)
        self._clock = timers.TimerService()
        clock = self._clock
        self._coverage = grant_coverage.GrantCoverage()
        self.exchange = stream_exchange.StreamExchange(
            link,
            known,
            stream_exchange.make_origins(clock, lambda _: None),
            self,
            stream_doubts.StreamDoubts(
                self._coverage, lambda: len(_ENTRIES), _all_versions, clock
            ),
            clock,
        )
        request_exchange.RequestExchange(link, known, clock, (self.exchange,))
        link.handle(ttypes.Ping, self._on_ping)
        link.handle(scheduling_types.Progress, self._on_progress)

    def coordinator_id(self) -> ids.HostId:
        return self.leader

    def set_leader(self, host_id: ids.HostId) -> None:
        """Let it hear of another leader; of none if it is its own id."""
        if host_id != self.leader:
            self.leader = host_id
            self.changes.on_next(None)

    async def _on_ping(
        self, sender: ids.HostId, ping: ttypes.Ping
    ) -> ttypes.Pong:
        leads = self.leader == self.host_id
        now = self._clock.now()
        self._coverage.record_ping(
            sender,
            started=ping.started,
            covered_until=ping_times.sent_at(ping) if ping.settled else None,
            now=now,
        )
        stamp = ping_times.stamp(now)
        return ttypes.Pong(leads, False, 3, 3, 0.5, stamp=stamp)

    async def _on_progress(
        self, _sender: ids.HostId, message: scheduling_types.Progress
    ) -> None:
        self.exchange.record(translation.unpack_progress(message).begin)


class _Entry:
    """An entry host."""

    def __init__(self, network: memory.MemoryNetwork, name: str) -> None:
        self.host_id = ids.HostId(name)
        self._link = channel.Channel(network.join(self.host_id, _address(name)))
        known = hosts.ControlHosts()
        for control in _CONTROLS:
            known.register(_card(control), 0)
        clock = timers.TimerService()
        self.client = coordinator_client.CoordinatorClient(
            self._link,
            ids.FailureDomain('x'),
            known,
            lambda _: recent_usage.RecentUsage(0, {}),
            notices.Notices(clock),
        )
        self.streams = stream_directory.StreamDirectory(
            self._link,
            stream_exchange.make_origins(clock, lambda _: None),
            self.client,
            clock,
        )
        self.client.is_settled = self.streams.is_settled
        self.task = asyncio.create_task(self.client.run())

    def begin(
        self,
        key: ids.StreamKey,
        version: ids.SoftwareVersion,
        content: ids.StreamKey | None = None,
        customer: ids.CustomerKey | None = None,
        seconds: float = 60,
    ) -> None:
        """Forward the first event of a stream."""
        origin = stream_origins.StreamOrigin(_POOL, version, _START)
        begin = stream_origins.StreamBegin(
            key, origin, seconds, content, customer
        )
        self.streams.record(begin)
        progress = requests.Progress(ids.RequestId('r'), 0.1, 1, begin)
        coordinator = self.client.coordinator_id()
        if coordinator != self.host_id:
            self._link.send(
                coordinator, translation.pack_progress(_POOL, progress)
            )


@dataclasses.dataclass(slots=True)
class _Bed:
    """Three control hosts and three entry hosts.

    :ivar truth: versions that began the streams, by key.
    :ivar lost_with: entry hosts that ended, and streams that only they knew.
    """

    network: memory.MemoryNetwork
    controls: dict[str, _Control]
    entries: dict[str, _Entry]
    truth: dict[ids.StreamKey, str] = dataclasses.field(default_factory=dict)
    owners: dict[ids.StreamKey, str] = dataclasses.field(default_factory=dict)

    def begin(self, entry: str, version: str) -> ids.StreamKey:
        key = ids.StreamKey(len(self.truth) + 1)
        self.truth[key] = version
        self.owners[key] = entry
        self.entries[entry].begin(key, ids.SoftwareVersion(version))
        return key

    def cut(self, alone: typing.Collection[str]) -> None:
        """Separate some hosts from all others."""
        self.network.heal()
        everyone = (*_CONTROLS, *_ENTRIES)
        for one in everyone:
            for other in everyone:
                if (one in alone) != (other in alone):
                    self.network.cut(ids.HostId(one), ids.HostId(other))

    def lead(self, name: str, alone: typing.Collection[str] = ()) -> None:
        """Let a control host lead; those it doesn't reach lead themselves."""
        for control in self.controls.values():
            reaches = (name in alone) == (control.host_id in alone)
            control.set_leader(ids.HostId(name) if reaches else control.host_id)

    async def find_all(self, entry: str) -> dict[ids.StreamKey, str]:
        """Find all streams at a host; no answer may be wrong."""
        found = {}
        for key, version in self.truth.items():
            origin = await self.entries[entry].streams.find(key)
            assert origin is None or origin.version == version
            if origin is not None:
                found[key] = version
        return found


async def _start() -> _Bed:
    network = memory.MemoryNetwork()
    bed = _Bed(
        network,
        {name: _Control(network, name) for name in _CONTROLS},
        {name: _Entry(network, name) for name in _ENTRIES},
    )
    await asyncio.sleep(1)
    return bed


def _run(
    scenario: typing.Callable[[_Bed], typing.Coroutine[None, None, None]],
) -> None:
    async def work() -> None:
        bed = await _start()
        await scenario(bed)
        for entry in bed.entries.values():
            entry.task.cancel()
            entry.streams.close()
        for control in bed.controls.values():
            control.exchange.close()

    virtual.run(work())


def test_stream_is_known_at_another_host_a_moment_after_it_began() -> None:
    """Its caller may return as soon as it has the first event."""

    async def scenario(bed: _Bed) -> None:
        key = bed.begin('e0', 'v1.1')
        await asyncio.sleep(0.002)
        found = await bed.entries['e1'].streams.find(key)
        assert (found.pool, found.version) == (_POOL, 'v1.1')

    _run(scenario)


def test_report_that_a_short_cut_lost_is_repeated() -> None:
    """The coordinator is the same before and after the cut."""

    async def scenario(bed: _Bed) -> None:
        bed.cut(['e0'])
        key = bed.begin('e0', 'v1.1')
        await asyncio.sleep(0.01)
        bed.network.heal()
        await asyncio.sleep(_CONTACT_SECONDS)
        assert (await bed.entries['e1'].streams.find(key)).version == 'v1.1'

    _run(scenario)


@pytest.mark.parametrize('loses_owner', [False, True])
def test_new_coordinator_knows_streams_of_lost_hosts(loses_owner: bool) -> None:
    """Those of entry hosts that were lost with the coordinator too."""

    async def scenario(bed: _Bed) -> None:
        key = bed.begin('e0', 'v1')
        await asyncio.sleep(0.15)
        bed.network.leave(ids.HostId('c0'))
        if loses_owner:
            bed.network.leave(ids.HostId('e0'))
        bed.lead('c1')
        await asyncio.sleep(_CONTACT_SECONDS)
        assert (await bed.entries['e1'].streams.find(key)).version == 'v1'

    _run(scenario)


def test_host_that_is_alone_refuses_other_streams_at_once() -> None:
    """Others learn of these when it is in touch again."""

    async def scenario(bed: _Bed) -> None:
        other = bed.begin('e1', 'v1')
        bed.cut(['e0'])
        await asyncio.sleep(2)
        own = bed.begin('e0', 'v1.1')
        started = asyncio.get_running_loop().time()
        assert (await bed.find_all('e0')) == {own: 'v1.1'}
        assert asyncio.get_running_loop().time() == started
        assert (await bed.find_all('e1')) == {other: 'v1'}
        bed.network.heal()
        await asyncio.sleep(_CONTACT_SECONDS)
        for entry in _ENTRIES:
            assert len(await bed.find_all(entry)) == 2

    _run(scenario)


def test_streams_of_a_cut_off_side_are_known_after_the_cut() -> None:
    """Also those of its entry hosts that were lost meanwhile."""

    async def scenario(bed: _Bed) -> None:
        alone = ['c2', 'e0', 'e1']
        bed.cut(alone)
        bed.lead('c0', alone)
        await asyncio.sleep(2)
        key = bed.begin('e0', 'v1.2')
        await asyncio.sleep(0.5)
        bed.network.leave(ids.HostId('e0'))
        bed.network.heal()
        bed.lead('c0')
        await asyncio.sleep(_CONTACT_SECONDS)
        assert (await bed.entries['e2'].streams.find(key)).version == 'v1.2'

    _run(scenario)


def test_content_of_two_versions_stays_unknown_after_a_cut() -> None:
    """The host that coordinated meanwhile passes on what it saw of both."""

    async def scenario(bed: _Bed) -> None:
        alone = ['c2', 'e0', 'e1']
        bed.cut(alone)
        bed.lead('c0', alone)
        await asyncio.sleep(2)
        content = ids.StreamKey(1)
        for number, version in enumerate(('v1', 'v1.1')):
            bed.entries[f'e{number}'].begin(
                ids.StreamKey(2 + number), ids.SoftwareVersion(version), content
            )
        await asyncio.sleep(0.5)
        bed.network.leave(ids.HostId('e0'))
        bed.network.heal()
        bed.lead('c0')
        await asyncio.sleep(_CONTACT_SECONDS)
        streams = bed.entries['e2'].streams
        assert await streams.find(content, _CLAIM) is None
        assert (await streams.find(ids.StreamKey(2))).version == 'v1'

    _run(scenario)


def _repeat_content(bed: _Bed) -> None:
    """Begin a content twice at a host in touch, at one version."""
    for number in range(2):
        bed.entries['e1'].begin(
            ids.StreamKey(10 + number),
            ids.SoftwareVersion('v1'),
            _CONTENT,
            _CUSTOMER_KEY,
            seconds=40 + 10 * number,
        )


def test_repeated_content_is_unknown_while_a_host_is_out_of_touch() -> None:
    """It may have begun another stream; the caller is refused at once."""

    async def scenario(bed: _Bed) -> None:
        _repeat_content(bed)
        await asyncio.sleep(1)
        streams = bed.entries['e1'].streams
        assert (await streams.find(_CONTENT, _CLAIM)).version == 'v1'
        bed.cut(['e0'])
        await asyncio.sleep(1.5)
        started = asyncio.get_running_loop().time()
        assert await streams.find(_CONTENT, _CLAIM) is None
        took = asyncio.get_running_loop().time() - started
        assert took * 10 < 1
        other = ids.StreamKey(99)
        bed.entries['e1'].begin(
            ids.StreamKey(20), ids.SoftwareVersion('v1'), other
        )
        claim = stream_origins.ContentClaim(ids.CustomerKey(6))
        assert (await streams.find(other, claim)).version == 'v1'
        bed.network.heal()
        await asyncio.sleep(_CONTACT_SECONDS)
        assert (await streams.find(_CONTENT, _CLAIM)).version == 'v1'

    _run(scenario)


def test_repeated_content_is_found_by_the_time_limit_of_its_caller() -> None:
    """Beside a host that is out of touch, too."""

    async def scenario(bed: _Bed) -> None:
        _repeat_content(bed)
        ends_at = asyncio.get_running_loop().time() + 40
        await asyncio.sleep(1)
        bed.cut(['e0'])
        await asyncio.sleep(1.5)
        streams = bed.entries['e2'].streams
        for late, known in ((0.01, True), (10.01, True), (5, False)):
            claim = dataclasses.replace(_CLAIM, ends_at=ends_at + late)
            found = await streams.find(_CONTENT, claim)
            assert (found is not None) == known

    _run(scenario)


_ACTIONS = st.one_of(
    st.tuples(
        st.just('begin'), st.sampled_from(_ENTRIES), st.sampled_from(_VERSIONS)
    ),
    st.tuples(st.just('lead'), st.sampled_from(_CONTROLS), st.just('')),
    st.tuples(
        st.just('cut'),
        st.sampled_from(['e0', 'e2', 'c1', 'c2+e0', 'c2+e0+e1']),
        st.just(''),
    ),
    st.tuples(st.just('find'), st.sampled_from(_ENTRIES), st.just('')),
    st.tuples(
        st.just('wait'), st.just(''), st.sampled_from(['0.01', '0.3', '2'])
    ),
)


async def _play(
    bed: _Bed, actions: typing.Sequence[tuple[str, str, str]]
) -> None:
    alone: list[str] = []
    for action, first, second in actions:
        match action:
            case 'begin':
                bed.begin(first, second)
            case 'lead':
                bed.lead(first, alone)
            case 'cut':
                alone = first.split('+')
                bed.cut(alone)
                bed.lead('c0', alone)
            case 'find':
                await bed.find_all(first)
            case 'wait':
                await asyncio.sleep(float(second))


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(
    st.lists(_ACTIONS, max_size=25), st.sampled_from(['c0', 'c1'])
)
def test_no_series_of_cuts_and_coordinators_makes_a_host_wrong(
    actions: list[tuple[str, str, str]], last: str
) -> None:
    """And once all hosts are in touch again, all know all streams."""

    async def scenario(bed: _Bed) -> None:
        await _play(bed, actions)
        bed.network.heal()
        bed.lead(last)
        await asyncio.sleep(_CONTACT_SECONDS)
        for entry in _ENTRIES:
            assert await bed.find_all(entry) == bed.truth

    _run(scenario)


@pytest.mark.parametrize(
    ('born', 'version', 'known'),
    [(1, 'v1', True), (2, 'v1', True), (2, 'v1.1', False)],
    ids=['same start', 'same version', 'other version'],
)
def test_stream_of_a_server_that_began_again_before_it_is_doubtful(
    born: int, version: str, known: bool
) -> None:
    """Only if the new start has another version."""
    now = time.time()
    present = enrolments.Enrolment(
        ids.ServerId('server'),
        _POOL,
        _address('server'),
        ids.FailureDomain('x'),
        1,
        1,
        born=int(now * 1000) if born == 2 else 1,
        version=ids.SoftwareVersion(version),
    )

    async def work() -> None:
        origins = stream_exchange.make_origins(
            timers.TimerService(), lambda _: present
        )
        for key, began_at in enumerate((now - 5, now + 0.1)):
            origin = stream_origins.StreamOrigin(
                _POOL, ids.SoftwareVersion('v1'), _START, began_at
            )
            origins.record(
                stream_origins.StreamBegin(ids.StreamKey(key), origin, 10)
            )
        assert origins.find(ids.StreamKey(0)) is not None
        assert (origins.find(ids.StreamKey(1)) is not None) == known

    virtual.run(work())
