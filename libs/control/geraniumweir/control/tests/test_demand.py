"""The stored sum of demand equals the sum of all counts."""

import math

import pytest
from geraniumweir.common import ids
from geraniumweir.control import demand
from hypothesis import given
from hypothesis import strategies as st

_NAMES = ('a', 'b', 'c')
_DECAY_SECONDS = 20
_MIN_EVEN_RATIO = 0.25


@given(
    st.lists(
        st.tuples(
            st.sampled_from(_NAMES),
            st.floats(0, 30),
            st.one_of(st.none(), st.floats(1, 1000)),
        ),
        max_size=30,
    ),
)
def test_shares_follow_all_recorded_demand(
    steps: list[tuple[str, float, float | None]],
) -> None:
    """For any times of records and any removed hosts."""
    counted = demand.Demand()
    recorded: dict[str, list[tuple[float, float]]] = {}
    now: float = 0
    for name, pause, amount in steps:
        now += pause
        if amount is None:
            counted.remove(ids.HostId(name))
            recorded.pop(name, None)
        else:
            counted.record(ids.HostId(name), amount, now)
            recorded.setdefault(name, []).append((amount, now))
    left = {host: _decayed(records, now) for host, records in recorded.items()}
    for one, used in left.items():
        part = max(used / sum(left.values()), _MIN_EVEN_RATIO / len(_NAMES))
        found = counted.share(ids.HostId(one), len(_NAMES), now)
        assert found == pytest.approx(part)


def _decayed(records: list[tuple[float, float]], now: float) -> float:
    return sum(
        amount * math.exp((at - now) / _DECAY_SECONDS) for amount, at in records
    )
