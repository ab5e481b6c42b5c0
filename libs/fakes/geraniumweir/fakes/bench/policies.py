"""The one face that the driver sees of every policy.

A policy answers a call with a placement or a rejection, and is told how the
call went and what the engines report. Late reports come to it the way that
they would come to the entry hosts.
"""

import collections
import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.fakes.bench import engine_model, prefix_cache, traffic

ENTRY_HOSTS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Leave to dispatch a call once."""

    server_id: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """A call that will not be served.

    :ivar shed: whether for want of capacity in time, not by a rule, for
        being quarantined and the like.
    :ivar retry_after: seconds, or None where a repeat can't help.
    """

    reason: str
    shed: bool
    retry_after: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What an engine reports once a second.

    :ivar measured_at: seconds of virtual time; it arrives later.
    """

    server_id: ids.ServerId
    incarnation: ids.Incarnation
    running: int
    waiting: int
    kv_used: int
    measured_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class CacheNews:
    """Cache events of one engine; a number that is missed is a gap."""

    server_id: ids.ServerId
    incarnation: ids.Incarnation
    sequence: int
    changes: prefix_cache.CacheChanges


class Policy(typing.Protocol):
    """How calls are placed on engines.

    :ivar messages: between hosts and from engines to hosts, by kind.
    """

    messages: collections.Counter[str]

    async def place(self, call: traffic.Call) -> Placement | Rejection:
        """Decide, at once or after a wait."""

    def not_sent(self, call: traffic.Call) -> None:
        """Learn that the engine refused the connection."""

    def started(self, job: engine_model.Job) -> None:
        """Learn that the call was dispatched."""

    def ended(self, job: engine_model.Job, end: engine_model.JobEnd) -> None:
        """Learn how a dispatched call ended."""

    def take_load(self, load: Load) -> None:
        """Take a late load report."""

    def take_cache_news(self, news: CacheNews) -> None:
        """Take late cache events."""

    def restarted(self, server_id: ids.ServerId) -> None:
        """Learn of a new incarnation, from the engine's announcement."""

    def lose_leader(self) -> None:
        """Lose the pool leader's state, where there is one."""

    def close(self) -> None:
        """Stop whatever runs beside the calls."""
