"""Digests that delegates of different failure domains send once a second.

A digest holds only fingerprints and version numbers; a receiver requests what
differs (anti-entropy). Both delegates of a domain send to both of every other
domain, so that no single link or host can partition two domains. An
unreachable domain is sent digests through its last known hosts, one after
another.
"""

from geraniumweir.common import ids
from geraniumweir.membership import (
    delegates,
    hosts,
    pools,
    rosters,
    shared_state,
)
from geraniumweir.wire.gen.membership import ttypes

DIGEST_SECONDS = 1.0


class Digests:
    """Sender and receiver of digests."""

    def __init__(
        self,
        shared: shared_state.SharedState,
        roster_exchange: rosters.RosterExchange,
        summaries: pools.Pools,
    ) -> None:
        """Register the handler."""
        self._shared = shared
        self._roster_exchange = roster_exchange
        self._pools = summaries
        self._reply_limiter = shared_state.Limiter(DIGEST_SECONDS)
        self._introduction_limiter = shared_state.Limiter(2 * DIGEST_SECONDS)
        self._pull_limiter = shared_state.Limiter(DIGEST_SECONDS)
        shared.peers.handle(ttypes.Digest, self._on_digest)

    def tick(self, count: int) -> None:
        """Send a digest to the other domains where this host is a delegate.

        :param count: of ticks.
        """
        if not self._shared.is_delegate():
            return
        message = self._message()
        for domain in self._shared.outside.domains():
            for host in self._targets(domain, count):
                self._shared.peers.send(host.host_id, message)

    def _targets(
        self,
        domain: ids.FailureDomain,
        count: int,
    ) -> tuple[hosts.Host, ...]:
        live = self._shared.outside.live(domain)
        if live:
            return delegates.delegates(live)
        contacts = self._shared.outside.domain(domain).contacts
        if not contacts:
            return ()
        return (contacts[count % len(contacts)],)

    def _message(self) -> ttypes.Digest:
        newest = self._shared.progress.newest
        return ttypes.Digest(
            failure_domain=self._shared.me.failure_domain,
            roster=self._shared.members.roster,
            pools=self._pools.own_domain.version,
            log_index=newest.log_index or None,
            version=newest.version or None,
            notices=self._shared.notices.fingerprint(self._shared.now()),
        )

    async def _on_digest(
        self,
        sender: ids.HostId,
        message: ttypes.Digest,
    ) -> None:
        domain = ids.FailureDomain(message.failure_domain)
        if domain == self._shared.me.failure_domain:
            return
        now = self._shared.now()
        if self._shared.outside.refresh(domain, sender, message.roster, now):
            self._roster_exchange.request_roster(sender, domain)
        self._shared.progress.raise_to(message.log_index, message.version)
        self._introduce(sender, domain, message.roster)
        self._compare(sender, message)
        # A sender that takes this host for a delegate has an outdated view of
        # this domain; the reply carries the fingerprint of the current one.
        if not self._shared.is_delegate() and self._reply_limiter.allows(
            sender, now
        ):
            self._shared.peers.send(sender, self._message())

    def _introduce(
        self,
        sender: ids.HostId,
        domain: ids.FailureDomain,
        roster: int,
    ) -> None:
        """Send a delegate the hosts of its own domain if its roster differs.

        Hosts of one domain that joined through seeds in other domains find
        each other this way.
        """
        if self._shared.outside.domain(domain).roster == roster:
            return
        if self._introduction_limiter.allows(sender, self._shared.now()):
            self._roster_exchange.send_roster(sender, domain)

    def _compare(self, sender: ids.HostId, message: ttypes.Digest) -> None:
        now = self._shared.now()
        own_notices = self._shared.notices.fingerprint(now)
        if message.notices and message.notices != own_notices:
            if self._pull_limiter.allows(sender, now):
                self._shared.peers.send(sender, ttypes.NoticesRequest())
        domain = ids.FailureDomain(message.failure_domain)
        if sender == self._preferred(domain):
            self._pools.compare(sender, message.pools)

    def _preferred(self, domain: ids.FailureDomain) -> ids.HostId | None:
        """Choose the delegate of a domain to request its summaries from."""
        sources = sorted(self._shared.outside.domain(domain).sources)
        chosen = [host.host_id for host in self._shared.delegates()]
        me = self._shared.me.host_id
        rank = chosen.index(me) if me in chosen else 0
        return sources[rank % len(sources)] if sources else None
