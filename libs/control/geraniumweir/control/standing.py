"""Who coordinates the pools, as a control host sees it.

The host that leads the log coordinates. A control host that hears no leader
stands in for it, for the entry hosts that can reach this one: a failure
domain that is cut off goes on with one queue for each pool.

A coordinator grants each customer's quota for the entry hosts that it hears.
What the others may spend is left to whoever coordinates there, so that the
parts add up to the whole however the hosts are cut off from each other.
"""

import dataclasses
import itertools
import typing

import reactivex
from geraniumweir.common import eventlog, ids, timers
from geraniumweir.control import logevents, recorders, telling, usage, waking
from geraniumweir.scheduling import notices
from geraniumweir.wire import peers
from geraniumweir.wire.gen.control import ttypes
from reactivex import subject

# How often it is looked who leads, in seconds: a tenth of an election.
_LOOK_SECONDS = 0.1
# An entry host that said nothing for so long isn't heard, in seconds: six of
# its pings, so that one lost packet, sent again after 0.2 s, is no silence.
HEARD_SECONDS = 1.2
# Entry hosts that reach a new coordinator turn to it within so long, in
# seconds: a missed answer (0.4 s), a search (0.4 s) and a ping (0.2 s).
_TURN_SECONDS = 1.0
_NOBODY = ids.HostId('')
# A part of the quotas that moved by so much is told in the log.
_PART_TOLD = 0.1
_PART_DIGITS = 2
# One that said nothing for so long is taken for gone, in seconds: longer than
# the cuts that are asked to be survived, so that its quota isn't given to
# others while it spends it.
GONE_SECONDS = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Cut:
    """A time in which an entry host was cut off, and granted by itself.

    :ivar part: of all quotas, that it may have granted.
    :ivar start: in seconds.
    :ivar end: when it was heard again, in seconds.
    """

    host_id: ids.HostId
    part: float
    start: float
    end: float

    def spent(self, since: float) -> float:
        """Give the seconds' worth of all quotas that it granted since then."""
        return self.part * max(self.end - max(self.start, since), 0)


