"""Parts of prompts that crash servers stand out soon, and sound ones don't."""

import itertools
import random
import typing

import pytest
from geraniumweir.common import ids
from geraniumweir.scheduling import crash_records, notices, part_evidence

_BAD = ids.PromptPart(666)
_HOUSEHOLD = ids.CustomerName('household')
_NEIGHBOUR = ids.CustomerName('neighbour')
_FIRST_PARTS = 3
_SECOND_PARTS = 200
_DOMAINS = ('a', 'b', 'c')
_RESTART_SECONDS = 3.0
_Verdict = part_evidence.Verdict
_Parts = tuple[ids.PromptPart, ...]


def _start(number: int) -> notices.ServerIncarnation:
    return ids.ServerId(f's{number}'), ids.Incarnation(0)


def _broken(
    parts: _Parts,
    customer: ids.CustomerName = _HOUSEHOLD,
    domain: str = 'a',
) -> crash_records.Broken:
    return crash_records.Broken(
        customer, ids.FailureDomain(domain), parts, begun=False
    )


def _parts(*numbers: int) -> _Parts:
    return tuple(map(ids.PromptPart, numbers))


def _with_bad(place: int, count: int) -> _Parts:
    """Return a prompt of many parts, of which one is bad."""
    parts = list(_parts(*range(1000, 1000 + count)))
    parts[place] = _BAD
    return tuple(parts)


def _crashes_until_refused(prompts: typing.Iterable[_Parts]) -> int:
    """Return how many requests crash a server each before one is refused.

    No request with any of their parts is answered.
    """
    evidence = part_evidence.PartEvidence()
    for number, parts in enumerate(prompts):
        at = float(number)
        if evidence.verdict(_HOUSEHOLD, parts, at) is _Verdict.refused:
            return number
        evidence.record_break(_start(number), _broken(parts), at)
        evidence.crashes.confirm(_start(number))
    raise AssertionError('no request was refused')


class _Pool:
    """Servers in virtual time; each request is answered after a while.

    :ivar crashes: of servers, by a bad part.
    :ivar refused: sound requests that were refused.
    """

    def __init__(self, seed: int, bad: typing.Sequence[ids.PromptPart]) -> None:
        self.evidence = part_evidence.PartEvidence()
        self.now = float(0)
        self.crashes = dict.fromkeys(bad, 0)
        self.sent = dict.fromkeys(bad, 0)
        self.refused = 0
        self.sound = 0
        self._rng = random.Random(seed)
        self._number = 0
        self._ended: list[tuple[float, int]] = []

    def draw(self) -> _Parts:
        """Draw the shared parts of a sound prompt."""
        return _parts(
            self._rng.randrange(_FIRST_PARTS),
            _FIRST_PARTS + self._rng.randrange(_SECOND_PARTS),
        )

    def draw_bad(self, bad: ids.PromptPart) -> _Parts:
        """Draw the shared parts of a prompt with a bad one."""
        first, second = self.draw()
        return self._rng.choice(((first, bad), (bad, second)))

    def send(self, parts: _Parts, beside: int) -> None:
        """Send a request.

        :param beside: sound requests that wait on the same server.
        """
        self.now += 0.02
        while self._ended and self._ended[0][0] < self.now - _RESTART_SECONDS:
            _, number = self._ended.pop(0)
            self.evidence.crashes.confirm(_start(number))
        bad = [part for part in parts if part in self.crashes]
        verdict = self.evidence.verdict(_HOUSEHOLD, parts, self.now)
        self.sound += not bad
        if verdict is _Verdict.refused:
            self.evidence.refuse(parts, self.now)
            self.refused += not bad
            return
        if not bad:
            self.evidence.record_begin(_start(-1), parts, self.now)
            return
        if verdict is _Verdict.trial:
            request_id = ids.RequestId(str(self.now))
            self.evidence.begin_trial(request_id, _HOUSEHOLD, parts, self.now)
        for part in bad:
            self.sent[part] += 1
        self.crash([parts, *(self.draw() for _ in range(beside))])
        for part in bad:
            self.crashes[part] += 1
        if verdict is _Verdict.trial:
            self.evidence.end_trial(request_id, parts)

    def crash(self, lost: typing.Sequence[_Parts]) -> None:
        """Crash a server, with requests that have no answer."""
        self._number += 1
        self._ended.append((self.now, self._number))
        for one in lost:
            self.evidence.record_break(
                _start(self._number),
                _broken(one, domain=self._rng.choice(_DOMAINS)),
                self.now,
            )


