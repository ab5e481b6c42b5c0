"""Decides how the recorders change, without an operator.

Recorders are added until there are as many as the losses to bear ask for, and
a recorder that is lost is replaced as soon as there is a host to take its
place. Decisions are free functions; :mod:`geraniumweir.control.recorders`
carries them out.
"""

import collections
import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.consensus import members

# A recorder that didn't follow for so long is lost, in seconds: more than an
# election timeout (1 s), so that a leader change isn't taken for a loss, and
# short enough that a replacement is in place within the 4 s that a new host
# is given to catch up.
LOST_SECONDS = 1.5
# A learner that didn't follow for so long is dropped, in seconds; it costs no
# majority, so a host that is only restarted keeps its place.
DROP_SECONDS = 15.0
# A join is asked for every half second; one that is older is withdrawn.
JOIN_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """A host that wants to be a recorder.

    :ivar at: when it last said so, in seconds.
    """

    host_id: ids.HostId
    address: str
    identity: members.RecorderId
    failure_domain: ids.FailureDomain
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Seat:
    """One of the present recorders.

    :ivar silence: seconds since it last followed.
    """

    member: members.Member
    failure_domain: ids.FailureDomain
    silence: float


@dataclasses.dataclass(frozen=True, slots=True)
class Add:
    """Make a host a voter; another folder of the same host goes."""

    host_id: ids.HostId
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Replace:
    """Make a host a voter in the place of one that is lost."""

    host_id: ids.HostId
    address: str
    lost: ids.HostId


@dataclasses.dataclass(frozen=True, slots=True)
class Learn:
    """Let a host follow the log, ready to become a voter."""

    host_id: ids.HostId
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Remove:
    """Drop a learner that is lost."""

    host_id: ids.HostId


Change = Add | Replace | Learn | Remove


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    """A host that could become a voter."""

    host_id: ids.HostId
    address: str
    failure_domain: ids.FailureDomain


def wanted(machines: int) -> int:
    """Give the number of voters for a number of losses at once.

    >>> wanted(1), wanted(2)
    (3, 5)
    """
    return 2 * machines + 1


def decide(
    seats: typing.Sequence[Seat],
    joins: typing.Sequence[Join],
    number: int,
) -> Change | None:
    """Choose the next change of the recorders, or None.

    :param joins: hosts that want in now.
    :param number: of voters wanted.
    """
    voters = [seat for seat in seats if seat.member.voter]
    learners = [seat for seat in seats if not seat.member.voter]
    known = {seat.member.identity for seat in seats}
    new = [join for join in joins if join.identity not in known]
    emptied = _emptied(voters, new)
    if emptied is not None:
        return Add(emptied.host_id, emptied.address)
    change = _fill(voters, _candidates(learners, new), number)
    if change is not None:
        return change
    for seat in learners:
        if seat.silence > DROP_SECONDS:
            return Remove(seat.member.host_id)
    if new:
        return Learn(new[0].host_id, new[0].address)
    return None


def _emptied(
    voters: typing.Sequence[Seat],
    new: typing.Sequence[Join],
) -> Join | None:
    """Find a voter's host that came back with another folder."""
    hosts = {seat.member.host_id for seat in voters}
    return next((join for join in new if join.host_id in hosts), None)


def _candidates(
    learners: typing.Sequence[Seat],
    new: typing.Sequence[Join],
) -> list[_Candidate]:
    live = [
        _Candidate(
            seat.member.host_id,
            seat.member.address,
            seat.failure_domain,
        )
        for seat in learners
        if seat.silence <= LOST_SECONDS
    ]
    return live or [
        _Candidate(join.host_id, join.address, join.failure_domain)
        for join in new
    ]


def _fill(
    voters: typing.Sequence[Seat],
    candidates: typing.Sequence[_Candidate],
    number: int,
) -> Change | None:
    """Add a voter that is missing, or replace one that is lost."""
    spread = collections.Counter(
        seat.failure_domain for seat in voters if seat.silence <= LOST_SECONDS
    )
    best = min(
        candidates,
        key=lambda one: (spread[one.failure_domain], one.host_id),
        default=None,
    )
    if best is None:
        return None
    if len(voters) < number:
        return Add(best.host_id, best.address)
    lost = [seat for seat in voters if seat.silence > LOST_SECONDS]
    if not lost:
        return None
    worst = max(lost, key=lambda seat: seat.silence)
    return Replace(best.host_id, best.address, worst.member.host_id)
