"""Decides how the set of recorders changes, without an operator.

Recorders are added until there are enough for the number of failures to
tolerate, and a failed recorder is replaced as soon as a host is available. The
decisions are pure functions; :mod:`geraniumweir.control.recorders` carries them
out.
"""

import collections
import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.consensus import members

# A recorder that did not follow for this long is lost: more than an election
# timeout (1 s), so that a leader change does not count as a loss, and short
# enough that a replacement is in place within the 4 s that a new host has to
# catch up.
LOST_SECONDS = 1.5
# A learner that did not follow for this long is removed; it does not affect the
# majority, so a host that only restarts keeps its place.
REMOVE_LEARNER_SECONDS = 15.0
# A join is requested every half second; an older one is withdrawn.
JOIN_EXPIRY_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """A host's request to become a recorder.

    :ivar requested_at: when it was last sent, in seconds.
    """

    host_id: ids.HostId
    address: str
    identity: members.RecorderId
    failure_domain: ids.FailureDomain
    requested_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class RecorderStatus:
    """A present recorder and how long it has been silent.

    :ivar silence: seconds since it last followed.
    """

    member: members.Member
    failure_domain: ids.FailureDomain
    silence: float


@dataclasses.dataclass(frozen=True, slots=True)
class Add:
    """Make a host a voter; replaces another folder of the same host."""

    host_id: ids.HostId
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Replace:
    """Make a host a voter in place of a lost one."""

    host_id: ids.HostId
    address: str
    lost: ids.HostId


@dataclasses.dataclass(frozen=True, slots=True)
class Learn:
    """Make a host a learner, which can become a voter."""

    host_id: ids.HostId
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Remove:
    """Remove a lost learner."""

    host_id: ids.HostId


Change = Add | Replace | Learn | Remove


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    """A host that could become a voter."""

    host_id: ids.HostId
    address: str
    failure_domain: ids.FailureDomain


def voters_for(failures: int) -> int:
    """Return the number of voters that tolerates some failures at once.

    >>> voters_for(1), voters_for(2)
    (3, 5)
    """
    return 2 * failures + 1


def decide(
    recorders: typing.Sequence[RecorderStatus],
    joins: typing.Sequence[Join],
    voter_count: int,
) -> Change | None:
    """Return the next change of the recorders, or None.

    :param joins: hosts that currently request to join.
    :param voter_count: wanted number of voters.
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
    """Return the join of a voter's host that has a new, empty folder."""
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
    """Return how to add a missing voter or replace a lost one."""
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