@pytest.mark.parametrize('beside', [0, 2, 5])
@pytest.mark.parametrize('count', [1, 3])
def test_bad_parts_are_refused_within_six_crashes(
    beside: int, count: int
) -> None:
    """Beside plain crashes; no sound request is refused, over 50 seeds."""
    refused, sound = 0, 0
    for seed in range(50):
        bad = [ids.PromptPart(_BAD + number) for number in range(count)]
        pool = _Pool(seed, bad)
        for _ in range(200):
            pool.send(pool.draw(), 0)
        for number in range(2000):
            pool.send(pool.draw(), 0)
            if number % 25 == 0:
                pool.send(pool.draw_bad(bad[number % count]), beside)
            if number % 100 == 0:
                pool.crash([pool.draw() for _ in range(beside + 1)])
        assert max(pool.crashes.values()) <= 6, (seed, pool.crashes)
        refused += pool.refused
        sound += pool.sound
    assert refused <= sound / 1000


def test_parts_that_always_come_together_are_told_apart_by_trials() -> None:
    """A sound one is refused only beside the bad one."""
    evidence = part_evidence.PartEvidence()
    sound = ids.PromptPart(1)
    for number in range(4):
        evidence.record_break(_start(number), _broken((sound, _BAD)), number)
    assert evidence.verdict(_HOUSEHOLD, (sound, _BAD), 5) is _Verdict.refused
    assert evidence.verdict(_HOUSEHOLD, (sound,), 5) is _Verdict.trial
    request_id = ids.RequestId('trial')
    evidence.begin_trial(request_id, _HOUSEHOLD, (sound,), 5)
    assert evidence.verdict(_HOUSEHOLD, (sound,), 5) is _Verdict.waits
    evidence.record_begin(_start(9), (sound,), 5.2)
    assert evidence.verdict(_HOUSEHOLD, (sound,), 5.2) is _Verdict.clear
    assert evidence.verdict(_HOUSEHOLD, (_BAD,), 5.2) is _Verdict.refused


def test_answers_before_a_part_turns_bad_do_not_clear_it() -> None:
    """Each answer clears it of the crashes before only."""
    evidence = part_evidence.PartEvidence()
    for number in range(100):
        evidence.record_begin(_start(0), (_BAD,), number / 10)
    for number in range(1, 4):
        evidence.record_break(_start(number), _broken((_BAD,)), 10 + number)
    assert evidence.verdict(_HOUSEHOLD, (_BAD,), 14) is _Verdict.refused


def test_customer_cannot_have_another_ones_part_refused() -> None:
    """It names the part in requests that crash servers for another reason."""
    evidence = part_evidence.PartEvidence()
    named = ids.PromptPart(1)
    for number in range(40):
        own = ids.PromptPart(100 + number)
        evidence.record_break(
            _start(number), _broken((named, own), _NEIGHBOUR), number
        )
    assert evidence.verdict(_NEIGHBOUR, (named,), 41) is _Verdict.refused
    assert evidence.verdict(_HOUSEHOLD, (named,), 41) is _Verdict.clear


def test_customer_beside_another_ones_crashes_keeps_its_part() -> None:
    """Its own requests were on the servers when those crashed them."""
    evidence = part_evidence.PartEvidence()
    named = ids.PromptPart(1)
    for number in range(6):
        own = ids.PromptPart(100 + number)
        for broken in (
            _broken((named, own), _NEIGHBOUR),
            _broken((named,), _HOUSEHOLD),
        ):
            evidence.record_break(_start(number), broken, number)
    evidence.refuse((named,), 7)
    assert evidence.verdict(_HOUSEHOLD, (named,), 7) is _Verdict.clear
    alone = part_evidence.PartEvidence()
    alone.set_refused_elsewhere(evidence.refused())
    assert alone.verdict(_HOUSEHOLD, (named,), 7) is _Verdict.clear


def test_bad_part_of_several_customers_is_refused_to_all() -> None:
    """A customer whose requests were in no crash has one trial at most."""
    evidence = part_evidence.PartEvidence()
    for number in range(6):
        customer = (_HOUSEHOLD, _NEIGHBOUR)[number % 2]
        evidence.record_break(
            _start(number), _broken((_BAD,), customer), number
        )
    third = ids.CustomerName('third')
    assert evidence.verdict(third, (_BAD,), 7) is _Verdict.trial
    evidence.begin_trial(ids.RequestId('t'), third, (_BAD,), 7)
    fourth = ids.CustomerName('fourth')
    assert evidence.verdict(third, (_BAD,), 11) is _Verdict.refused
    assert evidence.verdict(fourth, (_BAD,), 11) is _Verdict.refused


