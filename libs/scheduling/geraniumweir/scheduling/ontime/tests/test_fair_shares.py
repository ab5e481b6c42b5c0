"""Fair shares of customers in a pool that is crowded.

The fault: when one customer sent several times its usual load, all customers
were refused as often as it was.
"""

import asyncio
import dataclasses
import random
import typing

import pytest
from geraniumweir.common import eventlog, ids, virtual
from geraniumweir.scheduling import logevents, requests
from geraniumweir.scheduling.ontime import (
    classes,
    fair_shares,
    leader,
    ordering,
    records,
)
from geraniumweir.scheduling.ontime.tests import play

_SERVERS = 8
_SLOTS = 5
_HOLD_SECONDS = 0.5
# Requests a second that the slots serve.
_CAPACITY = _SERVERS * _SLOTS / _HOLD_SECONDS
_FIRST_TOKEN_SECONDS = 0.06
_TARGET_SECONDS = 0.4
_SECONDS = 20
# Results of the first seconds aren't counted.
_SETTLE_SECONDS = 5
_SEEDS = (1, 2, 3)

_Rates = typing.Mapping[str, float]
_Weights = typing.Mapping[ids.CustomerName, float]


@dataclasses.dataclass(slots=True)
class _Play:
    """Customers that send requests at random times to one pool.

    :ivar weights: none to keep no shares.
    :ivar restart_at: when a new leader without usage takes over, in seconds.
    :ivar granted: grants to each customer.
    :ivar on_time: first tokens to each customer before their targets.
    """

    rates: _Rates
    weights: _Weights
    seed: int = 1
    first: float = _SETTLE_SECONDS
    last: float = _SECONDS
    restart_at: float = float('inf')
    streams: bool = True
    granted: dict[str, int] = dataclasses.field(default_factory=dict)
    on_time: dict[str, int] = dataclasses.field(default_factory=dict)
    pool: leader.OnTimePoolLeader | None = None

    def run(self) -> typing.Self:
        """Run in virtual time."""
        virtual.run(self._run())
        return self

    @property
    def total_on_time(self) -> int:
        """Return the first tokens of all customers before their targets."""
        return sum(self.on_time.values())

    async def _run(self) -> None:
        self._start_leader()
        async with asyncio.TaskGroup() as group:
            for name in self.rates:
                group.create_task(self._send(name, group))
            if self.restart_at < self.last:
                await asyncio.sleep(self.restart_at)
                self._start_leader()

    def _start_leader(self) -> None:
        """Start a leader that knows no usage.

        The requests of the one before end unknown to it, as in the time before
        entry hosts hand over their grants.
        """
        now = asyncio.get_running_loop().time
        servers = [play.server(f's{one}', _SLOTS) for one in range(_SERVERS)]
        self.pool = play.make_leader(*servers, now=now)
        self.pool.use_weights(lambda: self.weights)

    async def _send(self, name: str, group: asyncio.TaskGroup) -> None:
        """Send the requests of a customer.

        Each customer has random numbers of its own, so that the others send the
        same requests whatever one of them sends.
        """
        loop = asyncio.get_running_loop()
        rng = random.Random(f'{name} {self.seed}')
        start = loop.time()
        number = 0
        while loop.time() - start < self.last:
            await asyncio.sleep(rng.expovariate(self.rates[name]))
            number += 1
            counts = loop.time() - start >= self.first
            group.create_task(self._call(name, number, counts=counts))

    async def _call(self, name: str, number: int, *, counts: bool) -> None:
        loop = asyncio.get_running_loop()
        start = loop.time()
        slot_request = play.make_request(
            f'{name} {number}',
            start,
            customer=ids.CustomerName(name),
            streams=self.streams,
            target=start + _TARGET_SECONDS,
        )
        pool = self.pool
        answer = await pool.request_slot(slot_request)
        if isinstance(answer, requests.Denial):
            return
        await asyncio.sleep(_FIRST_TOKEN_SECONDS)
        pool.progress(
            requests.Progress(answer.request_id, _FIRST_TOKEN_SECONDS, 1)
        )
        if counts:
            self.granted[name] = self.granted.get(name, 0) + 1
            on_time = loop.time() - start <= _TARGET_SECONDS
            self.on_time[name] = self.on_time.get(name, 0) + on_time
        await asyncio.sleep(_HOLD_SECONDS - _FIRST_TOKEN_SECONDS)
        pool.release(
            requests.Release(
                answer.request_id,
                requests.Outcome.done,
                _FIRST_TOKEN_SECONDS,
                100,
                _HOLD_SECONDS,
            )
        )


