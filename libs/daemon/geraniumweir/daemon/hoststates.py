"""State of the entry hosts, requested when an operator wants it."""

import asyncio
import typing

from geraniumweir.common import ids
from geraniumweir.daemon import host as entry_host
from geraniumweir.daemon import operations, rows
from geraniumweir.membership import hosts, membership
from geraniumweir.wire import errors, peers
from geraniumweir.wire.gen.operations import ttypes

_TIMEOUT_SECONDS = 1.0


class HostStates:
    """Requests the state of other hosts and answers such requests."""

    def __init__(
        self,
        host: entry_host.EntryHost,
        peer_layer: peers.Peers,
        members: membership.Membership,
        is_recorder: typing.Callable[[], bool],
    ) -> None:
        """Initialize and register the handler for other hosts' requests.

        :param is_recorder: returns whether this host is a recorder.
        """
        self._host = host
        self._peers = peer_layer
        self._members = members
        self._is_recorder = is_recorder
        peer_layer.handle(ttypes.AskHostState, self._answer)

    async def rows(self) -> list[operations.HostRow]:
        """Return a row for every live host, sorted by id."""
        live = self._members.all_live()
        found = await asyncio.gather(*(self._row(one) for one in live))
        return sorted(found, key=lambda row: row.host_id)

    async def _row(self, one: hosts.Host) -> operations.HostRow:
        if one.host_id == self._host.cfg.host_id:
            return _row(one, self._own())
        try:
            found = await self._peers.call(
                one.host_id,
                ttypes.AskHostState(),
                _TIMEOUT_SECONDS,
            )
        except errors.PeerError:
            return _unreachable_row(one)
        return _row(one, found)

    async def _answer(
        self,
        _sender: ids.HostId,
        _request: ttypes.AskHostState,
    ) -> ttypes.HostState:
        return self._own()

    def _own(self) -> ttypes.HostState:
        return ttypes.HostState(
            version=self._host.in_force.version,
            sure=self._host.sure,
            draining=self._host.draining,
            recorder=self._is_recorder(),
            leads=list(self._host.leads()),
        )


def _row(one: hosts.Host, found: ttypes.HostState) -> operations.HostRow:
    return operations.HostRow(
        one.host_id,
        one.failure_domain,
        one.region,
        rows.host_state(draining=found.draining),
        ids.Version(found.version),
        sure=found.sure,
        recorder=found.recorder,
        leads=tuple(map(ids.PoolName, found.leads)),
    )


def _unreachable_row(one: hosts.Host) -> operations.HostRow:
    return operations.HostRow(
        one.host_id,
        one.failure_domain,
        one.region,
        operations.HostState.suspected,
        ids.Version(0),
        sure=False,
        recorder=hosts.Role.recorder in one.roles,
    )
