"""Routes of one rank that share plain servers in overload."""

import asyncio
import dataclasses
import itertools
import math
import random
import typing

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import route_shares
from geraniumweir.scheduling.ontime.tests import play

_SECONDS = 20
# Counts cover the overload from this second on.
_FIRST_MEASURED_SECOND = 5
_TARGET_SECONDS = 0.3
_DEADLINE_SECONDS = 1.5
_WORK_SECONDS = 0.06
_SPREAD = 0.5
_RETURN_SECONDS = 0.2
# Routes of one rank may differ by as much as classes of which one is more
# important.
_MAX_DIFFERENCE = 0.05
_SEEDS = (1, 2, 3)


@dataclasses.dataclass(slots=True)
class _Route:
    """Callers of one route, and what became of them.

    :ivar rate: callers a second.
    :ivar failures: fraction of the runs that the server fails.
    :ivar repeatable: whether a failed request is sent once more.
    :ivar rule: name of the route if several customers have callers on it.
    :ivar callers: callers after the first seconds.
    :ivar in_time: those of them with a successful response in time.
    """

    rate: float
    failures: float = 0
    repeatable: bool = True
    tier: ids.Tier = ids.Tier.normal
    customer: str = 'customer'
    rule: str = ''
    callers: int = 0
    in_time: int = 0

    @property
    def share(self) -> float:
        """Return the fraction of the callers that were served in time."""
        return self.in_time / self.callers


_Routes = typing.Mapping[str, _Route]


def _make_routes(failures: float, rate: float = 42) -> dict[str, _Route]:
    """Return three routes; the first two have the same rank."""
    return {
        'lookup': _Route(180, 0.004, repeatable=False),
        'status': _Route(rate, failures),
        'urgent': _Route(50, tier=ids.Tier.high),
    }


class _Play:
    """Callers at one plain server; refused ones return once."""

    def __init__(self, routes: _Routes, slots: int, seed: int) -> None:
        loop = asyncio.get_running_loop()
        server = dataclasses.replace(play.server('a', slots), kind='service')
        self._pool = play.make_leader(server, now=loop.time)
        customers = {one.customer for one in routes.values()}
        self._pool.use_weights(lambda: dict.fromkeys(customers, 1))
        self._routes = routes
        self._rng = random.Random(seed)
        self._numbers = itertools.count()

    async def run(self) -> None:
        async with asyncio.TaskGroup() as group:
            for name in self._routes:
                group.create_task(self._send(name, group))

    async def _send(self, name: str, group: asyncio.TaskGroup) -> None:
        loop = asyncio.get_running_loop()
        route = self._routes[name]
        while loop.time() < _SECONDS:
            await asyncio.sleep(self._rng.expovariate(route.rate))
            group.create_task(self._call(name, route))

    async def _call(self, name: str, route: _Route) -> None:
        loop = asyncio.get_running_loop()
        start = loop.time()
        fingerprint = ids.Fingerprint(next(self._numbers))
        served = await self._attempt(name, route, fingerprint)
        if not served:
            await asyncio.sleep(_RETURN_SECONDS)
            served = await self._attempt(name, route, fingerprint)
        if start < _FIRST_MEASURED_SECOND:
            return
        route.callers += 1
        if served and loop.time() - start <= _TARGET_SECONDS:
            route.in_time += 1

    async def _attempt(
        self, name: str, route: _Route, fingerprint: ids.Fingerprint
    ) -> bool:
        """Return whether an attempt of a caller was successful."""
        start = asyncio.get_running_loop().time()
        for sending in (requests.Sending.first, requests.Sending.retry):
            slot_request = play.make_request(
                f'{name} {next(self._numbers)}',
                start,
                rule=ids.RuleName(route.rule or name),
                customer=ids.CustomerName(route.customer),
                tier=route.tier,
                sending=sending,
                fingerprint=fingerprint,
                target=start + _TARGET_SECONDS,
                deadline=start + _DEADLINE_SECONDS,
                patience=math.inf,
                prompt_tokens=0,
                max_tokens=1,
                likely_tokens=1,
                streams=False,
            )
            answer = await self._pool.request_slot(slot_request)
            if isinstance(answer, requests.Denial):
                return False
            if await self._serve(route, answer):
                return True
            if not route.repeatable:
                return False
        return False

    async def _serve(self, route: _Route, grant: requests.Grant) -> bool:
        median = math.log(_WORK_SECONDS) - _SPREAD**2 / 2
        seconds = self._rng.lognormvariate(median, _SPREAD)
        await asyncio.sleep(seconds)
        fails = self._rng.random() < route.failures
        outcome = (
            requests.Outcome.answered_failure
            if fails
            else requests.Outcome.done
        )
        self._pool.release(
            requests.Release(grant.request_id, outcome, seconds, 1, seconds)
        )
        return not fails