def test_connections_that_the_network_breaks_off_are_no_crashes() -> None:
    """One failure domain's requests break off on several servers at a time."""
    evidence = part_evidence.PartEvidence()
    for number in range(6):
        evidence.record_break(_start(number), _broken((_BAD,)), 1)
    assert evidence.verdict(_HOUSEHOLD, (_BAD,), 1.1) is _Verdict.clear
    for number in range(6):
        evidence.crashes.confirm(_start(number))
    assert evidence.verdict(_HOUSEHOLD, (_BAD,), 1.2) is _Verdict.refused


def test_server_that_answers_afterwards_did_not_crash() -> None:
    """Its connections broke off for another reason."""
    evidence = part_evidence.PartEvidence()
    for number in range(4):
        evidence.record_break(_start(number), _broken((_BAD,)), number)
    assert evidence.verdict(_HOUSEHOLD, (_BAD,), 4) is _Verdict.refused
    for number in range(2):
        evidence.crashes.record_answer(_start(number), 5)
    assert evidence.verdict(_HOUSEHOLD, (_BAD,), 5) is not _Verdict.refused


def test_refused_part_is_tried_by_one_request_at_a_time_and_rarely() -> None:
    """After half a minute; each crash makes the time four times as long."""
    evidence = part_evidence.PartEvidence()
    for number in range(4):
        evidence.record_break(_start(number), _broken((_BAD,)), number)
        evidence.crashes.confirm(_start(number))
    evidence.refuse((_BAD,), 4)
    assert evidence.verdict(_HOUSEHOLD, (_BAD,), 30) is _Verdict.refused
    assert evidence.retry_seconds(_HOUSEHOLD, (_BAD,), 30) == 4
    assert evidence.verdict(_HOUSEHOLD, (_BAD,), 35) is _Verdict.trial
    evidence.begin_trial(ids.RequestId('t'), _HOUSEHOLD, (_BAD,), 35)
    assert evidence.verdict(_HOUSEHOLD, (_BAD,), 36) is _Verdict.refused
    assert evidence.verdict(_HOUSEHOLD, (_BAD,), 150) is _Verdict.refused
    assert evidence.verdict(_HOUSEHOLD, (_BAD,), 160) is _Verdict.trial
    cleared = evidence.record_begin(_start(9), (_BAD,), 160)
    assert cleared == [_BAD]
    assert evidence.verdict(_HOUSEHOLD, (_BAD,), 161) is _Verdict.clear


def test_flood_of_new_parts_does_not_evict_a_refused_one() -> None:
    """Other parts crash more servers than the table holds."""
    evidence = part_evidence.PartEvidence()
    for number in range(4):
        evidence.record_break(_start(number), _broken((_BAD,)), 1)
        evidence.crashes.confirm(_start(number))
    evidence.refuse((_BAD,), 2)
    for number in range(1000):
        flood = _parts(*range(number * 100, number * 100 + 100))
        evidence.record_break(_start(10 + number), _broken(flood), 3)
    assert evidence.verdict(_HOUSEHOLD, (_BAD,), 4) is _Verdict.refused
    assert len(evidence.crashes.crashes(4)) <= 64


# A new crash was evicted as it came, and its parts stayed suspected for good.
def test_crash_beside_many_with_a_refused_part_expires() -> None:
    """All others that the table holds are kept for the refused part."""
    evidence = part_evidence.PartEvidence()
    for number in range(64):
        evidence.record_break(_start(number), _broken((_BAD,)), 1)
        evidence.crashes.confirm(_start(number))
    evidence.refuse((_BAD,), 2)
    part = ids.PromptPart(1)
    evidence.record_break(_start(64), _broken((part,)), 3)
    assert len(evidence.crashes.crashes(4)) == 64
    assert part in evidence.crashes
    evidence.crashes.crashes(1000)
    assert evidence.crashes.is_empty()


