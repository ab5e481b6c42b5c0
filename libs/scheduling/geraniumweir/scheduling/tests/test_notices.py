"""Which of the things that a server said holds."""

import asyncio
import typing

import pytest
from geraniumweir.common import ids, timers, virtual
from geraniumweir.scheduling import notices

_SERVER = ids.ServerId('s')
_START = (_SERVER, ids.Incarnation(1))
_HOST = ids.HostId('entry')


def _said(
    per_second: float | None,
    received_at: float,
    sent_at: float | None = None,
) -> notices.Notice:
    sent = received_at - 1 if sent_at is None else sent_at
    content = notices.RateLimit(per_second)
    return notices.Notice(*_START, content, _HOST, sent, received_at)


def _known(
    *heard: notices.Notice,
) -> notices.Notices:
    async def work() -> notices.Notices:
        await asyncio.sleep(0)
        known = notices.Notices(timers.TimerService())
        for said in heard:
            known.apply(said)
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
    heard: typing.Sequence[notices.Notice],
    holds: float | None,
) -> None:
    """An answer to what was sent before a limit was named lifts none."""
    assert _known(*heard).limits().get(_START) == holds


def test_word_that_changes_nothing_is_told_to_nobody() -> None:
    """Each answer names the limit; hosts are told of it once."""
    known = _known(_said(2, 10), _said(2, 11), _said(2, 12))
    assert known.revision == 1
    assert len(known.since(0)) == 1
    assert not known.since(1)


def test_another_start_of_a_server_has_no_limit() -> None:
    """It is in no need until it says so."""
    known = _known(_said(2, 10))
    assert (_SERVER, ids.Incarnation(2)) not in known.limits()


def test_leaving_holds_whatever_the_server_says_later() -> None:
    """Of its start, and of no other."""
    leaving = notices.Notice(*_START, notices.Leaving(), _HOST, 9, 10)
    known = _known(leaving, _said(None, 12, sent_at=11))
    assert known.is_leaving(_START)
    assert not known.is_leaving((_SERVER, ids.Incarnation(2)))


def _pauses(
    host_id: ids.HostId,
    *heard: notices.Notice,
) -> dict[notices.ServerIncarnation, float]:
    async def work() -> dict[notices.ServerIncarnation, float]:
        known = notices.Notices(timers.TimerService())
        for notice in heard:
            known.apply(notice)
        return known.pauses(host_id)

    return virtual.run(work())


def _pause(seconds: float, received_at: float) -> notices.Notice:
    content = notices.Pause(seconds)
    return notices.Notice(*_START, content, _HOST, received_at - 1, received_at)


@pytest.mark.parametrize(
    ('heard', 'until'),
    [
        ([_pause(3, 0)], 3),
        ([_pause(3, 0), _pause(1, 1)], 3),
        ([_pause(3, 0), _pause(3, 0.01)], 3.01),
        ([_pause(3, 0), _pause(0, 1)], 3),
        ([_pause(300, 0), _said(2, 1)], 300),
        ([_pause(0, 0)], None),
        ([_pause(1, -2), _pause(0, 0)], None),
    ],
)
def test_pause_lasts_to_the_latest_end_that_was_asked_for(
    heard: typing.Sequence[notices.Notice],
    until: float | None,
) -> None:
    """Nothing that comes later makes it shorter."""
    assert _pauses(_HOST, *heard).get(_START) == until


def test_pause_concerns_only_the_host_that_was_asked() -> None:
    """The others go on."""
    assert not _pauses(ids.HostId('other'), _pause(3, 0))
