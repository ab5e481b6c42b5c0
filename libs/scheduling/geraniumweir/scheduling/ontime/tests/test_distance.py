"""Requests stay in their caller's failure domain while there is room.

The fault: equal servers were chosen regardless of domain, so two of three
requests crossed from one domain into another.
"""

import asyncio
import collections
import dataclasses
import itertools
import random
import typing

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.membership import servers
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import distance, records
from geraniumweir.scheduling.ontime.tests import play

_DOMAINS = ('one', 'two', 'three')
_SLOTS = 6
_FAST = 0.005
# Time for an output token; an answer has a hundred.
_TOKENS = 100
_FIRST_SECONDS = 0.06
_SLOW_FACTOR = 4.4
_PERCENT = 100


def _engines(
    each: int, domains: typing.Sequence[str] = _DOMAINS
) -> list[servers.Announcement]:
    """Return some equal engines in each domain, domain after domain."""
    return [
        dataclasses.replace(
            play.server(f'{domain}-{number}', _SLOTS),
            failure_domain=ids.FailureDomain(domain),
        )
        for domain in domains
        for number in range(each)
    ]


class _Play:
    """Callers of several domains at one pool."""

    def __init__(
        self,
        engines: typing.Sequence[servers.Announcement],
        slow: typing.Collection[str] = (),
        prompt_tokens: int = 100,
    ) -> None:
        self.served: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.on_time = 0
        self._slow = slow
        self._prompt_tokens = prompt_tokens
        self._loop = asyncio.get_running_loop()
        self._pool = play.make_leader(*engines, now=self._loop.time)
        self._numbers = itertools.count()

    async def run(self, rates: dict[str, float], seconds: float) -> None:
        """Send requests at random times, at a rate for each domain."""
        rng = random.Random(1)
        tasks = [
            asyncio.create_task(self._call(domain, rng.uniform(0, seconds)))
            for domain, rate in rates.items()
            for _ in range(int(rate * seconds))
        ]
        await asyncio.gather(*tasks)

    def local_percent(self, domain: str) -> float:
        """Return the percentage of a domain's requests that stayed there."""
        served = sum(
            number for pair, number in self.served.items() if pair[0] == domain
        )
        return _PERCENT * self.served[domain, domain] / served

    async def call(self, domain: str) -> ids.ServerId:
        """Send one request, and serve it to its end."""
        now = self._loop.time()
        asked = play.make_request(
            str(next(self._numbers)),
            now,
            failure_domain=ids.FailureDomain(domain),
            prompt_tokens=self._prompt_tokens,
            target=now + 0.8,
            patience=now + 3,
        )
        grant = await self._pool.request_slot(asked)
        assert isinstance(grant, requests.Grant)
        factor = _SLOW_FACTOR if grant.server_id in self._slow else 1
        first = _FIRST_SECONDS * factor
        self.on_time += self._loop.time() + first <= asked.target
        await asyncio.sleep(first)
        self._pool.progress(requests.Progress(asked.request_id, first, 1))
        decode = _FAST * _TOKENS * factor
        await asyncio.sleep(decode)
        self._pool.release(
            requests.Release(
                asked.request_id,
                requests.Outcome.done,
                first,
                _TOKENS,
                first + decode,
            )
        )
        return grant.server_id

    async def _call(self, domain: str, due: float) -> None:
        await asyncio.sleep(due)
        server_id = await self.call(domain)
        self.served[domain, server_id.split('-')[0]] += 1


async def _play(
    engines: typing.Sequence[servers.Announcement],
    rates: dict[str, float],
    seconds: float = 10,
    slow: typing.Collection[str] = (),
) -> _Play:
    found = _Play(engines, slow)
    await found.run(rates, seconds)
    return found


def test_requests_stay_in_their_domain_while_there_is_room() -> None:
    """Six engines in each domain, half of their slots in use."""
    # 36 slots of 0.56 s serve 64 a second.
    rates = dict.fromkeys(_DOMAINS, 32.0)
    result = virtual.run(_play(_engines(6), rates))
    assert min(result.local_percent(one) for one in _DOMAINS) > 90