def test_host_without_a_coordinator_refuses_what_the_last_one_refused() -> None:
    """To the customers whose requests crashed servers, or to all if several."""
    coordinator = part_evidence.PartEvidence()
    for number in range(4):
        coordinator.record_break(_start(number), _broken((_BAD,)), number)
    coordinator.refuse((_BAD,), 4)
    alone = part_evidence.PartEvidence()
    alone.set_refused_elsewhere(coordinator.refused())
    assert alone.verdict(_HOUSEHOLD, (_BAD,), 5) is _Verdict.refused
    assert alone.verdict(_NEIGHBOUR, (_BAD,), 5) is _Verdict.clear
    assert alone.retry_seconds(_HOUSEHOLD, (_BAD,), 5) == 29
    other = _broken((_BAD,), _NEIGHBOUR)
    coordinator.record_break(_start(9), other, 5)
    alone.set_refused_elsewhere(coordinator.refused())
    assert alone.verdict(_NEIGHBOUR, (_BAD,), 6) is _Verdict.refused
    alone.set_refused_elsewhere(())
    assert alone.verdict(_HOUSEHOLD, (_BAD,), 6) is _Verdict.clear


# Only the first 48 parts of a prompt were kept, so that servers crashed by a
# later one for as long as it came.
@pytest.mark.parametrize(
    ('place', 'count'),
    [(0, 60), (50, 60), (70, 80), (1259, 1260), (4094, 4095)],
)
def test_bad_part_is_refused_wherever_it_stands(place: int, count: int) -> None:
    """Sound requests share all other parts of the prompt."""
    evidence = part_evidence.PartEvidence()
    bad = _with_bad(place, count)
    sound = tuple(part for part in bad if part != _BAD)
    crashes = 0
    for number in range(20):
        at = float(number)
        evidence.record_begin(_start(99), sound, at)
        if evidence.verdict(_HOUSEHOLD, bad, at) is _Verdict.refused:
            break
        evidence.record_break(_start(number), _broken(bad), at + 0.5)
        evidence.crashes.confirm(_start(number))
        crashes += 1
    assert crashes <= 5
    assert evidence.verdict(_HOUSEHOLD, sound, 21) is _Verdict.clear


# Of more than ten parts that came together none counted as the explanation,
# and each request with them was a further trial.
@pytest.mark.parametrize('count', [2, 11, 60, 1260, 4095])
def test_requests_with_the_same_parts_are_refused(count: int) -> None:
    """No other request shows which part crashes the servers."""
    assert (
        _crashes_until_refused(itertools.repeat(_with_bad(0, count), 20)) <= 5
    )


@pytest.mark.parametrize('count', [60, 1260, 4095])
def test_bad_part_is_refused_in_prompts_without_other_common_parts(
    count: int,
) -> None:
    """All others are in one request each, and never answered."""
    prompts = [
        (*_parts(*range(number * 5000, number * 5000 + count - 1)), _BAD)
        for number in range(1, 21)
    ]
    assert _crashes_until_refused(prompts) <= 6


@pytest.mark.parametrize('count', [1, 60, 1260, 4095])
def test_long_prompt_is_not_refused_for_one_crash(count: int) -> None:
    """It has many parts that may be bad, and is no more suspect for that."""
    evidence = part_evidence.PartEvidence()
    parts = _parts(*range(count))
    evidence.record_break(_start(0), _broken(parts), 0)
    evidence.crashes.confirm(_start(0))
    assert evidence.verdict(_HOUSEHOLD, parts, 1) is not _Verdict.refused


def test_trial_of_many_parts_is_the_only_one() -> None:
    """Requests with the same parts wait for its answer."""
    evidence = part_evidence.PartEvidence()
    parts = _parts(*range(600))
    evidence.record_break(_start(0), _broken(parts), 0)
    evidence.crashes.confirm(_start(0))
    assert evidence.verdict(_HOUSEHOLD, parts, 1) is _Verdict.trial
    evidence.begin_trial(ids.RequestId('trial'), _HOUSEHOLD, parts, 1)
    assert evidence.verdict(_HOUSEHOLD, parts, 2) is _Verdict.waits


def test_crashes_of_long_prompts_take_bounded_memory() -> None:
    """The bad part among them is kept, with the crashes that it is in."""
    evidence = part_evidence.PartEvidence()
    for number in range(40):
        at = float(number)
        flood = _parts(*range(number * 10000, number * 10000 + 4000))
        evidence.record_break(_start(number), _broken((*flood, _BAD)), at)
        evidence.crashes.confirm(_start(number))
    known = evidence.crashes.crashes(40)
    assert sum(len(crash.parts) for crash in known) <= 16384
    assert len(evidence.crashes.counted(_BAD, 40)) >= 8
    assert evidence.verdict(_HOUSEHOLD, (_BAD,), 40) is _Verdict.refused
