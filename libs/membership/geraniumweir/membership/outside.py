"""The hosts of the other failure domains, as reported by delegates.

For each domain the rosters of a few sources are kept: the domain's own
delegates where this host is a delegate itself, else the delegate that it
follows. The live hosts of a domain are the union of the rosters of its current
sources, so that two delegates on different sides of a partition inside the
domain complement each other. A domain without a current source is
unreachable; its hosts are kept for a time as contacts to reach it again.
"""

import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.membership import cards, hosts, members
from reactivex import subject

SOURCE_TIMEOUT_SECONDS = 5.0
CONTACT_RETENTION_SECONDS = 3600.0
MAX_DOMAINS = 64
MAX_SOURCES = 4
MAX_HOSTS_PER_DOMAIN = 256


@dataclasses.dataclass(slots=True)
class Source:
    """Roster of a domain from one host.

    :ivar roster: fingerprint of the hosts.
    :ivar last_seen_at: when it was last confirmed, in seconds on the clock.
    """

    roster: int
    hosts: tuple[hosts.Host, ...]
    last_seen_at: float


@dataclasses.dataclass(slots=True)
class Domain:
    """One other failure domain.

    :ivar contacts: last known hosts, kept while the domain is unreachable.
    :ivar live: hosts in the roster of any current source.
    :ivar roster: fingerprint of the live hosts.
    :ivar last_seen_at: when any source was last confirmed, in seconds on the
        clock.
    """

    contacts: tuple[hosts.Host, ...] = ()
    live: tuple[hosts.Host, ...] = ()
    roster: int = 0
    last_seen_at: float = 0
    sources: dict[ids.HostId, Source] = dataclasses.field(
        default_factory=dict,
    )


