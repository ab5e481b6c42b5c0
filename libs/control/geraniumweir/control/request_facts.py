"""The facts about requests that a control host knows and exchanges.

See Also
========
geraniumweir.control.request_exchange
"""

import typing

from geraniumweir.common import timers
from geraniumweir.control import (
    crash_cases,
    enrolments,
    hosts,
    leadership,
    request_exchange,
    stream_doubts,
    stream_exchange,
)
from geraniumweir.scheduling import channel, part_encoding, part_evidence
from geraniumweir.scheduling.ontime import leader
from geraniumweir.wire.gen.control import ttypes


class RequestFacts:
    """Facts about requests on a control host.

    :ivar parts: prompt parts that crashed servers.
    :ivar streams: where streams began.
    """

    def __init__(
        self,
        link: channel.Channel,
        known: hosts.ControlHosts,
        servers: enrolments.Enrolments,
        view: leadership.Leadership,
        clock: timers.TimerService,
    ) -> None:
        """Exchange from now on."""
        self.parts = part_evidence.PartEvidence()
        self.streams = stream_exchange.StreamExchange(
            link,
            known,
            stream_exchange.make_origins(clock, servers.get),
            view,
            stream_doubts.StreamDoubts(
                view.coverage,
                lambda: view.entry_hosts.count(clock.now()),
                servers.known,
                clock,
            ),
            clock,
        )
        self._clock = clock
        self._host_id = link.host_id
        self._view = view
        self._coordinates = False
        self._crash_cases = crash_cases.CrashCases()
        self._part_cases = crash_cases.PartCases(self.parts)
        self._exchange = request_exchange.RequestExchange(
            link,
            known,
            clock,
            (self._crash_cases, self._part_cases, self.streams),
        )
        self._subscription = view.changes.subscribe(
            lambda _: self._on_coordinator()
        )

    def follow_leaders(
        self,
        leaders: typing.Callable[[], list[leader.OnTimePoolLeader]],
    ) -> None:
        """Publish what the pool leaders of this host know.

        :param leaders: returns them.
        """
        self._crash_cases.leaders = leaders
        self._part_cases.leads = lambda: bool(leaders())

    def apply_to(self, new_leader: leader.OnTimePoolLeader) -> None:
        """Pass what other coordinators published to a new pool leader."""
        self._crash_cases.apply_to(new_leader, self._clock.now())

    def close(self) -> None:
        """Stop publishing."""
        self._subscription.dispose()
        self._exchange.close()
        self.streams.close()

    def fill_pong(self, ping: ttypes.Ping, pong: ttypes.Pong) -> None:
        """Add the refused parts to the answer for a host without them."""
        refused = self.parts.refused()
        if (ping.refused_digest or 0) != part_encoding.digest(refused):
            pong.refused = part_encoding.pack_refused(
                refused, self._clock.now()
            )

    def _on_coordinator(self) -> None:
        """Ask the other control hosts where this one begins to coordinate."""
        coordinated = self._coordinates
        self._coordinates = self._view.coordinator_id() == self._host_id
        if self._coordinates and not coordinated:
            self._exchange.ask()
