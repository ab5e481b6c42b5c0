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
REMOVE_LEARNER_SECONDS = 15.0
# A join is asked for every half second; one that is older is withdrawn.
JOIN_EXPIRY_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """A host that wants to be a recorder.

    :ivar requested_at: when it last said so, in seconds.
    """

    host_id: ids.HostId
    address: str
    identity: members.RecorderId
    failure_domain: ids.FailureDomain
    requested_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class RecorderStatus:
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


def voters_for(failures: int) -> int:
    """Give the number of voters for a number of losses at once.

    >>> voters_for(1), voters_for(2)
    (3, 5)
    """
    return 2 * failures + 1


def decide(
    recorders: typing.Sequence[RecorderStatus],
    joins: typing.Sequence[Join],
    voter_count: int,
) -> Change | None:
    """Choose the next change of the recorders, or None.

    :param joins: hosts that want in now.
    :param voter_count: of voters wanted.
    """
    voters = [recorder for recorder in recorders if recorder.member.voter]
    learners = [recorder for recorder in recorders if not recorder.member.voter]
    known = {recorder.member.identity for recorder in recorders}
    new_joins = [join for join in joins if join.identity not in known]
    reset_voter = _find_reset_voter(voters, new_joins)
    if reset_voter is not None:
        return Add(reset_voter.host_id, reset_voter.address)
    change = _add_or_replace(
        voters, _candidates(learners, new_joins), voter_count
    )
    if change is not None:
        return change
    for recorder in learners:
        if recorder.silence > REMOVE_LEARNER_SECONDS:
            return Remove(recorder.member.host_id)
    if new_joins:
        return Learn(new_joins[0].host_id, new_joins[0].address)
    return None


def _find_reset_voter(
    voters: typing.Sequence[RecorderStatus],
    new_joins: typing.Sequence[Join],
) -> Join | None:
    """Find a voter's host that came back with another folder."""
    hosts = {recorder.member.host_id for recorder in voters}
    return next((join for join in new_joins if join.host_id in hosts), None)


def _candidates(
    learners: typing.Sequence[RecorderStatus],
    new_joins: typing.Sequence[Join],
) -> list[_Candidate]:
    live = [
        _Candidate(
            recorder.member.host_id,
            recorder.member.address,
            recorder.failure_domain,
        )
        for recorder in learners
        if recorder.silence <= LOST_SECONDS
    ]
    return live or [
        _Candidate(join.host_id, join.address, join.failure_domain)
        for join in new_joins
    ]


def _add_or_replace(
    voters: typing.Sequence[RecorderStatus],
    candidates: typing.Sequence[_Candidate],
    voter_count: int,
) -> Change | None:
    """Add a voter that is missing, or replace one that is lost."""
    domain_counts = collections.Counter(
        recorder.failure_domain
        for recorder in voters
        if recorder.silence <= LOST_SECONDS
    )
    best = min(
        candidates,
        key=lambda one: (domain_counts[one.failure_domain], one.host_id),
        default=None,
    )
    if best is None:
        return None
    if len(voters) < voter_count:
        return Add(best.host_id, best.address)
    lost = [recorder for recorder in voters if recorder.silence > LOST_SECONDS]
    if not lost:
        return None
    worst = max(lost, key=lambda recorder: recorder.silence)
    return Replace(best.host_id, best.address, worst.member.host_id)
