"""Entry hosts before a leader that has no time for all slot requests."""

import math
import random

from geraniumweir.common import ids
from geraniumweir.scheduling import requests, throttle

_SECONDS = 20
_ASKED_PER_SECOND = 100
_DECIDED_PER_SECOND = 20
_SOON_SECONDS = 8


def _slot_request(number: int, tier: ids.Tier) -> requests.SlotRequest:
    return requests.SlotRequest(
        request_id=ids.RequestId(f'r{number}'),
        owner=ids.HostId('entry'),
        pool=ids.PoolName('pool'),
        customer=ids.CustomerName('customer'),
        rule=ids.RuleName('rule'),
        tier=tier,
        deadline=math.inf,
    )


class _Host:
    """An entry host that asks evenly in time.

    :ivar sent: number of slot requests that it sent, by second.
    """

    def __init__(self) -> None:
        self.now = float(0)
        self.sent = [0 for _ in range(3 * _SECONDS)]
        self.throttle = throttle.Throttle(lambda: self.now, random.Random(1))

    def ask(
        self, seconds: int, decided_per_second: float, tier: ids.Tier
    ) -> None:
        start = self.now
        for number in range(seconds * _ASKED_PER_SECOND):
            self.now = start + number / _ASKED_PER_SECOND
            slot_request = _slot_request(number, tier)
            if self.throttle.denial(slot_request) is not None:
                continue
            second = int(self.now)
            self.sent[second] += 1
            if self.sent[second] > decided_per_second:
                busy = throttle.busy(
                    slot_request.request_id, 1, random.Random(number)
                )
                self.throttle.record_answer(tier, busy)
        self.now = start + seconds


def test_host_sends_little_more_than_its_leader_decides() -> None:
    """Denials alone would fill the leader's thread."""
    host = _Host()
    host.ask(_SECONDS, _DECIDED_PER_SECOND, ids.Tier.normal)
    later = host.sent[_SECONDS // 2 : _SECONDS]
    assert _DECIDED_PER_SECOND <= sum(later) / len(later)
    assert sum(later) / len(later) < 2 * _DECIDED_PER_SECOND


def test_host_sends_all_again_soon_after_its_leader_has_time() -> None:
    """The load of a burst is over."""
    host = _Host()
    host.ask(_SECONDS, _DECIDED_PER_SECOND, ids.Tier.normal)
    host.ask(_SECONDS, math.inf, ids.Tier.normal)
    later = host.sent[_SECONDS + _SOON_SECONDS : 2 * _SECONDS]
    assert sum(later) == len(later) * _ASKED_PER_SECOND


def test_requests_of_another_tier_are_not_withheld() -> None:
    """Turns go by tier, so that the urgent ones are decided."""
    host = _Host()
    host.ask(_SECONDS, 0, ids.Tier.low)
    host.ask(1, math.inf, ids.Tier.urgent)
    assert sum(host.sent[_SECONDS:]) == _ASKED_PER_SECOND