def _equal(names: typing.Iterable[str]) -> _Weights:
    return {ids.CustomerName(name): 1 for name in names}


_USUAL = {f'c{number}': 0.95 * _CAPACITY / 16 for number in range(16)}
_ONE_HEAVY = {**_USUAL, 'c0': 6 * _USUAL['c0']}


def _others(played: _Play) -> int:
    return played.total_on_time - played.on_time['c0']


@pytest.mark.parametrize('seed', _SEEDS)
def test_heavy_customer_does_not_harm_the_others(seed: int) -> None:
    """One of 16 sends six times its usual load; the others notice nothing.

    What they leave is its own, so the slots are as full as without shares.
    Without shares the others have 0.82 to 0.87 of what they usually have.
    """
    usual = _Play(_USUAL, _equal(_USUAL), seed).run()
    heavy = _Play(_ONE_HEAVY, _equal(_USUAL), seed).run()
    without = _Play(_ONE_HEAVY, {}, seed).run()
    assert _others(heavy) >= 0.95 * _others(usual)
    assert sum(heavy.granted.values()) >= 0.95 * sum(without.granted.values())


@pytest.mark.parametrize('seed', _SEEDS)
def test_heavy_customer_does_not_harm_others_of_plain_servers(
    seed: int,
) -> None:
    """In the order of plain requests, newest first, the same holds."""
    usual = _Play(_USUAL, _equal(_USUAL), seed, streams=False).run()
    heavy = _Play(_ONE_HEAVY, _equal(_USUAL), seed, streams=False).run()
    assert _others(heavy) >= 0.95 * _others(usual)


@pytest.mark.parametrize('seed', _SEEDS)
def test_large_customer_with_twice_its_load_does_not_harm_the_others(
    seed: int,
) -> None:
    """A dead band of a quarter of a large share would cost the others a tenth.

    The largest has two sevenths of the usual load, and weights are by size.
    """
    sizes = {'c0': 20, 'c1': 14, 'c2': 10}
    sizes.update({f'c{number}': 2 for number in range(3, 16)})
    scale = 0.9 * _CAPACITY / sum(sizes.values())
    rates = {name: size * scale for name, size in sizes.items()}
    usual = _Play(rates, sizes, seed).run()
    heavy = _Play({**rates, 'c0': 2 * rates['c0']}, sizes, seed).run()
    assert _others(heavy) >= 0.95 * _others(usual)


@pytest.mark.parametrize('seed', _SEEDS)
def test_slots_are_divided_by_weight(seed: int) -> None:
    """Both send 1.5 times what all slots serve; the weights are 1 and 4."""
    rates = {'light': 1.5 * _CAPACITY, 'heavy': 1.5 * _CAPACITY}
    weights = {ids.CustomerName('light'): 1, ids.CustomerName('heavy'): 4}
    played = _Play(rates, weights, seed).run()
    ratio = played.granted['heavy'] / played.granted['light']
    assert ratio == pytest.approx(4, rel=0.1)


def test_only_customer_with_demand_gets_all_slots() -> None:
    """Shares of customers without demand aren't kept free."""
    weights = _equal(['alone', 'idle', 'absent'])
    played = _Play({'alone': 2 * _CAPACITY}, weights).run()
    seconds = _SECONDS - _SETTLE_SECONDS
    assert played.granted['alone'] >= 0.9 * _CAPACITY * seconds


