"""Exchange of crash cases between control hosts.

A crash case is a request that crashed servers. The coordinator publishes all
its cases to the other control hosts whenever there is a new one or one was
cleared, so that the next coordinator continues with them.
"""

import dataclasses
import typing

from geraniumweir.common import ids, timers
from geraniumweir.control import hosts
from geraniumweir.scheduling import case_encoding, suspects
from geraniumweir.scheduling.ontime import leader
from geraniumweir.wire import peers
from geraniumweir.wire.gen.scheduling import ttypes

# Interval for checking the cases of the pools led here.
_POLL_SECONDS = 0.2
# Cases in one message, which then has some kilobytes.
_MAX_CASES = 64

_Key = tuple[ids.Fingerprint, str, int, bool]
Leaders = typing.Callable[[], typing.Iterable[leader.OnTimePoolLeader]]


def _no_leaders() -> tuple[leader.OnTimePoolLeader, ...]:
    return ()


class CrashCases:
    """The crash cases that the last coordinator published.

    :ivar leaders: returns the pool leaders of this host.
    """

    def __init__(
        self,
        link: peers.Peers,
        known: hosts.ControlHosts,
        clock: timers.TimerService,
    ) -> None:
        """Receive the cases of other control hosts from now on."""
        self.leaders: Leaders = _no_leaders
        self._link = link
        self._known = known
        self._clock = clock
        self._cases: typing.Sequence[suspects.Case] = ()
        self._received_at = float(0)
        self._keys: frozenset[_Key] = frozenset()
        self._poll = clock.every(_POLL_SECONDS).subscribe(
            lambda _: self._publish_changes()
        )
        link.handle(ttypes.Cases, self._on_cases)

    def apply_to(self, new_leader: leader.OnTimePoolLeader) -> None:
        """Pass the cases that are still valid to a new pool leader."""
        now = self._clock.now()
        aged = (
            dataclasses.replace(
                case,
                seconds=case.seconds - (now - self._received_at),
            )
            for case in self._cases
        )
        new_leader.suspects.merge(
            [case for case in aged if case.seconds > 0], now
        )

    def close(self) -> None:
        """Stop publishing."""
        self._poll.dispose()

    def _publish_changes(self) -> None:
        """Publish the cases when there are new or fewer ones."""
        leaders = list(self.leaders())
        if not leaders:
            return
        now = self._clock.now()
        cases = [case for one in leaders for case in one.suspects.export(now)]
        cases.sort(key=_severity, reverse=True)
        keys = frozenset(map(_key, cases[:_MAX_CASES]))
        if keys == self._keys:
            return
        self._store(cases[:_MAX_CASES])
        message = ttypes.Cases(case_encoding.pack(self._cases))
        for host in self._known.known():
            if host.host_id != self._link.host_id:
                self._link.send(host.host_id, message)

    async def _on_cases(
        self,
        _sender: ids.HostId,
        message: ttypes.Cases,
    ) -> None:
        self._store(case_encoding.unpack(message.cases))
        for one in self.leaders():
            one.suspects.merge(self._cases, self._received_at)

    def _store(self, cases: typing.Sequence[suspects.Case]) -> None:
        self._cases = cases
        self._received_at = self._clock.now()
        self._keys = frozenset(map(_key, cases))


def _key(case: suspects.Case) -> _Key:
    return case.fingerprint, case.origin, case.crashes, case.quarantined


def _severity(case: suspects.Case) -> tuple[bool, int, float]:
    return case.quarantined, case.crashes, case.seconds
