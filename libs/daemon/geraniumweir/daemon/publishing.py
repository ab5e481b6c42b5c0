"""Publishes summaries and suspects' cases of the pools led by this host."""

import typing

from geraniumweir.common import eventlog, ids, timers
from geraniumweir.daemon import logevents, membership_views
from geraniumweir.membership import errors as member_errors
from geraniumweir.membership import membership
from geraniumweir.scheduling import case_encoding, remote, suspects
from geraniumweir.wire import errors as wire_errors

_PERIOD_SECONDS = 0.5
_MAX_CASES_PER_NOTICE = 64
_MAX_PUBLISHED_KEYS = 4096

_CaseKey = tuple[ids.Fingerprint, str, int, bool]


class Publisher:
    """Publisher for the pools that one host leads."""

    def __init__(
        self,
        members: membership.Membership,
        service: remote.LeaderService,
        clock: timers.TimerService,
        received: suspects.Suspects,
    ) -> None:
        """Initialize and publish every half second.

        :param received: collects all cases, for pools that this host leads
            later.
        """
        self._received = received
        self._members = members
        self._service = service
        self._clock = clock
        self._published: set[ids.PoolName] = set()
        self._published_keys: set[_CaseKey] = set()
        self._subscriptions = (
            clock.every(_PERIOD_SECONDS).subscribe(lambda _: self._publish()),
            members.notices.subscribe(self._handle_cases),
        )

    def close(self) -> None:
        """Stop publishing."""
        for subscription in self._subscriptions:
            subscription.dispose()

    def _publish(self) -> None:
        led = set(self._service.pools())
        for pool in self._published - led:
            self._members.pools.withdraw(pool)
        self._published = led
        for pool in led:
            self._publish_pool(pool)
        if len(self._published_keys) > _MAX_PUBLISHED_KEYS:
            self._evict_published_keys()

    def _publish_pool(self, pool: ids.PoolName) -> None:
        leader = self._service.leader(pool)
        if leader is None:
            return
        me = self._members.me
        summary = membership_views.to_members(
            leader.summary(),
            me.failure_domain,
            me.host_id,
        )
        self._members.pools.publish(summary)
        self._publish_new_cases(leader.suspects)

    def _publish_new_cases(self, known: suspects.Suspects) -> None:
        """Send all hosts the cases that are new or more severe."""
        cases = known.export(self._clock.now())
        new = [case for case in cases if _key(case) not in self._published_keys]
        if new:
            self._publish_cases(new[:_MAX_CASES_PER_NOTICE])

    def _publish_cases(self, cases: typing.Sequence[suspects.Case]) -> None:
        seconds = max(case.seconds for case in cases)
        try:
            self._members.broadcast(case_encoding.write(cases), seconds)
        except member_errors.NoticeError as exc:
            # The cases stay unpublished and are sent again at the next tick.
            eventlog.emit(logevents.CASES_NOT_PUBLISHED, reason=exc.message)
        else:
            self._merge(cases)

    def _handle_cases(self, payload: bytes) -> None:
        try:
            cases = case_encoding.read(payload)
        except wire_errors.FrameError as exc:
            eventlog.emit(logevents.CASES_NOT_READ, reason=exc.message)
        else:
            self._merge(cases)

    def _merge(self, cases: typing.Sequence[suspects.Case]) -> None:
        """Merge cases into all pools led here and keep them for later ones."""
        now = self._clock.now()
        self._published_keys.update(map(_key, cases))
        self._received.merge(cases, now)
        for pool in self._service.pools():
            leader = self._service.leader(pool)
            if leader is not None:
                leader.suspects.merge(cases, now)

    def _evict_published_keys(self) -> None:
        received = self._received.export(self._clock.now())
        self._published_keys.intersection_update(map(_key, received))


def _key(case: suspects.Case) -> _CaseKey:
    return case.fingerprint, case.origin, case.crashes, case.quarantined