class EntryHosts:
    """The entry hosts that a control host hears of.

    :ivar usage: what they asked of this host as the coordinator.
    """

    def __init__(self, quota_seconds: float) -> None:
        """Know of none.

        :param quota_seconds: length of the window over which quotas hold.
        """
        self.usage = usage.Usage()
        self._quota_seconds = quota_seconds
        self._coordinates_from = float('inf')
        self._cuts: list[_Cut] = []
        self._heard: dict[ids.HostId, float] = {}
        self._shares: dict[ids.HostId, float] = {}
        self._brought: dict[ids.HostId, float] = {}
        self._told = 0
        self._told_at = float('-inf')

    def coordinates_from(self, now: float) -> None:
        """Take that this host coordinates now and didn't before.

        A host that watched or pinged this one before then, and is silent
        till it turns here, wasn't cut off.
        """
        self._coordinates_from = now
        self._cuts.clear()
        self._brought.clear()

    def heard(self, host_id: ids.HostId, now: float) -> None:
        """Note a sign of life."""
        before = self._heard.get(host_id, now)
        silent = now - before > HEARD_SECONDS
        if silent and before >= self._coordinates_from:
            part = self._kept_by(host_id, now)
            self._cuts.append(_Cut(host_id, part, before, now))
        # In the order of time, so that the silent ones come first.
        self._heard.pop(host_id, None)
        self._heard[host_id] = now

    def said(self, host_id: ids.HostId, share: float) -> None:
        """Take the part of all requests that a host was told it has."""
        self._shares[host_id] = share
        self._brought.setdefault(host_id, share)

    def left(self, host_id: ids.HostId) -> None:
        """Take a farewell."""
        self._heard.pop(host_id, None)
        self._shares.pop(host_id, None)
        self._brought.pop(host_id, None)
        self.usage.forget(host_id)

    def told(self, number: int, now: float) -> None:
        """Take the number that the log's leader counts."""
        self._told = number
        self._told_at = now

    def number(self, now: float) -> int:
        """Give how many there are."""
        for host_id in self._silent(GONE_SECONDS, now):
            self.left(host_id)
        told = self._told if now - self._told_at < GONE_SECONDS else 0
        return max(len(self._heard), told)

    def number_heard(self, now: float) -> int:
        """Give how many were heard lately."""
        return len(self._heard) - len(self._silent(HEARD_SECONDS, now))

    def share_of(self, host_id: ids.HostId, now: float) -> float:
        """Give a host's part of all requests."""
        return self.usage.share(host_id, self.number(now), now)

    def part_for(self, host_id: ids.HostId, now: float) -> float:
        """Give the part that a host may grant by itself, once it is alone.

        Its part of what is left: of two hosts out of three that are cut off,
        the third would else be told that all is its own, and a coordinator
        after this one would leave nothing to the others.
        """
        return self.share_of(host_id, now) * self.share_left(now)

    def share_left(self, now: float) -> float:
        """Give the part of those that are heard, as the others' rest.

        What a host granted by itself before it came back counts too, for as
        long as it is within the window of the quotas: given to all at once,
        a customer that took all it could get from two hosts got 1.41 quotas in
        8 s around the end of a cut of 7 s, and 1.11 with this.

        >>> some = EntryHosts(8)
        >>> some.heard(ids.HostId('a'), 0), some.heard(ids.HostId('b'), 5)
        (None, None)
        >>> some.share_left(5)
        0.5
        """
        number = self.number(now)
        lost = self._silent(HEARD_SECONDS, now)
        kept = sum(self._kept_by(host, now) for host in lost)
        kept += self._kept_by_unheard(number, now)
        return 1 - min(kept + self._spent_by_returned(lost, now), 1)

    def _kept_by_unheard(self, number: int, now: float) -> float:
        """Give the part of hosts that another coordinator told of.

        They were not heard since this host coordinates: a cut took them with
        the coordinator before it, and they grant their part by themselves:
        what is left by the parts that the others were told before. By even
        parts a host that has a third of all requests of six hosts would be
        taken for one with a sixth.

        :param number: of all entry hosts.
        """
        if now - self._coordinates_from < _TURN_SECONDS:
            return 0
        if number <= len(self._heard):
            return 0
        even = 1 / number
        brought = sum(self._brought.get(host, even) for host in self._heard)
        return max(1 - brought, 0)

    def _spent_by_returned(
        self,
        lost: typing.Sequence[ids.HostId],
        now: float,
    ) -> float:
        """Give the part that hosts granted by themselves within a window."""
        since = now - self._quota_seconds
        self._cuts = [cut for cut in self._cuts if cut.end > since]
        spent = sum(
            cut.spent(since)
            for cut in self._cuts
            if cut.host_id in self._heard and cut.host_id not in lost
        )
        return spent / self._quota_seconds

    def _kept_by(self, host_id: ids.HostId, now: float) -> float:
        """Give the part that a lost host grants by itself.

        It goes by the last part that it was told, while its part of what
        comes here falls with each second of silence.
        """
        said = self._shares.get(host_id)
        return self.share_of(host_id, now) if said is None else said

    def share_said(self, now: float) -> float:
        """Give the part of those that are heard, by their own words."""
        even = 1 / max(self.number(now), 1)
        lost = self._silent(HEARD_SECONDS, now)
        parts = [
            self._shares.get(host, even)
            for host in self._heard
            if host not in lost
        ]
        return min(sum(parts), 1)

    def _silent(self, seconds: float, now: float) -> list[ids.HostId]:
        """List those that said nothing for longer than some seconds."""
        said = itertools.takewhile(
            lambda item: now - item[1] > seconds,
            self._heard.items(),
        )
        return [host_id for host_id, _ in said]


