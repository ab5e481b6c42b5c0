"""No stream goes on at another version after entry hosts were killed."""

import asyncio
import dataclasses
import random
import typing

import pytest
from geraniumweir.common import ids
from geraniumweir.control.tests import test_stream_exchange as beds
from geraniumweir.scheduling import (
    granted_streams,
    requests,
    stream_origins,
)

_CUSTOMER = ids.CustomerName('customer')
CUSTOMER_KEY = stream_origins.key_of_customer(_CUSTOMER)
CLAIM = stream_origins.ContentClaim(CUSTOMER_KEY)
_ADDRESS = ids.Address('10.0.0.9', 80)
# Roll-outs that follow each other: first one server, then all others.
_ROLLOUTS = (6.0, 20.0, 32.0)
_ROLLOUT_SECONDS = 1.5
_KILLS = (8.3, 23.0, 41.0)
_DAY_SECONDS = 44
_STREAM_SECONDS = 6.0
# From a grant on, the time for which its stream may be resumed.
RESUMABLE_SECONDS = 2 * _STREAM_SECONDS + stream_origins.RETURN_SECONDS
_CONTENTS = 12


@dataclasses.dataclass(slots=True)
class _Stream:
    """A stream as its caller knows it.

    :ivar names_attempt: whether its caller says which attempt it takes up.
    """

    key: ids.StreamKey
    content: ids.Fingerprint
    version: ids.SoftwareVersion
    ends_at: float
    names_attempt: bool


@dataclasses.dataclass(slots=True)
class _Day:
    """A day of streams, roll-outs and kills, drawn from a seed.

    :ivar known: streams that were taken up where their version was known.
    """

    bed: typing.Any
    rng: random.Random
    streams: list[_Stream] = dataclasses.field(default_factory=list)
    begun: int = 0
    known: int = 0

    async def run(self) -> None:
        """Play the day; no stream may be taken for one of another version."""
        async with asyncio.TaskGroup() as tasks:
            for at in _KILLS:
                tasks.create_task(self._kill_all(at))
            while _now() < _DAY_SECONDS:
                tasks.create_task(self._begin())
                await asyncio.sleep(self.rng.expovariate(40))

    def _version(self) -> ids.SoftwareVersion:
        """Draw the version of the server that is granted now."""
        number = 0
        for at in _ROLLOUTS:
            progress = (_now() - at) / _ROLLOUT_SECONDS
            number += self.rng.random() < progress
        return ids.SoftwareVersion(f'v{number}')

    async def _begin(self) -> None:
        self.begun += 1
        stream = _Stream(
            ids.StreamKey(self.begun),
            ids.Fingerprint(self.rng.randrange(_CONTENTS)),
            self._version(),
            _now() + _STREAM_SECONDS,
            self.rng.choice((True, False)),
        )
        name = self.rng.choice(sorted(self.bed.entries))
        entry = self.bed.entries[name]
        grant(self.bed, stream.content, stream.version)
        await asyncio.sleep(self.rng.uniform(0.001, 0.2))
        if self.bed.entries[name] is entry:
            entry.begin(stream.key, stream.version, _content_key(stream))
            self.streams.append(stream)

    async def _kill_all(self, at: float) -> None:
        """Kill all entry hosts, in half of the cases the coordinator too."""
        await asyncio.sleep(at - _now())
        for name, entry in self.bed.entries.items():
            entry.task.cancel()
            entry.streams.close()
            self.bed.network.leave(ids.HostId(name))
        broken_off = [one for one in self.streams if one.ends_at > _now()]
        if self.rng.choice((True, False)):
            self.bed.lead(self.rng.choice(sorted(self.bed.controls)))
        await asyncio.sleep(self.rng.uniform(0.05, 1))
        for name in tuple(self.bed.entries):
            self.bed.entries[name] = beds._Entry(self.bed.network, name)
        await asyncio.gather(*map(self._take_up, broken_off))

    async def _take_up(self, stream: _Stream) -> None:
        """Take a stream up some times, at any host."""
        for _ in range(3):
            await asyncio.sleep(self.rng.uniform(0.001, 0.4))
            name = self.rng.choice(sorted(self.bed.entries))
            directory = self.bed.entries[name].streams
            if stream.names_attempt:
                found = await directory.find(stream.key)
            else:
                key = _content_key(stream)
                found = await directory.find(key, CLAIM)
            if found is not None:
                self.known += 1
                assert found.version == stream.version
                grant(self.bed, stream.content, stream.version)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _content_key(stream: _Stream) -> ids.StreamKey:
    return stream_origins.key_of_content(_CUSTOMER, stream.content)


def make_grant(
    content: ids.Fingerprint, version: ids.SoftwareVersion
) -> tuple[requests.SlotRequest, requests.Grant]:
    """Return a slot request for a content, and its grant."""
    slot_request = requests.SlotRequest(
        request_id=ids.RequestId('r'),
        owner=ids.HostId('e0'),
        pool=beds._POOL,
        customer=_CUSTOMER,
        rule=ids.RuleName('rule'),
        tier=ids.Tier(0),
        deadline=_now() + RESUMABLE_SECONDS - stream_origins.RETURN_SECONDS,
        fingerprint=content,
    )
    return slot_request, requests.Grant(
        slot_request.request_id, *beds._START, _ADDRESS, version
    )


def record_grant(
    control: typing.Any,
    slot_request: requests.SlotRequest,
    granted: requests.Grant,
) -> None:
    """Record a grant as a control host that coordinates does."""
    control.exchange.record(
        granted_streams.of_grant(slot_request, granted, _now())
    )


def grant(
    bed: typing.Any, content: ids.Fingerprint, version: ids.SoftwareVersion
) -> None:
    """Grant a request for a content, at the host that coordinates."""
    slot_request, granted = make_grant(content, version)
    for control in bed.controls.values():
        if control.leader == control.host_id:
            record_grant(control, slot_request, granted)


@pytest.mark.parametrize('seed', range(20))
def test_streams_keep_their_version_when_all_entry_hosts_are_killed(
    seed: int,
) -> None:
    """Streams of the old version went on at the new one, without a sign."""
    days: list[_Day] = []

    async def scenario(bed: typing.Any) -> None:
        days.append(_Day(bed, random.Random(seed)))
        await days[0].run()

    beds._run(scenario)
    assert days[0].known > days[0].begun / 10


def test_streams_of_equal_content_at_two_versions_are_unknown() -> None:
    """Their callers name no attempt, so one may be taken for the other."""

    async def scenario(bed: typing.Any) -> None:
        content = ids.Fingerprint(7)
        key = stream_origins.key_of_content(_CUSTOMER, content)
        for number, version in enumerate(('v1', 'v1.1')):
            grant(bed, content, ids.SoftwareVersion(version))
            bed.entries[f'e{number}'].begin(
                ids.StreamKey(number), ids.SoftwareVersion(version), key
            )
        for entry in bed.entries.values():
            assert await entry.streams.find(key, CLAIM) is None

    beds._run(scenario)
