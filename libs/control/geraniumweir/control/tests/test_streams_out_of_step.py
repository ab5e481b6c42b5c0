"""No stream goes on at another version beside a host that is out of step."""

import asyncio
import collections
import dataclasses
import random
import typing

import pytest
from geraniumweir.common import ids
from geraniumweir.control import stream_doubts
from geraniumweir.control.tests import test_stream_exchange as beds
from geraniumweir.control.tests import test_stream_joins as joins
from geraniumweir.scheduling import stream_origins

_SECONDS = 20.0
# All hosts are in step until then, and versions join at these times.
_CALM_SECONDS = 2.0
_RELEASES = (2.0, 10.0)
_JOIN_SECONDS = 3.0
_CONTENTS = 60
_MANY_CONTENTS = 400
_TRIES = 3
# Streams of one content end so far apart where callers have time limits.
_APART_SECONDS = 5.5
# What messages add to the time that is left of a limit.
_LATE_SECONDS = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class _Stream:
    """A stream as its caller knows it."""

    key: ids.StreamKey
    content: ids.Fingerprint
    version: ids.SoftwareVersion
    ends_at: float

    @property
    def content_key(self) -> ids.StreamKey:
        return stream_origins.key_of_content(joins._CUSTOMER, self.content)


@dataclasses.dataclass(slots=True)
class _Day:
    """A day of streams beside one entry host, drawn from a seed.

    :ivar out_of_step: how the host gets there.
    :ivar has_limits: whether callers have time limits.
    :ivar contents: how many there are.
    :ivar mixed: streams that were taken up as ones of another version.
    :ivar known: streams that were taken up where their version was known.
    """

    bed: typing.Any
    rng: random.Random
    out_of_step: str
    has_limits: bool = False
    contents: int = _CONTENTS
    begun: int = 0
    mixed: int = 0
    known: int = 0
    ends: dict[ids.Fingerprint, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )

    async def run(self) -> None:
        """Play the day; its customer is seen to repeat a content first."""
        for number in range(2):
            self.bed.entries['e1'].begin(
                ids.StreamKey(10**6 + number),
                ids.SoftwareVersion(beds._VERSIONS[0]),
                ids.StreamKey(0),
                joins.CUSTOMER_KEY,
            )
        async with asyncio.TaskGroup() as tasks:
            late = tasks.create_task(self._put_out_of_step())
            while joins._now() < _SECONDS:
                tasks.create_task(self._call())
                await asyncio.sleep(self.rng.expovariate(40))
            late.cancel()

    async def _put_out_of_step(self) -> None:
        await asyncio.sleep(_CALM_SECONDS)
        while True:
            await asyncio.sleep(self.rng.uniform(0.5, 1.5))
            match self.out_of_step:
                case 'cut':
                    self.bed.cut(['e2'])
                    await asyncio.sleep(self.rng.uniform(0.5, 2))
                    self.bed.network.heal()
                case 'killed':
                    await self._cut_and_kill()
                case 'side':
                    await self._cut_side()

    async def _cut_and_kill(self) -> None:
        """Kill a host that was alone, so that it never reports."""
        self.bed.cut(['e2'])
        await asyncio.sleep(self.rng.uniform(0.5, 2))
        entry = self.bed.entries['e2']
        entry.task.cancel()
        entry.streams.close()
        self.bed.network.leave(entry.host_id)
        self.bed.network.heal()
        await asyncio.sleep(self.rng.uniform(0.01, 1))
        self.bed.entries['e2'] = beds._Entry(self.bed.network, 'e2')

    async def _cut_side(self) -> None:
        """Let a control host stand in for one entry host."""
        alone = ['c2', 'e2']
        self.bed.cut(alone)
        self.bed.lead('c0', alone)
        await asyncio.sleep(self.rng.uniform(0.5, 3))
        self.bed.network.heal()
        self.bed.lead(self.rng.choice(('c0', 'c1')))

    def _version(self) -> ids.SoftwareVersion:
        """Draw the version of the server that is granted now."""
        number = 0
        for at in _RELEASES:
            progress = (joins._now() - at) / _JOIN_SECONDS
            number += self.rng.random() < min(progress, 0.6)
        return ids.SoftwareVersion(beds._VERSIONS[number])

    def _draw(self) -> _Stream:
        """Draw a stream."""
        self.begun += 1
        ends_at = joins._now() + joins.RESUMABLE_SECONDS
        while True:
            content = ids.Fingerprint(self.rng.randrange(self.contents))
            ends = self.ends[content]
            is_apart = not ends or ends_at > ends[-1] + _APART_SECONDS
            if is_apart or self.contents == _CONTENTS:
                break
        ends.append(ends_at)
        key = ids.StreamKey(self.begun)
        return _Stream(key, content, self._version(), ends_at)

    async def _call(self) -> None:
        """Begin a stream, and take it up at any hosts."""
        stream = self._draw()
        name = self.rng.choice(beds._ENTRIES)
        entry = self.bed.entries[name]
        if not self._grant(entry, stream):
            return
        await asyncio.sleep(self.rng.uniform(0.001, 0.2))
        if self.bed.entries[name] is not entry:
            return
        entry.begin(
            stream.key,
            stream.version,
            stream.content_key,
            joins.CUSTOMER_KEY,
            stream.ends_at - joins._now(),
        )
        for _ in range(_TRIES):
            await asyncio.sleep(self.rng.uniform(0.002, 0.4))
            await self._take_up(stream)

    def _grant(self, entry: typing.Any, stream: _Stream) -> bool:
        """Grant a request at the host that coordinates for its entry host."""
        coordinator = entry.client.coordinator_id()
        slot_request, granted = joins.make_grant(stream.content, stream.version)
        if coordinator != entry.host_id:
            control = self.bed.controls[coordinator]
            is_cut = self.bed.network.is_partitioned(entry.host_id, coordinator)
            if is_cut or control.leader != coordinator:
                return False
            joins.record_grant(control, slot_request, granted)
        entry.streams.record_grant(slot_request, granted)
        return True

    async def _take_up(self, stream: _Stream) -> None:
        name = self.rng.choice(beds._ENTRIES)
        claim = joins.CLAIM
        if self.has_limits:
            late = self.rng.uniform(0, _LATE_SECONDS)
            claim = dataclasses.replace(claim, ends_at=stream.ends_at + late)
        found = await self.bed.entries[name].streams.find(
            stream.content_key, claim
        )
        if found is not None:
            self.known += 1
            self.mixed += found.version != stream.version


