"""What control hosts tell each other of requests that crash servers.

The coordinator tells the others each crash that it saw, so that whoever
coordinates next counts on from there.
"""

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

Leaders = typing.Callable[[], typing.Iterable[leader.OnTimeLeader]]


def _nobody() -> tuple[leader.OnTimeLeader, ...]:
    return ()


class Suspicion:
    """The cases that this host knows, whoever saw the crashes.

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
        self._heard = suspects.Suspects(quarantine_seconds=0)
        self._told: set[tuple[ids.Fingerprint, str, int, bool]] = set()
        self._looks = clock.every(_PERIOD).subscribe(lambda _: self._look())
        link.handle(ttypes.Cases, self._on_cases)

    def inform(self, new: leader.OnTimeLeader) -> None:
        """Let a new leader know of all cases."""
        now = self._clock.now()
        new.suspects.merge(self._heard.export(now), now)

    def close(self) -> None:
        """Tell no more."""
        self._looks.dispose()

    def _look(self) -> None:
        """Tell the others of cases that are new or graver."""
        now = self._clock.now()
        cases = [
            case for one in self.leaders() for case in one.suspects.export(now)
        ]
        self._told.intersection_update(map(_key, cases))
        new = [case for case in cases if _key(case) not in self._told][:_MOST]
        if not new:
            return
        self._told.update(map(_key, new))
        self._heard.merge(new, now)
        message = ttypes.Cases(casefiles.pack(new))
        for host in self._known.known():
            if host.host_id != self._link.host_id:
                self._link.send(host.host_id, message)

    async def _on_cases(
        self,
        _sender: ids.HostId,
        message: ttypes.Cases,
    ) -> None:
        now = self._clock.now()
        cases = casefiles.unpack(message.cases)
        self._heard.merge(cases, now)
        for one in self.leaders():
            one.suspects.merge(cases, now)


def _key(case: suspects.Case) -> tuple[ids.Fingerprint, str, int, bool]:
    return case.fingerprint, case.origin, case.crashes, case.quarantined