class OtherDomains:
    """View of all other failure domains."""

    def __init__(self, own: ids.FailureDomain) -> None:
        """Initialize without any other domain."""
        self._own = own
        self.changes: subject.Subject[hosts.HostEvent] = subject.Subject()
        self._domains: dict[ids.FailureDomain, Domain] = {}
        self._domain_by_host: dict[ids.HostId, ids.FailureDomain] = {}

    def domains(self) -> list[ids.FailureDomain]:
        """Return the names of the domains, reachable or not, sorted."""
        return sorted(self._domains)

    def domain(self, name: ids.FailureDomain) -> Domain:
        """Return the entry of a domain; empty where there is none."""
        return self._domains.get(name) or Domain()

    def live(self, name: ids.FailureDomain) -> tuple[hosts.Host, ...]:
        """Return the live hosts of a domain, sorted by id."""
        return self.domain(name).live

    def all_live(self) -> list[hosts.Host]:
        """Return the live hosts of all other domains."""
        return [host for name in self.domains() for host in self.live(name)]

    def contacts(self) -> list[hosts.Host]:
        """Return the contacts of all domains."""
        found = self._domains.values()
        return [host for domain in found for host in domain.contacts]

    def is_live(self, host_id: ids.HostId) -> bool:
        """Return whether a host of another domain is live."""
        return host_id in self._domain_by_host

    def entries(
        self,
        source: ids.HostId | None = None,
    ) -> list[tuple[ids.FailureDomain, int]]:
        """Return the reachable domains with the fingerprint of each.

        :param source: the source of the fingerprints; without one they are of
            the union of all sources.
        """
        if source is None:
            return [
                (name, self._domains[name].roster)
                for name in self.domains()
                if self._domains[name].live
            ]
        return [
            (name, self._domains[name].sources[source].roster)
            for name in self.domains()
            if source in self._domains[name].sources
        ]

    def add_contact(self, host: hosts.Host, now: float) -> None:
        """Add a host to the contacts of its domain."""
        domain = self._domain(host.failure_domain, now)
        if domain is None or len(domain.contacts) >= MAX_HOSTS_PER_DOMAIN:
            return
        domain.contacts = tuple(
            members.newest_incarnations([*domain.contacts, host])
        )

    def refresh(
        self,
        domain: ids.FailureDomain,
        source: ids.HostId,
        roster: int,
        now: float,
    ) -> bool:
        """Refresh the roster of a source where its fingerprint is unchanged.

        :returns: whether its roster must be requested.
        """
        found = self._domains.get(domain)
        known = found.sources.get(source) if found else None
        if found is None or known is None or known.roster != roster:
            return True
        known.last_seen_at = now
        found.last_seen_at = now
        return False

    def apply_roster(
        self,
        domain: ids.FailureDomain,
        source: ids.HostId,
        roster: tuple[int, typing.Sequence[hosts.Host]],
        now: float,
    ) -> None:
        """Apply the roster of a domain from a source.

        :param roster: its fingerprint and its hosts.
        """
        found = self._domain(domain, now)
        if found is None:
            return
        fingerprint, named = roster
        kept = tuple(named[:MAX_HOSTS_PER_DOMAIN])
        if source not in found.sources and len(found.sources) >= MAX_SOURCES:
            return
        found.sources[source] = Source(fingerprint, kept, now)
        found.last_seen_at = now
        self._recompute(found)

    def retain_only(
        self,
        source: ids.HostId,
        named: typing.Container[ids.FailureDomain],
    ) -> None:
        """Remove the rosters from a source of domains that it doesn't list."""
        for name, domain in self._domains.items():
            if name not in named and domain.sources.pop(source, None):
                self._recompute(domain)

    def sweep(self, now: float) -> None:
        """Remove silent sources and domains that are long unreachable."""
        for name, domain in list(self._domains.items()):
            silent = [
                source
                for source, entry in domain.sources.items()
                if now - entry.last_seen_at >= SOURCE_TIMEOUT_SECONDS
            ]
            for source in silent:
                domain.sources.pop(source)
            if silent:
                self._recompute(domain)
            if now - domain.last_seen_at >= CONTACT_RETENTION_SECONDS:
                self._domains.pop(name)

    def shift_forward(self, gap: float, now: float) -> None:
        """Shift all times of sources forward by a stall of this host.

        :param gap: length of the stall, in seconds.
        """
        for domain in self._domains.values():
            for entry in domain.sources.values():
                entry.last_seen_at = min(now, entry.last_seen_at + gap)

    def _domain(self, name: ids.FailureDomain, now: float) -> Domain | None:
        if name == self._own:
            return None
        found = self._domains.get(name)
        if found is None and len(self._domains) < MAX_DOMAINS:
            found = Domain(last_seen_at=now)
            self._domains[name] = found
        return found

    def _recompute(self, domain: Domain) -> None:
        before = {host.host_id: host for host in domain.live}
        reported = [
            host for source in domain.sources.values() for host in source.hosts
        ]
        domain.live = tuple(members.newest_incarnations(reported))
        domain.contacts = domain.live or domain.contacts
        domain.roster = cards.roster_hash(domain.live)
        for host_id in before:
            self._domain_by_host.pop(host_id, None)
        for host in domain.live:
            self._domain_by_host[host.host_id] = host.failure_domain
        for event in _differences(before, domain.live):
            self.changes.on_next(event)


def _differences(
    before: dict[ids.HostId, hosts.Host],
    after: tuple[hosts.Host, ...],
) -> list[hosts.HostEvent]:
    events: list[hosts.HostEvent] = []
    named = {host.host_id for host in after}
    for host_id, host in before.items():
        if host_id not in named:
            reason = hosts.Departure.unreachable
            events.append(hosts.HostLeft(host, reason))
    for host in after:
        events.extend(_difference(before.get(host.host_id), host))
    return events


def _difference(
    before: hosts.Host | None,
    host: hosts.Host,
) -> list[hosts.HostEvent]:
    if before is None:
        return [hosts.HostJoined(host)]
    if before.incarnation != host.incarnation:
        left = hosts.HostLeft(before, hosts.Departure.restarted)
        return [left, hosts.HostJoined(host)]
    return [] if before == host else [hosts.HostChanged(host)]
