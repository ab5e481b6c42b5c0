"""Naive policies, kept to compare with.

Each entry host chooses alone, at once, and sends straight to the engine, in
whose queue the call then waits; only the caller's deadline ends it.

References
==========
.. [1] M. Mitzenmacher, "The Power of Two Choices in Randomized Load
   Balancing", IEEE Transactions on Parallel and Distributed Systems 12(10),
   2001.
.. [2] M. Mitzenmacher, "How Useful Is Old Information?", IEEE Transactions on
   Parallel and Distributed Systems 11(1), 2000.
.. [3] D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit
   Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import abc
import collections
import hashlib
import random
import typing

from geraniumweir.common import ids
from geraniumweir.fakes.bench import engine_model, policies, traffic
from geraniumweir.membership import servers

_NO_SERVER_RETRY = 1.0
_CHOICES = 2
_LONG_PROMPT_BLOCKS = 8

Live = typing.Callable[[], list[servers.Announcement]]


class Baseline(abc.ABC):
    """An entry host's choice that no other host knows of."""

    def __init__(self, live: Live, seed: int) -> None:
        """Start without any report.

        :param live: gives the backend servers that may get work.
        :param seed: for choices at random.
        """
        self.messages: collections.Counter[str] = collections.Counter()
        self._live = live
        self._rng = random.Random(seed)
        self._reported: dict[ids.ServerId, int] = {}

    async def place(
        self,
        call: traffic.Call,
    ) -> policies.Placement | policies.Rejection:
        """Choose at once; there is no queue but those of the engines."""
        live = [server.server_id for server in self._live()]
        if not live:
            return policies.Rejection('no_server', True, _NO_SERVER_RETRY)
        return policies.Placement(self._choose(call, live))

    def not_sent(self, call: traffic.Call) -> None:
        """Ignore it; the next choice is as blind."""

    def started(self, job: engine_model.Job) -> None:
        """Ignore it; only reports count."""

    def ended(self, job: engine_model.Job, end: engine_model.JobEnd) -> None:
        """Ignore it; only reports count."""

    def take_load(self, load: policies.Load) -> None:
        """Keep the newest number of requests, which is old already."""
        self.messages['report'] += policies.ENTRY_HOSTS
        self._reported[load.server_id] = load.running + load.waiting

    def take_cache_news(self, news: policies.CacheNews) -> None:
        """Ignore it; these policies know no prefixes."""

    def restarted(self, server_id: ids.ServerId) -> None:
        """Forget what was reported before the crash."""
        self._reported.pop(server_id, None)

    def lose_leader(self) -> None:
        """Go on; there is no leader."""

    def close(self) -> None:
        """Stop nothing; nothing runs beside the calls."""

    @abc.abstractmethod
    def _choose(
        self,
        call: traffic.Call,
        live: typing.Sequence[ids.ServerId],
    ) -> ids.ServerId:
        """Pick one of the servers that may get work."""

    def _load_of(self, server_id: ids.ServerId) -> int:
        return self._reported.get(server_id, 0)


class RoundRobin(Baseline):
    """Each entry host goes round the servers on its own."""

    def __init__(self, live: Live, seed: int) -> None:
        """Start each host at a place of its own."""
        super().__init__(live, seed)
        self._turns: collections.Counter[int] = collections.Counter()

    def _choose(
        self,
        call: traffic.Call,
        live: typing.Sequence[ids.ServerId],
    ) -> ids.ServerId:
        turn = self._turns[call.host]
        self._turns[call.host] += 1
        return live[(turn + call.host) % len(live)]


class LeastLoad(Baseline):
    """The least load by the newest report, ties at random."""

    def _choose(
        self,
        call: traffic.Call,
        live: typing.Sequence[ids.ServerId],
    ) -> ids.ServerId:
        least = min(self._load_of(server_id) for server_id in live)
        best = [
            server_id for server_id in live if self._load_of(server_id) == least
        ]
        return self._rng.choice(best)


class TwoChoices(Baseline):
    """The less loaded, by the newest report, of two drawn at random."""

    def _choose(
        self,
        call: traffic.Call,
        live: typing.Sequence[ids.ServerId],
    ) -> ids.ServerId:
        drawn = self._rng.sample(live, min(_CHOICES, len(live)))
        return min(drawn, key=self._load_of)


class PrefixHash(Baseline):
    """The less loaded of two that the prompt's first block hashes to.

    Rendezvous hashing sends the same long prefix from every entry host to
    the same two servers; short prompts go to two drawn at random.
    """

    def _choose(
        self,
        call: traffic.Call,
        live: typing.Sequence[ids.ServerId],
    ) -> ids.ServerId:
        count = min(_CHOICES, len(live))
        if len(call.blocks) < _LONG_PROMPT_BLOCKS:
            return min(self._rng.sample(live, count), key=self._load_of)
        first = call.blocks[0]
        ranked = sorted(live, key=lambda name: _rank(first, name))
        return min(ranked[:count], key=self._load_of)


def _rank(block: ids.BlockHash, server_id: ids.ServerId) -> bytes:
    return hashlib.blake2b(f'{block} {server_id}'.encode()).digest()
