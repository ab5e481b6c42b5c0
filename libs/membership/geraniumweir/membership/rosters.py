"""Anti-entropy of rosters, the lists of live hosts.

Heartbeats and digests carry only the fingerprint of a roster; a host whose
own fingerprint differs requests the roster. A joining host calls a seed, which
may be in any domain, and gets the cards of all hosts that the seed has.
"""

import typing

from geraniumweir.common import ids
from geraniumweir.membership import cards, hosts, shared_state
from geraniumweir.wire.gen.membership import ttypes

MAX_CARDS = 4096


class RosterExchange:
    """Sender and receiver of rosters and greetings."""

    def __init__(self, shared: shared_state.SharedState) -> None:
        """Register the handlers."""
        self._shared = shared
        self._repair_limiter = shared_state.Limiter(4 * shared.timing.period)
        self._request_limiter = shared_state.Limiter(shared.timing.period)
        shared.peers.handle(ttypes.RosterRequest, self._on_request)
        shared.peers.handle(ttypes.Roster, self._on_roster)
        shared.peers.handle(ttypes.Greeting, self._on_greeting)

    def request_roster(self, to: ids.HostId, domain: ids.FailureDomain) -> None:
        """Request the roster of a domain from a host, rate limited."""
        if self._request_limiter.allows((to, domain), self._shared.now()):
            self._shared.peers.send(to, ttypes.RosterRequest(domain))

    def request_own_roster(self, to: ids.HostId) -> None:
        """Request the own domain's roster from a host, rate limited."""
        if self._repair_limiter.allows('roster', self._shared.now()):
            self.request_roster(to, self._shared.me.failure_domain)

    def send_roster(self, to: ids.HostId, domain: ids.FailureDomain) -> None:
        """Send the roster of a domain to a host."""
        if domain == self._shared.me.failure_domain:
            live = self._shared.members.live()
        else:
            live = self._shared.outside.live(domain)
        roster = ttypes.Roster(
            domain,
            cards.roster_hash(live),
            [cards.write_host(host) for host in live],
        )
        self._shared.peers.send(to, roster)

    async def greet(self, seed: ids.Address, timeout: float) -> None:
        """Join through a seed.

        :param timeout: in seconds.
        :raises errors.CardError: when a card of the reply is invalid.
        :raises wire.errors.PeerError: when the seed doesn't answer.
        """
        to = await self._shared.peers.introduce(seed)
        card = cards.write_host(self._shared.me)
        welcome = await self._shared.peers.call(
            to,
            ttypes.Greeting(card),
            timeout,
        )
        for entry in welcome.cards[:MAX_CARDS]:
            self._add_host(cards.read_host(entry))

    async def _on_greeting(
        self,
        sender: ids.HostId,
        message: ttypes.Greeting,
    ) -> ttypes.Welcome:
        host = cards.read_host(message.card)
        known = [*self._shared.members.live(), *self._shared.outside.contacts()]
        self._add_host(host)
        return ttypes.Welcome([cards.write_host(one) for one in known])

    async def _on_request(
        self,
        sender: ids.HostId,
        message: ttypes.RosterRequest,
    ) -> None:
        self.send_roster(sender, ids.FailureDomain(message.failure_domain))

    async def _on_roster(
        self,
        sender: ids.HostId,
        message: ttypes.Roster,
    ) -> None:
        domain = ids.FailureDomain(message.failure_domain)
        listed = [cards.read_host(card) for card in message.cards[:MAX_CARDS]]
        listed = [host for host in listed if host.failure_domain == domain]
        if domain == self._shared.me.failure_domain:
            self._apply_own_roster(sender, listed)
            return
        for host in listed:
            self._shared.record_address(host)
        self._shared.outside.apply_roster(
            domain,
            sender,
            (message.roster, listed),
            self._shared.now(),
        )

    def _apply_own_roster(
        self,
        sender: ids.HostId,
        listed: typing.Iterable[hosts.Host],
    ) -> None:
        for host in listed:
            self._add_host(host)
            if host.host_id == sender:
                self._shared.members.record_heartbeat(
                    sender,
                    host.incarnation,
                    self._shared.now(),
                )

    def _add_host(self, host: hosts.Host) -> None:
        now = self._shared.now()
        if host.failure_domain != self._shared.me.failure_domain:
            self._shared.record_address(host)
            self._shared.outside.add_contact(host, now)
        elif self._shared.members.add_candidate(host, now):
            self._shared.record_address(host)
