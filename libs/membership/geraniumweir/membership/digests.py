"""What delegates tell each other, once a second.

A digest holds fingerprints and numbers only; what differs is asked for. Both
delegates of a domain tell both of each other domain, so no single link or
host cuts two domains off. A domain that isn't heard is tried by the hosts
last known there, one after another.
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
    """Sends and takes in digests."""

    def __init__(
        self,
        known: shared_state.SharedState,
        lists: rosters.Rosters,
        summaries: pools.Pools,
    ) -> None:
        """Register the handler."""
        self._known = known
        self._lists = lists
        self._pools = summaries
        self._answers = shared_state.Limiter(DIGEST_SECONDS)
        self._introductions = shared_state.Limiter(2 * DIGEST_SECONDS)
        self._pulls = shared_state.Limiter(DIGEST_SECONDS)
        known.peers.handle(ttypes.Digest, self._on_digest)

    def tick(self, count: int) -> None:
        """Tell the other domains; delegates only.

        :param count: of ticks.
        """
        if not self._known.is_delegate():
            return
        message = self._message()
        for domain in self._known.outside.domains():
            for host in self._targets(domain, count):
                self._known.peers.send(host.host_id, message)

    def _targets(
        self,
        domain: ids.FailureDomain,
        count: int,
    ) -> tuple[hosts.Host, ...]:
        live = self._known.outside.live(domain)
        if live:
            return delegates.delegates(live)
        contacts = self._known.outside.domain(domain).contacts
        if not contacts:
            return ()
        return (contacts[count % len(contacts)],)

    def _message(self) -> ttypes.Digest:
        newest = self._known.progress.newest
        return ttypes.Digest(
            failure_domain=self._known.me.failure_domain,
            roster=self._known.members.roster,
            pools=self._pools.inside.version,
            log_index=newest.log_index or None,
            version=newest.version or None,
            notices=self._known.notices.fingerprint(self._known.now()),
        )

    async def _on_digest(
        self,
        sender: ids.HostId,
        message: ttypes.Digest,
    ) -> None:
        domain = ids.FailureDomain(message.failure_domain)
        if domain == self._known.me.failure_domain:
            return
        now = self._known.now()
        if self._known.outside.fresh(domain, sender, message.roster, now):
            self._lists.ask(sender, domain)
        self._known.progress.raise_to(message.log_index, message.version)
        self._introduce(sender, domain, message.roster)
        self._compare(sender, message)
        # The sender's view of this domain is old where it took this host for
        # a delegate; the answer tells it so.
        if not self._known.is_delegate() and self._answers.allows(sender, now):
            self._known.peers.send(sender, self._message())

    def _introduce(
        self,
        sender: ids.HostId,
        domain: ids.FailureDomain,
        roster: int,
    ) -> None:
        """Tell a delegate of hosts of its own domain that it may not know.

        So hosts of one domain find each other that joined by seeds elsewhere.
        """
        if self._known.outside.domain(domain).roster == roster:
            return
        if self._introductions.allows(sender, self._known.now()):
            self._lists.tell(sender, domain)

    def _compare(self, sender: ids.HostId, message: ttypes.Digest) -> None:
        now = self._known.now()
        noticed = self._known.notices.fingerprint(now)
        if message.notices and message.notices != noticed:
            if self._pulls.allows(sender, now):
                self._known.peers.send(sender, ttypes.NoticesRequest())
        domain = ids.FailureDomain(message.failure_domain)
        if sender == self._preferred(domain):
            self._pools.compare(sender, message.pools)

    def _preferred(self, domain: ids.FailureDomain) -> ids.HostId | None:
        """Choose which delegate of a domain to get its summaries from."""
        sources = sorted(self._known.outside.domain(domain).sources)
        chosen = [host.host_id for host in self._known.delegates()]
        me = self._known.me.host_id
        rank = chosen.index(me) if me in chosen else 0
        return sources[rank % len(sources)] if sources else None
