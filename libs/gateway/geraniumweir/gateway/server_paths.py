"""Paths from this host to backend servers, as its own connections show them.

That a connection to a server fails says nothing yet about the server: the
fault may be this host's. A path that failed is in doubt, and nothing is sent on
it until a new connection to the server could be made. Once the paths to two
servers failed and none worked since, all paths are in doubt.
"""

import asyncio
import collections
import contextlib
import itertools
import random
import typing

from geraniumweir.common import eventlog, ids, timers
from geraniumweir.gateway import logevents

# A partition lasts seconds; meanwhile requests are dispatched through relays.
_PROBE_SECONDS = 0.5
# Some hundred round trips; a lost SYN packet is sent again by the next probe.
_CONNECT_SECONDS = 0.3
# Probes of one round while none succeeds, and after one did.
_MAX_PROBES = 2
_MAX_PROBES_AFTER_SUCCESS = 16
# Servers that must have failed before all paths are in doubt.
_MIN_FAILED_SERVERS = 2
# Servers of which the last success is kept.
_MAX_HEARD = 4096
# After so long a path is tried again, whatever its probes say.
_MAX_DOUBT_SECONDS = 30.0

Probe = typing.Callable[[ids.Address, float], typing.Awaitable[bool]]
KnownServers = typing.Callable[[], typing.Sequence[ids.Address]]


class ServerPaths:
    """State of the paths to all servers.

    :ivar is_cut: whether all paths are in doubt.
    """

    def __init__(
        self,
        clock: timers.TimerService,
        probe: Probe,
        known: KnownServers,
    ) -> None:
        """Initialize without doubts.

        :param probe: returns whether a connection to an address can be made
            within some seconds.
        :param known: returns the addresses of all servers.
        """
        self.is_cut = False
        self._known = known
        self._rng = random.Random()
        self._cut_found = asyncio.Event()
        self._clock = clock
        self._probe = probe
        self._doubted: dict[ids.Address, float] = {}
        self._failed_since_success: set[ids.Address] = set()
        self._heard_at: collections.OrderedDict[ids.Address, float] = (
            collections.OrderedDict()
        )
        self._checks: dict[ids.Address, asyncio.Future[bool]] = {}

    def is_doubtful(self, address: ids.Address) -> bool:
        """Return whether nothing should be sent on the path to a server."""
        return self.is_cut or address in self._doubted

    def record_failure(self, address: ids.Address) -> None:
        """Record that a connection failed, or broke during a request."""
        self._doubted.setdefault(address, self._clock.now())
        self._failed_since_success.add(address)
        failed = len(self._failed_since_success)
        if not self.is_cut and failed >= _MIN_FAILED_SERVERS:
            self.is_cut = True
            self._cut_found.set()
            eventlog.emit(logevents.SERVERS_UNREACHABLE, servers=failed)

    def record_success(self, address: ids.Address) -> None:
        """Record that a connection to a server was made or a head came."""
        self._doubted.pop(address, None)
        self._failed_since_success.clear()
        self._heard_at[address] = self._clock.now()
        self._heard_at.move_to_end(address)
        if len(self._heard_at) > _MAX_HEARD:
            self._heard_at.popitem(last=False)
        if self.is_cut:
            self.is_cut = False
            eventlog.emit(
                logevents.SERVERS_REACHABLE, doubtful=len(self._doubted)
            )

    async def is_silent(self, address: ids.Address, since: float) -> bool:
        """Return whether a server sent nothing and can't be connected to.

        Its path is then in doubt.

        :param since: in seconds.
        """
        if self._heard_at.get(address, float('-inf')) > since:
            return False
        return not await self.check(address)

    async def check(self, address: ids.Address) -> bool:
        """Return whether a new connection to a server can be made now."""
        check = self._checks.get(address)
        if check is None:
            check = asyncio.ensure_future(
                self._probe(address, _CONNECT_SECONDS)
            )
            self._checks[address] = check
            check.add_done_callback(lambda _: self._checks.pop(address))
        works = await asyncio.shield(check)
        if works:
            self.record_success(address)
        else:
            self.record_failure(address)
        return works

    async def run(self) -> None:
        """Probe the paths in doubt until cancelled."""
        while True:
            self._cut_found.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_PROBE_SECONDS):
                    await self._cut_found.wait()
            if await self._probe_some(_MAX_PROBES):
                await self._probe_some(_MAX_PROBES_AFTER_SUCCESS)

    async def _probe_some(self, most: int) -> bool:
        """Return whether a path works again.

        :param most: highest number of paths to probe.
        """
        self._drop_old_doubts()
        chosen = list(itertools.islice(self._doubted, most))
        if self.is_cut:
            # Those that failed may be down while all others are reached.
            chosen += self._sample_others(most)
        results = await asyncio.gather(
            *(self._probe(address, _CONNECT_SECONDS) for address in chosen)
        )
        for address, works in zip(chosen, results, strict=True):
            if works:
                self.record_success(address)
            else:
                self._move_to_end(address)
        return any(results)

    def _move_to_end(self, address: ids.Address) -> None:
        """Let the other paths in doubt be probed first."""
        since = self._doubted.pop(address, None)
        if since is not None:
            self._doubted[address] = since

    def _sample_others(self, most: int) -> list[ids.Address]:
        """Return some servers whose own path is not in doubt."""
        known = self._known()
        sample = self._rng.sample(known, min(most, len(known)))
        return [address for address in sample if address not in self._doubted]

    def _drop_old_doubts(self) -> None:
        if not self._doubted:
            return
        oldest = self._clock.now() - _MAX_DOUBT_SECONDS
        known = frozenset(self._known())
        self._doubted = {
            address: since
            for address, since in self._doubted.items()
            if since >= oldest and address in known
        }
        if not self._doubted:
            self.is_cut = False
            self._failed_since_success.clear()
