"""The count of sheds against the tier order, on accounts made by hand."""

import dataclasses

import pytest
from geraniumweir.common import ids
from geraniumweir.fakes.bench import (
    ledger,
    scenarios,
    tier_order,
    traffic,
)

_STEADY = scenarios.load_all()['steady']
_ENGINE = ids.ServerId('engine-0')
_SENT = 10
_REFUSED = 11


def _call(
    tier: ids.Tier,
    arrival: float,
    *,
    idempotent: bool = True,
) -> traffic.Call:
    intent = _STEADY.intents(1)[0]
    kind = dataclasses.replace(
        intent.kind,
        tier=tier,
        idempotent=idempotent,
    )
    intent = dataclasses.replace(
        intent,
        kind=kind,
        arrival=arrival,
        prompt_tokens=100,
        output_tokens=10,
    )
    request_id = ids.RequestId(f'{tier} {arrival}')
    return traffic.Call(request_id, 0, intent, arrival, intent.deadline)


def _count(
    served: traffic.Call,
    end: float,
    scenario: scenarios.Scenario = _STEADY,
) -> int:
    account = ledger.Ledger()
    start = served.arrival
    account.services.append(ledger.Service(served, _ENGINE, start, end))
    account.shed(_call(ids.Tier.high, _SENT), _REFUSED)
    return tier_order.count_violations(scenario, account)


@pytest.mark.parametrize(
    ('tier', 'start', 'end', 'expected'),
    [
        (ids.Tier.low, 5, 15, 1),
        (ids.Tier.low, 10.5, 15, 1),
        (ids.Tier.low, 5, 10.5, 0),
        (ids.Tier.low, 12, 15, 0),
        (ids.Tier.high, 5, 15, 0),
        (ids.Tier.urgent, 5, 15, 0),
    ],
)
def test_lower_tier_in_service_counts(
    tier: ids.Tier,
    start: float,
    end: float,
    expected: int,
) -> None:
    """Only a lower tier, only at the moment of the shed."""
    assert _count(_call(tier, start), end) == expected


def test_call_that_must_not_be_cancelled_is_no_fault() -> None:
    """A non-idempotent call counts only if it went out after the other."""
    before = _call(ids.Tier.low, 5, idempotent=False)
    after = _call(ids.Tier.low, 10.5, idempotent=False)
    assert (_count(before, 15), _count(after, 15)) == (0, 1)


def test_engine_inside_a_fault_could_not_have_helped() -> None:
    """A stalled engine saves nobody."""
    fault = scenarios.PaceFault(0, 8, 30, 0)
    scenario = dataclasses.replace(_STEADY, faults=(fault,))
    assert _count(_call(ids.Tier.low, 5), 15, scenario) == 0
