"""An entry host: what its three HTTP faces share."""

import dataclasses

import aiohttp
from geraniumweir.common import ids, timers
from geraniumweir.configuration import document
from geraniumweir.daemon import settings
from geraniumweir.membership import servers
from geraniumweir.scheduling import leader, requests
from geraniumweir.scheduling import settings as leader_settings


@dataclasses.dataclass(slots=True)
class EntryHost:
    """The parts of one entry host.

    :ivar in_force: the configuration that decides new calls.
    :ivar leaders: the pools that this host leads.
    :ivar draining: no new calls are taken.
    """

    cfg: settings.Settings
    timers: timers.TimerService
    session: aiohttp.ClientSession
    registry: servers.Registry
    leaders: dict[ids.PoolName, leader.PoolLeader]
    in_force: document.InForce = document.EMPTY
    draining: bool = False

    def leader_of(self, pool: ids.PoolName) -> leader.PoolLeader:
        """Give the leader of a pool, made on first use."""
        found = self.leaders.get(pool)
        if found is None:
            found = leader.PoolLeader(
                leader_settings.LeaderSettings(pool),
                self.timers.now,
                lambda: self.servers_of(pool),
                _ignore_preempt,
            )
            self.leaders[pool] = found
        return found

    def servers_of(self, pool: ids.PoolName) -> list[servers.Announcement]:
        """List a pool's backend servers that may get new work."""
        doc = self.in_force.document
        return [
            server
            for server in self.registry.live(self.timers.now())
            if server.pool == pool
            and server.state is servers.ServerState.ready
            and not doc.override(server.server_id).drain
            and not doc.override(server.server_id).forbid
        ]


def _ignore_preempt(_preempt: requests.Preempt) -> None:
    """Leave the stream: this host can't cancel one yet."""