def test_requests_spill_over_where_their_domain_is_full() -> None:
    """A domain with 1.6 times its capacity uses the free slots of others."""
    rates = {'one': 100.0, 'two': 10.0, 'three': 10.0}
    result = virtual.run(_play(_engines(6), rates))
    assert 30 < result.local_percent('one') < 70
    assert result.on_time == sum(result.served.values())


def test_slow_engine_nearby_goes_after_fast_one_far_away() -> None:
    """Engines that take 4.4 times as long get nothing while others have room.

    Without the bound of what distance counts for, long prompts would go there.
    The first requests, which show the speeds, don't count.
    """

    async def work() -> None:
        engines = _engines(2, ('one', 'two'))
        slow = {'one-0', 'one-1'}
        found = _Play(engines, slow, prompt_tokens=20_000)
        await found.run({'one': 20}, 4)
        found.served.clear()
        await found.run({'one': 15}, 4)
        assert not found.served['one', 'one']
        assert sum(found.served.values()) == 60

    virtual.run(work())


@pytest.mark.parametrize('place', [0, 9, 16])
def test_large_pool_compares_servers_of_the_domain(place: int) -> None:
    """Of 1,394 servers in 17 domains one in 17 is near.

    The fault: with sixteen servers from a random start, domain after domain,
    most requests had none of their own domain among them.
    """

    async def work() -> None:
        domains = [f'd{number}' for number in range(17)]
        found = _Play(_engines(82, domains))
        rate = {domains[place]: 50.0}
        await found.run(rate, 1)
        assert found.local_percent(domains[place]) == 100

    virtual.run(work())


def test_lookup_of_servers_nearby_does_not_grow_with_the_pool() -> None:
    """At most sixteen are looked at, and each at most once."""
    rng = random.Random(1)
    asked = play.make_request('r', 0, failure_domain=ids.FailureDomain('one'))
    for each in (1, 3, 16, 400):
        by_domain = distance.index(
            records.Server(one) for one in _engines(each)
        )
        found = distance.nearby(by_domain, asked, rng)
        names = {server.server_id for server in found}
        assert len(found) == len(names) == min(each, 16)


@pytest.mark.parametrize(
    ('caller', 'server_domain', 'matters'),
    [
        ('one', 'two', True),
        ('one', 'one', False),
        ('', 'two', False),
        ('one', '', False),
    ],
)
def test_distance_counts_between_known_domains_only(
    caller: str, server_domain: str, matters: bool
) -> None:
    """A host or server without a domain isn't taken for a distant one."""
    asked = play.make_request('r', 0, failure_domain=ids.FailureDomain(caller))
    waiting = records.Waiting(
        asked, 1, 0, 0, _TOKENS, typing.cast(typing.Any, None)
    )
    announced = dataclasses.replace(
        play.server('a'), failure_domain=ids.FailureDomain(server_domain)
    )
    saved = distance.saved_fraction(waiting, records.Server(announced), 0.5)
    assert (saved > 0) == matters


def test_long_prompt_saves_more() -> None:
    """Bytes of the prompt and the answer count, up to a bound."""
    announced = dataclasses.replace(
        play.server('a'), failure_domain=ids.FailureDomain('two')
    )
    saved = []
    for prompt_tokens in (10, 6610, 54_600):
        asked = play.make_request(
            'r',
            0,
            failure_domain=ids.FailureDomain('one'),
            prompt_tokens=prompt_tokens,
        )
        waiting = records.Waiting(
            asked, 1, 0, 0, 1, typing.cast(typing.Any, None)
        )
        server = records.Server(announced)
        saved.append(distance.saved_fraction(waiting, server, 2.0))
    assert saved == sorted(set(saved))
    assert max(saved) * 2 < 1
