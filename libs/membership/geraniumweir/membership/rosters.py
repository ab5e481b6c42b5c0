"""Lists of hosts: a fingerprint travels always, the list when it differs.

Whoever sees another fingerprint than its own asks for the list. Joining is
the same by call: a newcomer greets a seed, which may be in any domain, and is
told of every host the seed knows.
"""

import typing

from geraniumweir.common import ids
from geraniumweir.membership import cards, hosts, shared_state
from geraniumweir.wire.gen.membership import ttypes

MAX_CARDS = 4096


class Rosters:
    """Answers and takes in lists of hosts."""

    def __init__(self, known: shared_state.SharedState) -> None:
        """Register the handlers."""
        self._known = known
        self._repairs = shared_state.Limiter(4 * known.timing.period)
        self._cards = shared_state.Limiter(known.timing.period)
        known.peers.handle(ttypes.RosterRequest, self._on_request)
        known.peers.handle(ttypes.Roster, self._on_roster)
        known.peers.handle(ttypes.Greeting, self._on_greeting)

    def ask(self, to: ids.HostId, domain: ids.FailureDomain) -> None:
        """Ask a host for the list of a domain, unless just done."""
        if self._cards.allows((to, domain), self._known.now()):
            self._known.peers.send(to, ttypes.RosterRequest(domain))

    def repair(self, to: ids.HostId) -> None:
        """Ask a host of the own domain whose list differs; seldom."""
        if self._repairs.allows('roster', self._known.now()):
            self.ask(to, self._known.me.failure_domain)

    def tell(self, to: ids.HostId, domain: ids.FailureDomain) -> None:
        """Send a host the list of a domain."""
        if domain == self._known.me.failure_domain:
            live = self._known.members.live()
        else:
            live = self._known.outside.live(domain)
        roster = ttypes.Roster(
            domain,
            cards.roster_hash(live),
            [cards.write_host(host) for host in live],
        )
        self._known.peers.send(to, roster)

    async def greet(self, seed: ids.Address, timeout: float) -> None:
        """Join by a seed.

        :param timeout: in seconds.
        :raises wire.errors.PeerError: when it doesn't answer.
        """
        to = await self._known.peers.introduce(seed)
        card = cards.write_host(self._known.me)
        welcome = await self._known.peers.call(
            to,
            ttypes.Greeting(card),
            timeout,
        )
        for entry in welcome.cards[:MAX_CARDS]:
            self._meet(cards.read_host(entry))

    async def _on_greeting(
        self,
        sender: ids.HostId,
        message: ttypes.Greeting,
    ) -> ttypes.Welcome:
        host = cards.read_host(message.card)
        known = [*self._known.members.live(), *self._known.outside.contacts()]
        self._meet(host)
        return ttypes.Welcome([cards.write_host(one) for one in known])

    async def _on_request(
        self,
        sender: ids.HostId,
        message: ttypes.RosterRequest,
    ) -> None:
        self.tell(sender, ids.FailureDomain(message.failure_domain))

    async def _on_roster(
        self,
        sender: ids.HostId,
        message: ttypes.Roster,
    ) -> None:
        domain = ids.FailureDomain(message.failure_domain)
        told = [cards.read_host(card) for card in message.cards[:MAX_CARDS]]
        told = [host for host in told if host.failure_domain == domain]
        if domain == self._known.me.failure_domain:
            self._take_own(sender, told)
            return
        for host in told:
            self._known.learn(host)
        self._known.outside.take(
            domain,
            sender,
            (message.roster, told),
            self._known.now(),
        )

    def _take_own(
        self,
        sender: ids.HostId,
        told: typing.Iterable[hosts.Host],
    ) -> None:
        for host in told:
            self._meet(host)
            if host.host_id == sender:
                self._known.members.beat(
                    sender,
                    host.incarnation,
                    self._known.now(),
                )

    def _meet(self, host: hosts.Host) -> None:
        now = self._known.now()
        if host.failure_domain != self._known.me.failure_domain:
            self._known.learn(host)
            self._known.outside.hint(host, now)
        elif self._known.members.tell_of(host, now):
            self._known.learn(host)