def _play(
    seed: int,
    out_of_step: str,
    *,
    has_limits: bool = False,
    contents: int = _CONTENTS,
) -> _Day:
    days: list[_Day] = []

    async def scenario(bed: typing.Any) -> None:
        rng = random.Random(seed)
        days.append(_Day(bed, rng, out_of_step, has_limits, contents))
        await days[0].run()

    beds._run(scenario)
    return days[0]


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('out_of_step', ['cut', 'killed', 'side'])
def test_content_that_a_host_alone_began_is_not_taken_for_another_one(
    out_of_step: str, seed: int
) -> None:
    """Streams went on at the version of another stream of their content."""
    day = _play(seed, out_of_step)
    assert not day.mixed
    assert day.known > day.begun / 10


@pytest.mark.parametrize('out_of_step', ['cut', 'killed', 'side'])
def test_time_limits_tell_streams_of_a_content_apart(out_of_step: str) -> None:
    """All streams of a customer that repeats contents were refused."""
    without = _play(0, out_of_step, contents=_MANY_CONTENTS)
    day = _play(0, out_of_step, has_limits=True, contents=_MANY_CONTENTS)
    assert not day.mixed
    assert day.known > 2 * without.known


def test_days_beside_a_host_out_of_step_mix_streams_without_doubts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The days above would show the fault."""
    monkeypatch.setattr(
        stream_doubts.StreamDoubts, 'is_ambiguous', lambda *_: False
    )
    for out_of_step in ('cut', 'killed', 'side'):
        assert sum(_play(seed, out_of_step).mixed for seed in range(4))
