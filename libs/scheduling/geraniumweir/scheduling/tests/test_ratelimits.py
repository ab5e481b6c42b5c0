"""Which word on a server's limit counts, and what hosts make of it."""

import asyncio
import typing

import pytest
from geraniumweir.common import ids, timers, virtual
from geraniumweir.scheduling import ratelimits, rendezvous

_SERVER = ids.ServerId('s')
_START = (_SERVER, ids.Incarnation(1))


def _said(
    per_second: float | None,
    heard_at: float,
    sent_at: float | None = None,
) -> ratelimits.Said:
    sent = heard_at - 1 if sent_at is None else sent_at
    return ratelimits.Said(*_START, per_second, sent, heard_at)


def _known(
    *heard: ratelimits.Said,
) -> ratelimits.RateLimits:
    async def work() -> ratelimits.RateLimits:
        await asyncio.sleep(0)
        known = ratelimits.RateLimits(timers.TimerService())
        for said in heard:
            known.hear(said)
        return known

    return virtual.run(work())


@pytest.mark.parametrize(
    ('heard', 'holds'),
    [
        ([_said(2, 10)], 2),
        ([_said(2, 10), _said(3, 11)], 3),
        ([_said(3, 11), _said(2, 10)], 3),
        ([_said(2, 10), _said(None, 12, sent_at=11)], None),
        ([_said(2, 10), _said(None, 12, sent_at=9)], 2),
        ([_said(2, 10), _said(2, 13), _said(None, 14, sent_at=12)], 2),
        ([_said(2, 10), _said(None, 12), _said(1, 13)], 1),
        ([_said(0, 10)], 0),
        ([_said(None, 10)], None),
    ],
)
def test_newest_word_of_a_server_counts(
    heard: typing.Sequence[ratelimits.Said],
    holds: float | None,
) -> None:
    """An answer to what was sent before a limit was named lifts none."""
    assert _known(*heard).named().get(_START) == holds


def test_word_that_changes_nothing_is_told_to_nobody() -> None:
    """Each answer names the limit; hosts are told of it once."""
    known = _known(_said(2, 10), _said(2, 11), _said(2, 12))
    assert known.revision == 1
    assert len(known.since(0)) == 1
    assert not known.since(1)


def test_another_start_of_a_server_has_no_limit() -> None:
    """It is in no need until it says so."""
    known = _known(_said(2, 10))
    assert (_SERVER, ids.Incarnation(2)) not in known.named()


@pytest.mark.parametrize('hosts', [1, 6, 40, 195])
def test_hosts_that_are_alone_keep_a_limit_together(hosts: int) -> None:
    """Each has saved up all that it may when requests come."""
    limit = 1.9
    throttles = [
        ratelimits.Throttle(
            ratelimits.part_of(
                limit,
                1 / hosts,
                rendezvous.lot(ids.HostId(f'10.0.0.{number}'), _SERVER),
            ),
            at=0,
        )
        for number in range(hosts)
    ]
    granted = 0
    for tick in range(41):
        for throttle in throttles:
            while throttle.ready(100 + tick / 10):
                throttle.take()
                granted += 1
    assert 1 <= granted <= 1.5 * limit * 4 + 5