def _simulate(routes: _Routes, slots: int, seed: int) -> None:
    async def scenario() -> None:
        await _Play(routes, slots, seed).run()

    virtual.run(scenario())


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('slots', [6, 9, 12])
def test_small_route_with_failures_is_not_starved_by_its_peer(
    slots: int, seed: int
) -> None:
    """Its repeats were the first to be refused, and nothing counted them."""
    routes = _make_routes(failures=0.14)
    _simulate(routes, slots, seed)
    difference = routes['lookup'].share - routes['status'].share
    assert difference <= _MAX_DIFFERENCE
    assert routes['urgent'].share >= 1 - _MAX_DIFFERENCE


@pytest.mark.parametrize('seed', _SEEDS)
def test_route_that_always_fails_takes_no_slots_of_its_peer(seed: int) -> None:
    """Beside ordinary failures the peer has as many."""
    ordinary, always = _make_routes(failures=0.14), _make_routes(failures=1)
    for routes in (ordinary, always):
        _simulate(routes, slots=12, seed=seed)
    lowest = ordinary['lookup'].share - _MAX_DIFFERENCE
    assert always['lookup'].share >= lowest


def _request(
    rule: str, now: float = 0, **changes: typing.Any
) -> requests.SlotRequest:
    return play.make_request(
        f'{rule}-{now}',
        now,
        rule=ids.RuleName(rule),
        **{'streams': False, **changes},
    )


def _shares(
    served: typing.Mapping[str, tuple[int, int]], **changes: typing.Any
) -> route_shares.RouteShares:
    """Return shares of routes with some callers and grants in time."""
    shares = route_shares.RouteShares()
    for rule, (callers, grants) in served.items():
        for _ in range(callers):
            shares.record_caller(_request(rule, **changes), 0)
        for _ in range(grants):
            shares.record_grant(_request(rule, **changes), 0)
    return shares


def _rules_behind(shares: route_shares.RouteShares, now: float = 0) -> set[str]:
    return {str(rule) for _, rule in shares.behind(now)}


def test_route_with_few_callers_is_not_judged() -> None:
    """One caller that was refused says nothing about its route."""
    shares = _shares({'large': (100, 50), 'small': (3, 0)})
    assert not _rules_behind(shares)
    shares = _shares({'large': (100, 50), 'small': (6, 0)})
    assert _rules_behind(shares) == {'small'}


def test_failed_grants_serve_nobody() -> None:
    """A route with as many grants as its peer is behind if some of them fail.

    Beyond a sixth of the grants failures aren't made up for.
    """
    for failures, expected in ((0, set()), (20, {'status'})):
        shares = _shares({'lookup': (100, 50), 'status': (100, 50)})
        for _ in range(failures):
            failed = requests.Outcome.answered_failure
            shares.record_end(_request('status'), failed, 0)
        assert _rules_behind(shares) == expected
    shares = _shares({'lookup': (100, 50), 'status': (100, 63)})
    for _ in range(63):
        shares.record_end(_request('status'), requests.Outcome.failed, 0)
    assert not _rules_behind(shares)


def test_routes_of_other_ranks_are_not_compared() -> None:
    """A less important route that is served less often isn't behind."""
    shares = _shares({'first': (100, 90)})
    for _ in range(100):
        shares.record_caller(_request('second', rank=1), 0)
    assert not _rules_behind(shares)


def test_route_of_long_streams_yields_to_short_ones_within_bounds() -> None:
    """Equal service would cost more callers of the short ones."""
    for grants, expected in ((40, set()), (25, {'long'})):
        served = {'short': (100, 60), 'long': (100, grants)}
        assert _rules_behind(_shares(served, streams=True)) == expected


def test_idle_routes_are_removed() -> None:
    """The routes of old documents would fill the memory."""
    shares = _shares({f'r{number}': (100, 0) for number in range(100)})
    assert len(shares.log_summary(0, 200)) == 100
    shares.record_caller(_request('new'), 1000)
    assert len(shares.log_summary(1000, 200)) == 1


@pytest.mark.parametrize('seed', _SEEDS)
def test_customer_above_its_share_gains_nothing_for_its_route(
    seed: int,
) -> None:
    """Its refused callers would let the route overtake those of others."""
    routes = {'heavy': _Route(300, customer='heavy', rule='status')}
    for customer in 'abcd':
        for rule, rate in (('lookup', 45), ('status', 10)):
            route = _Route(rate, customer=customer, rule=rule)
            routes[f'{rule} {customer}'] = route
    _simulate(routes, slots=12, seed=seed)
    lookup, status = (
        _total_share(one for name, one in routes.items() if name.startswith(of))
        for of in ('lookup', 'status')
    )
    assert abs(lookup - status) <= _MAX_DIFFERENCE


def _total_share(routes: typing.Iterable[_Route]) -> float:
    listed = list(routes)
    callers = sum(one.callers for one in listed)
    return sum(one.in_time for one in listed) / callers
