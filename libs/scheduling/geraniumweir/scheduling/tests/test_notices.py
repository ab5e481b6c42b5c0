"""Tests of which notice of a server holds."""

import asyncio
import typing

import pytest
from geraniumweir.common import ids, timers, virtual
from geraniumweir.scheduling import notices

_SERVER = ids.ServerId('s')
_START = (_SERVER, ids.Incarnation(1))
_HOST = ids.HostId('entry')


def _notice(
    per_second: float | None,
    received_at: float,
    sent_at: float | None = None,
) -> notices.Notice:
    sent = received_at - 1 if sent_at is None else sent_at
    content = notices.RateLimit(per_second)
    return notices.Notice(*_START, content, _HOST, sent, received_at)


def _known(
    *received: notices.Notice,
) -> notices.Notices:
    async def work() -> notices.Notices:
        await asyncio.sleep(0)
        known = notices.Notices(timers.TimerService())
        for said in received:
            known.apply(said)
        return known

    return virtual.run(work())


@pytest.mark.parametrize(
    ('received', 'holds'),
    [
        ([_notice(2, 10)], 2),
        ([_notice(2, 10), _notice(3, 11)], 3),
        ([_notice(3, 11), _notice(2, 10)], 3),
        ([_notice(2, 10), _notice(None, 12, sent_at=11)], None),
        ([_notice(2, 10), _notice(None, 12, sent_at=9)], 2),
        ([_notice(2, 10), _notice(2, 13), _notice(None, 14, sent_at=12)], 2),
        ([_notice(2, 10), _notice(None, 12), _notice(1, 13)], 1),
        ([_notice(0, 10)], 0),
        ([_notice(None, 10)], None),
    ],
)
def test_newest_limit_of_a_server_holds(
    received: typing.Sequence[notices.Notice],
    holds: float | None,
) -> None:
    """An answer to a request sent before the limit does not lift it."""
    assert _known(*received).limits().get(_START) == holds


def test_notice_without_a_change_is_not_published() -> None:
    """Each answer contains the limit; hosts are notified once."""
    known = _known(_notice(2, 10), _notice(2, 11), _notice(2, 12))
    assert known.revision == 1
    assert len(known.since(0)) == 1
    assert not known.since(1)


def test_another_incarnation_of_a_server_has_no_limit() -> None:
    """It has none until it sets one itself."""
    known = _known(_notice(2, 10))
    assert (_SERVER, ids.Incarnation(2)) not in known.limits()


def test_shutdown_holds_whatever_the_server_sends_later() -> None:
    """It holds for its incarnation, and for no other."""
    leaving = notices.Notice(*_START, notices.Leaving(), _HOST, 9, 10)
    known = _known(leaving, _notice(None, 12, sent_at=11))
    assert known.is_leaving(_START)
    assert not known.is_leaving((_SERVER, ids.Incarnation(2)))


def _pauses(
    host_id: ids.HostId,
    *received: notices.Notice,
) -> dict[notices.ServerIncarnation, float]:
    async def work() -> dict[notices.ServerIncarnation, float]:
        known = notices.Notices(timers.TimerService())
        for notice in received:
            known.apply(notice)
        return known.pauses(host_id)

    return virtual.run(work())


def _pause(seconds: float, received_at: float) -> notices.Notice:
    content = notices.Pause(seconds)
    return notices.Notice(*_START, content, _HOST, received_at - 1, received_at)


@pytest.mark.parametrize(
    ('received', 'until'),
    [
        ([_pause(3, 0)], 3),
        ([_pause(3, 0), _pause(1, 1)], 3),
        ([_pause(3, 0), _pause(3, 0.01)], 3.01),
        ([_pause(3, 0), _pause(0, 1)], 3),
        ([_pause(300, 0), _notice(2, 1)], 300),
        ([_pause(0, 0)], None),
        ([_pause(1, -2), _pause(0, 0)], None),
    ],
)
def test_pause_lasts_to_the_latest_requested_end(
    received: typing.Sequence[notices.Notice],
    until: float | None,
) -> None:
    """No later notice shortens it."""
    assert _pauses(_HOST, *received).get(_START) == until


def test_pause_concerns_only_the_host_that_was_answered() -> None:
    """Other hosts are not paused."""
    assert not _pauses(ids.HostId('other'), _pause(3, 0))