@pytest.mark.parametrize('seed', _SEEDS)
def test_new_leader_has_fair_shares_within_seconds(seed: int) -> None:
    """Without usage at first, it serves the others as usual 5 s later."""
    changes = {'first': 11, 'last': 22}
    usual = _Play(_USUAL, _equal(_USUAL), seed, **changes).run()
    heavy = _Play(
        _ONE_HEAVY, _equal(_USUAL), seed, restart_at=6, **changes
    ).run()
    assert _others(heavy) >= 0.95 * _others(usual)


def test_log_names_few_customers_above_their_shares(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An operator sees whom the pool limits, and one line stays readable."""
    logged: list[list[str]] = []

    def emit(event: object, **fields: typing.Any) -> None:
        if event is logevents.POOL_BUSY:
            logged.append(fields['above_share'])

    monkeypatch.setattr(eventlog, 'emit', emit)
    rates = {f'c{number}': 0.15 * _CAPACITY for number in range(12)}
    weights = {name: int(name in {'c0', 'c1'}) for name in rates}
    _Play(rates, weights, last=4).run()
    assert len(logged[-1]) == 8
    assert not {'c0', 'c1'} & set(logged[-1])


_CLASS = classes.Class(ids.Tier.normal, 1)
_HEAVY = ids.CustomerName('heavy')
_LIGHT = ids.CustomerName('light')
_PACE = ordering.Pace(interval=0.1, arrivals=20)


def _waiting(sequence: int, **changes: typing.Any) -> records.Waiting:
    return records.Waiting(
        play.make_request(f'r{sequence}', 0, **{'rank': 1, **changes}),
        sequence,
        arrived_at=0,
        waited_seconds=0,
        tokens=100,
        fut=asyncio.get_running_loop().create_future(),
    )


def _planned(
    *slot_requests: typing.Mapping[str, typing.Any],
    targets: typing.Sequence[float] = (10, 11),
    excess: fair_shares.Excess,
) -> ordering.Plan:
    """Plan requests that arrived in this order, with their targets."""

    async def plan() -> ordering.Plan:
        waiting = [
            _waiting(sequence, target=target, **changes)
            for sequence, (changes, target) in enumerate(
                zip(slot_requests, targets, strict=True)
            )
        ]
        return ordering.plan(
            waiting, 0, _PACE, lambda _: 0, ordering.Priorities(excess=excess)
        )

    return virtual.run(plan())


def _customers(plan: ordering.Plan) -> list[str]:
    return [turn.waiting.slot_request.customer for turn in plan.turns]


@pytest.mark.parametrize('streams', [True, False])
def test_excess_orders_requests_of_one_class(streams: bool) -> None:
    """The earlier request of a customer above its share goes later."""
    both = (
        {'customer': _HEAVY, 'streams': streams},
        {'customer': _LIGHT, 'streams': streams},
    )
    excess = {(_CLASS, _HEAVY): 1}
    assert _customers(_planned(*both, excess=excess)) == [_LIGHT, _HEAVY]


def test_request_above_share_is_rejected_first() -> None:
    """Only one can be in time: not the earlier one of the heavy customer."""
    both = ({'customer': _HEAVY}, {'customer': _LIGHT})
    planned = _planned(
        *both, targets=(0.01, 0.02), excess={(_CLASS, _HEAVY): 1}
    )
    assert _customers(planned) == [_LIGHT]
    assert len(planned.hopeless) == 1


@pytest.mark.parametrize(
    ('changes', 'excess_class'),
    [
        ({'tier': ids.Tier.high}, classes.Class(ids.Tier.high, 1)),
        ({'rank': 0}, classes.Class(ids.Tier.normal, 0)),
    ],
)
def test_more_important_class_never_yields(
    changes: typing.Mapping[str, typing.Any],
    excess_class: classes.Class,
) -> None:
    """Excess counts within a tier and class only, in order and rejections."""
    both = ({'customer': _LIGHT}, {'customer': _HEAVY, **changes})
    excess = {(excess_class, _HEAVY): 2}
    assert _customers(_planned(*both, excess=excess)) == [_HEAVY, _LIGHT]
    planned = _planned(*both, targets=(0.01, 0.02), excess=excess)
    assert _customers(planned) == [_HEAVY]


def _used(light: int, heavy: int) -> fair_shares.SharesByClass:
    """Return shares after grants of a second each, in overload."""
    shares = fair_shares.SharesByClass()
    shares.weights = lambda: _equal([_LIGHT, _HEAVY])
    for customer, grants in ((_LIGHT, light), (_HEAVY, heavy)):
        for _ in range(100):
            shares.record_arrival(_CLASS, customer, 0)
        for _ in range(grants):
            shares.record_grant(_CLASS, customer, 1, 0)
    return shares


@pytest.mark.parametrize(
    ('heavy', 'levels'),
    [
        (20, {}),
        (24, {}),
        (40, {(_CLASS, _HEAVY): 1}),
        (80, {(_CLASS, _HEAVY): 2}),
    ],
)
def test_small_differences_are_no_excess(
    heavy: int, levels: fair_shares.Excess
) -> None:
    """Up to a quarter above the share the order stays as it is."""
    shares = _used(20, heavy)
    assert shares.excess(0) == levels
    assert shares.above(0) == [customer for _, customer in levels]


def test_limited_customer_is_held_at_its_share() -> None:
    """It isn't released to the upper end of the dead band."""
    shares = _used(20, 40)
    assert shares.excess(0)
    for _ in range(9):
        shares.record_grant(_CLASS, _LIGHT, 1, 0)
    assert shares.excess(0.02) == {(_CLASS, _HEAVY): 1}
    for _ in range(12):
        shares.record_grant(_CLASS, _LIGHT, 1, 0.02)
    assert not shares.excess(0.04)
    assert shares.above(0.04) == [_HEAVY]
    for _ in range(40):
        shares.record_grant(_CLASS, _LIGHT, 1, 0.04)
    shares.excess(0.06)
    assert shares.above(0.06) == [_LIGHT]


def test_past_use_of_free_slots_is_paid_back_within_seconds() -> None:
    """A customer alone for long isn't kept from its share for long after."""
    shares = _used(0, 0)
    for second in range(60):
        for _ in range(50):
            shares.record_arrival(_CLASS, _HEAVY, second)
            shares.record_grant(_CLASS, _HEAVY, 1, second)
    at = 60.0
    while shares.excess(at).get((_CLASS, _HEAVY)) or at < 61:
        for _ in range(5):
            shares.record_arrival(_CLASS, _HEAVY, at)
            shares.record_arrival(_CLASS, _LIGHT, at)
            shares.record_grant(_CLASS, _LIGHT, 1, at)
        at += 0.1
    assert at < 64


def test_customer_without_weight_goes_last() -> None:
    """It gets only what the others leave, however little it used."""
    shares = _used(40, 1)
    shares.weights = lambda: {_LIGHT: 1, _HEAVY: 0}
    assert shares.excess(0) == {(_CLASS, _HEAVY): 3}


def test_nothing_is_kept_without_weights() -> None:
    """The part is off, also where a new document takes the weights away."""
    shares = _used(20, 80)
    assert shares.excess(0)
    shares.weights = fair_shares.no_weights
    assert not shares.excess(1)
    assert not shares.above(1)


def test_customers_of_no_document_are_not_counted() -> None:
    """Names that only entry hosts know don't use memory of the coordinator."""
    shares = _used(20, 80)
    unknown = ids.CustomerName('unknown')
    for _ in range(100):
        shares.record_arrival(_CLASS, unknown, 0)
        shares.record_grant(_CLASS, unknown, 1, 0)
    assert shares.excess(0) == {(_CLASS, _HEAVY): 2}


def test_shares_are_computed_seldom_for_many_customers() -> None:
    """For 1,400 customers not for each of thousands of requests a second."""
    shares = fair_shares.CustomerShares()
    names = [ids.CustomerName(f'c{number}') for number in range(1400)]
    for name in names:
        shares.record_arrival(name, 0)
    weights = _equal(names)
    computed = [shares.refresh(weights, at / 1000) for at in range(1000)]
    assert sum(computed) <= 8