class Standing:
    """The coordinator as this host sees it; see :class:`views.HostView`.

    :ivar entry_hosts: those that watch or ping this host.
    :ivar server_notices: what they told of what servers said.
    """

    def __init__(
        self,
        link: peers.Peers,
        log: recorders.Recorders,
        clock: timers.TimerService,
        quota_seconds: float,
    ) -> None:
        """Look who leads from now on, and answer pings.

        :param quota_seconds: length of the window over which quotas hold.
        """
        self.entry_hosts = EntryHosts(quota_seconds)
        self.entry_hosts.coordinates_from(clock.now())
        self.server_notices = notices.Notices(clock)
        self._listener = telling.Listener(link, self.server_notices, clock)
        self._host_id = link.host_id
        self._log = log
        self._clock = clock
        self._waking = waking.Waking(link.host_id, log, clock)
        self._part_told: float = 1
        self._changes: subject.Subject[None] = subject.Subject()
        self._leader = ids.HostId('')
        self._looks = clock.every(_LOOK_SECONDS).subscribe(
            lambda _: self._look(),
        )
        link.handle(ttypes.Ping, self._on_ping)

    @property
    def changes(self) -> reactivex.Observable[None]:
        """Fires when another host coordinates."""
        return self._changes

    def live(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        """Give the coordinator: the log's leader, or else this host.

        Nobody while this host can't know.
        """
        if not self._waking.is_over():
            return [_NOBODY]
        return [self._leader or self._host_id]

    def owners(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        """List nobody: entry hosts hand over by themselves, at once."""
        return []

    def coordinates(self) -> bool:
        """Tell whether this host coordinates."""
        return self._leader in {'', self._host_id}

    def leads(self) -> bool:
        """Tell whether this host coordinates as the log's leader."""
        return self._leader == self._host_id

    def share(self) -> float:
        """Give the part of each quota that is granted here."""
        now = self._clock.now()
        if self._leader:
            return self.entry_hosts.share_left(now)
        return self.entry_hosts.share_said(now)

    def close(self) -> None:
        """Look no more."""
        self._looks.dispose()

    def _look(self) -> None:
        if not self._waking.is_over() and not self._log.is_leading():
            # Its queues are as old as its sleep: let them go.
            self._changes.on_next(None)
        if self.coordinates():
            self._tell_part()
        self._follow_log()

    def _follow_log(self) -> None:
        leader = self._log.leader()
        if leader == self._leader:
            return
        before = self.coordinates()
        self._leader = leader
        self._part_told = 1
        if self.coordinates() and not before:
            self.entry_hosts.coordinates_from(self._clock.now())
            leads = self._log.is_leading()
            eventlog.emit(logevents.COORDINATES, leads=leads)
        elif before and not self.coordinates():
            eventlog.emit(logevents.COORDINATES_NO_MORE)
        self._changes.on_next(None)

    def _part_for(self, host_id: ids.HostId, now: float) -> float:
        if self._leader == self._host_id:
            return self.entry_hosts.part_for(host_id, now)
        return self.entry_hosts.share_of(host_id, now)

    def _tell_part(self) -> None:
        """Log the part that is granted here when it has moved."""
        part = self.share()
        moved = abs(part - self._part_told)
        if moved < _PART_TOLD and (part < 1 or not moved):
            return
        self._part_told = part
        now = self._clock.now()
        eventlog.emit(
            logevents.QUOTA_PART,
            part=round(part, _PART_DIGITS),
            heard=self.entry_hosts.number_heard(now),
            hosts=self.entry_hosts.number(now),
        )

    async def _on_ping(
        self,
        sender: ids.HostId,
        ping: ttypes.Ping,
    ) -> ttypes.Pong:
        # The parts that hosts bring are taken from when this host coordinates.
        self._follow_log()
        now = self._clock.now()
        if ping.leaving:
            self.entry_hosts.left(sender)
        else:
            self.entry_hosts.heard(sender, now)
        if ping.share is not None:
            self.entry_hosts.said(sender, ping.share)
        self._listener.take(sender, ping)
        awake = self._waking.is_over()
        pong = ttypes.Pong(
            leads=awake and self._log.is_leading(),
            stands_in=awake and not self._leader,
            hosts=self.entry_hosts.number(now),
            heard=self.entry_hosts.number_heard(now),
            share=self._part_for(sender, now),
        )
        self._listener.fill(ping, pong)
        return pong
