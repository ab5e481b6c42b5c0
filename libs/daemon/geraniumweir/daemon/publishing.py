"""What the pools led here tell other hosts: summaries and suspects' cases."""

import typing

from geraniumweir.common import eventlog, ids, timers
from geraniumweir.daemon import logevents, neighbours
from geraniumweir.membership import errors as member_errors
from geraniumweir.membership import membership
from geraniumweir.scheduling import case_encoding, remote, suspects
from geraniumweir.wire import errors as wire_errors

_PERIOD = 0.5
_MOST_CASES = 64
_MOST_TOLD = 4096

_CaseKey = tuple[ids.Fingerprint, str, int, bool]


class Publisher:
    """Publishes for the pools that one host leads."""

    def __init__(
        self,
        members: membership.Membership,
        service: remote.LeaderService,
        clock: timers.TimerService,
        heard: suspects.Suspects,
    ) -> None:
        """Publish every half second from now on.

        :param heard: takes all cases, for pools that this host leads later.
        """
        self._heard = heard
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
        if len(self._told) > _MOST_TOLD:
            self._forget_told()

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
        if new:
            self._spread(new[:_MOST_CASES])

    def _spread(self, cases: typing.Sequence[suspects.Case]) -> None:
        seconds = max(case.seconds for case in cases)
        try:
            self._members.broadcast(case_encoding.write(cases), seconds)
        except member_errors.NoticeError as exc:
            # They stay new, and are tried again.
            eventlog.emit(logevents.CASES_NOT_SPREAD, reason=exc.message)
        else:
            self._merge(cases)

    def _take_cases(self, payload: bytes) -> None:
        try:
            cases = case_encoding.read(payload)
        except wire_errors.FrameError as exc:
            eventlog.emit(logevents.CASES_NOT_READ, reason=exc.message)
        else:
            self._merge(cases)

    def _merge(self, cases: typing.Sequence[suspects.Case]) -> None:
        """Let all pools led here, now or later, know of cases."""
        now = self._clock.now()
        self._told.update(map(_key, cases))
        self._heard.merge(cases, now)
        for pool in self._service.pools():
            leader = self._service.leader(pool)
            if leader is not None:
                leader.suspects.merge(cases, now)

    def _forget_told(self) -> None:
        heard = self._heard.export(self._clock.now())
        self._told.intersection_update(map(_key, heard))


def _key(case: suspects.Case) -> _CaseKey:
    return case.fingerprint, case.origin, case.crashes, case.quarantined
