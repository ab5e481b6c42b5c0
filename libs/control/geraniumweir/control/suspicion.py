"""What control hosts tell each other of requests that crash servers.

The coordinator tells the others all cases whenever there is a new one, or one
was cleared, so that whoever coordinates next goes on from there.
"""

import dataclasses
import typing

from geraniumweir.common import ids, timers
from geraniumweir.control import hosts
from geraniumweir.scheduling import casefiles, suspects
from geraniumweir.scheduling.ontime import leader
from geraniumweir.wire import peers
from geraniumweir.wire.gen.scheduling import ttypes

# How often the cases of the pools led here are looked through, in seconds.
_PERIOD = 0.2
# Cases told at a time; a message is some kilobytes then.
_MOST = 64

_Key = tuple[ids.Fingerprint, str, int, bool]
Leaders = typing.Callable[[], typing.Iterable[leader.OnTimePoolLeader]]


def _nobody() -> tuple[leader.OnTimePoolLeader, ...]:
    return ()


class Suspicion:
    """The cases that are known, as whoever coordinated last told them.

    :ivar leaders: gives the pool leaders of this host.
    """

    def __init__(
        self,
        link: peers.Peers,
        known: hosts.ControlHosts,
        clock: timers.TimerService,
    ) -> None:
        """Take what the others tell from now on."""
        self.leaders: Leaders = _nobody
        self._link = link
        self._known = known
        self._clock = clock
        self._cases: typing.Sequence[suspects.Case] = ()
        self._told_at = float(0)
        self._keys: frozenset[_Key] = frozenset()
        self._looks = clock.every(_PERIOD).subscribe(lambda _: self._look())
        link.handle(ttypes.Cases, self._on_cases)

    def inform(self, new: leader.OnTimePoolLeader) -> None:
        """Let a new leader know of the cases that still hold."""
        now = self._clock.now()
        aged = (
            dataclasses.replace(
                case,
                seconds=case.seconds - (now - self._told_at),
            )
            for case in self._cases
        )
        new.suspects.merge([case for case in aged if case.seconds > 0], now)

    def close(self) -> None:
        """Tell no more."""
        self._looks.dispose()

    def _look(self) -> None:
        """Tell the others when there are more cases, or fewer."""
        leaders = list(self.leaders())
        if not leaders:
            return
        now = self._clock.now()
        cases = [case for one in leaders for case in one.suspects.export(now)]
        cases.sort(key=_gravity, reverse=True)
        keys = frozenset(map(_key, cases[:_MOST]))
        if keys == self._keys:
            return
        self._take(cases[:_MOST])
        message = ttypes.Cases(casefiles.pack(self._cases))
        for host in self._known.known():
            if host.host_id != self._link.host_id:
                self._link.send(host.host_id, message)

    async def _on_cases(
        self,
        _sender: ids.HostId,
        message: ttypes.Cases,
    ) -> None:
        self._take(casefiles.unpack(message.cases))
        for one in self.leaders():
            one.suspects.merge(self._cases, self._told_at)

    def _take(self, cases: typing.Sequence[suspects.Case]) -> None:
        self._cases = cases
        self._told_at = self._clock.now()
        self._keys = frozenset(map(_key, cases))


def _key(case: suspects.Case) -> _Key:
    return case.fingerprint, case.origin, case.crashes, case.quarantined


def _gravity(case: suspects.Case) -> tuple[bool, int, float]:
    return case.quarantined, case.crashes, case.seconds
