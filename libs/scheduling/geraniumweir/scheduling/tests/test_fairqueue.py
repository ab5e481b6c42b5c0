"""Tests of the fair queue against a slow reference, and of its fairness."""

import random

import pytest
from geraniumweir.common import ids
from geraniumweir.scheduling import fairqueue
from geraniumweir.scheduling.tests import reference_policy

_CLASSES = ('fast', 'middle', 'slow')
_STEPS = 1500


@pytest.mark.parametrize('seed', range(6))
def test_decisions_equal_the_reference(seed: int) -> None:
    """On generated traffic each decision equals that of the reference."""
    rng = random.Random(seed)
    queue: fairqueue.FairQueue[str, int] = fairqueue.FairQueue()
    reference = reference_policy.ReferenceQueue()
    waiting: dict[int, reference_policy.Item] = {}
    for step in range(_STEPS):
        now = step * 0.05
        if rng.randrange(100) <= 51:
            item = _item(rng, step, now)
            reference.add(item)
            waiting[step] = item
            flow = (item.tier, item.customer)
            queue.add(step, flow, step, dict(item.starts))
        tier = rng.choice(list(ids.Tier))
        kind = rng.choice(_CLASSES)
        window = rng.choice([0, 2])
        found = queue.candidates(kind, tier, now, window)
        assert found == reference.candidates(kind, tier, now, window)
        if found:
            item = waiting.pop(found[0])
            flow = (item.tier, item.customer)
            queue.remove(found[0], flow, found[0], dict(item.starts))
            reference.remove(item)
            cost = rng.uniform(-0.2, 3)
            queue.charge(flow, cost)
            reference.charge(flow, cost)


def _item(rng: random.Random, step: int, now: float) -> reference_policy.Item:
    start = now + rng.uniform(-1, 20)
    classes = rng.sample(_CLASSES, rng.randint(1, 3))
    return reference_policy.Item(
        step,
        rng.choice(list(ids.Tier)),
        ids.CustomerName(f'customer-{rng.randrange(12)}'),
        tuple((kind, start - rng.uniform(0, 5)) for kind in classes),
    )


def test_shares_hold_between_customers_that_always_wait() -> None:
    """While all customers wait all the time, service follows the shares."""
    queue: fairqueue.FairQueue[str, int] = fairqueue.FairQueue()
    shares = {'one': 1.0, 'two': 2.0, 'four': 4.0}
    owners: dict[int, str] = {}
    starts: dict[int, float] = {}
    for number in range(2100):
        name = list(shares)[number % 3]
        owners[number] = name
        # The one with the least share has the earliest deadlines.
        starts[number] = 1000 + number + 5000 * shares[name]
        flow = (ids.Tier.normal, ids.CustomerName(name))
        queue.add(number, flow, number, {'fast': starts[number]})
    served = dict.fromkeys(shares, 0)
    for _ in range(700):
        first = queue.candidates('fast', ids.Tier.normal, 0, 2)[0]
        owner = owners[first]
        flow = (ids.Tier.normal, ids.CustomerName(owner))
        queue.remove(first, flow, first, {'fast': starts[first]})
        queue.charge(flow, 1 / shares[owner])
        served[owner] += 1
    assert abs(served['one'] - 100) <= 4
    assert abs(served['four'] - 400) <= 8


def test_idle_time_earns_no_credit() -> None:
    """A returning customer does not take all service to catch up."""
    queue: fairqueue.FairQueue[str, int] = fairqueue.FairQueue()
    busy = (ids.Tier.normal, ids.CustomerName('busy'))
    back = (ids.Tier.normal, ids.CustomerName('back'))
    for number in range(100):
        queue.add(number, busy, number, {'fast': 1.0 + number})
    for number in range(50):
        queue.remove(number, busy, number, {'fast': 1.0 + number})
        queue.charge(busy, 1)
    queue.add(1000, back, 1000, {'fast': 500.0})
    assert queue.virtual_time(back) == queue.virtual_time(busy)
