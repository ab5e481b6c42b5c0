"""What the pools led here tell other hosts: summaries and suspects' cases."""

import typing

from geraniumweir.common import eventlog, ids, timers
from geraniumweir.daemon import logevents, neighbours
from geraniumweir.membership import errors as member_errors
from geraniumweir.membership import membership
from geraniumweir.scheduling import casefiles, remote, suspects
from geraniumweir.wire import errors as wire_errors

_PERIOD = 0.5
_MOST_CASES = 64

_CaseKey = tuple[ids.Fingerprint, int, bool]


class Publisher:
    """Publishes for the pools that one host leads."""

    def __init__(
        self,
        members: membership.Membership,
        service: remote.LeaderService,
        clock: timers.TimerService,
    ) -> None:
        """Publish every half second from now on."""
        self._members = members
        self._service = service
        self._clock = clock
        self._published: set[ids.PoolName] = set()
        self._told: set[_CaseKey] = set()
        self._subscriptions = (
            clock.every(_PERIOD).subscribe(lambda _: self._publish()),
            members.notices.subscribe(self._take_cases),
        )

    def close(self) -> None:
        """Publish no more."""
        for subscription in self._subscriptions:
            subscription.dispose()

    def _publish(self) -> None:
        led = set(self._service.pools())
        for pool in self._published - led:
            self._members.pools.withdraw(pool)
        self._published = led
        for pool in led:
            self._publish_pool(pool)

    def _publish_pool(self, pool: ids.PoolName) -> None:
        leader = self._service.leader(pool)
        if leader is None:
            return
        me = self._members.me
        summary = neighbours.to_members(
            leader.summary(),
            me.failure_domain,
            me.host_id,
        )
        self._members.pools.publish(summary)
        self._spread_cases(leader.suspects)

    def _spread_cases(self, known: suspects.Suspects) -> None:
        """Tell all hosts of the cases that are new or graver."""
        cases = known.export(self._clock.now())
        new = [case for case in cases if _key(case) not in self._told]
        self._told = {_key(case) for case in cases} | {
            key for key in self._told if key in map(_key, cases)
        }
        if new:
            self._spread(new[:_MOST_CASES])

    def _spread(self, cases: typing.Sequence[suspects.Case]) -> None:
        seconds = max(case.seconds for case in cases)
        try:
            self._members.spread(casefiles.write(cases), seconds)
        except member_errors.NoticeError as exc:
            eventlog.emit(logevents.CASES_NOT_SPREAD, reason=exc.message)

    def _take_cases(self, payload: bytes) -> None:
        try:
            cases = casefiles.read(payload)
        except wire_errors.FrameError as exc:
            eventlog.emit(logevents.CASES_NOT_READ, reason=exc.message)
            return
        self._told.update(map(_key, cases))
        for pool in self._service.pools():
            leader = self._service.leader(pool)
            if leader is not None:
                leader.suspects.merge(cases, self._clock.now())


def _key(case: suspects.Case) -> _CaseKey:
    return case.fingerprint, case.crashes, case.quarantined
