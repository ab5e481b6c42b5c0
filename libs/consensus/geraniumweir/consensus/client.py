"""The log from any host, with or without a data folder.

Asks go to the recorder that led last, then where hints point, then to the
others in turn, until one answers or time is up. An ask may so be taken more
than once; commands must be idempotent (a change id in the command).
"""

import asyncio
import typing

from geraniumweir.common import ids, timers
from geraniumweir.consensus import errors
from geraniumweir.wire import errors as wire_errors
from geraniumweir.wire import peers
from geraniumweir.wire.gen.consensus import ttypes

_MS = 1000
_TIMEOUT = 2.0
_PAUSE = 0.05
# One recorder is given this long before the next is tried.
_PATIENCE = 0.7
_MakeAsk = typing.Callable[[int], peers.Message]


class LogClient:
    """Reaches the leader of the log, wherever it is."""

    def __init__(
        self,
        way: peers.Peers,
        recorders: typing.Iterable[ids.HostId],
    ) -> None:
        """Know some recorders.

        :param way: the peer layer, which knows where they listen.
        :param recorders: hosts to try first; more are learnt from answers.
        """
        self._peers = way
        self._known = list(recorders)
        self._timers = timers.TimerService()

    def add_hosts(self, recorders: typing.Iterable[ids.HostId]) -> None:
        """Learn of more hosts that may be recorders."""
        new = set(recorders).difference(self._known)
        self._known.extend(sorted(new))

    def prefer(self, recorder: ids.HostId) -> None:
        """Ask a recorder first: it is known to lead."""
        others = [host_id for host_id in self._known if host_id != recorder]
        self._known = [recorder, *others]

    async def propose(
        self,
        command: bytes,
        timeout: float = _TIMEOUT,
    ) -> bytes:
        """Have a command applied, at least once if it is applied at all.

        :param command: an idempotent one.
        :param timeout: in seconds.
        :returns: the state machine's answer.
        :raises errors.NoQuorumError: when no recorder took it.
        :raises errors.UncertainError: when one may have.
        :raises errors.RefusedError: never for a command.
        """
        answer = await self._ask(
            lambda left: ttypes.Propose(command, left),
            timeout,
        )
        return answer.answer

    async def read_barrier(self, timeout: float = _TIMEOUT) -> int:
        """Give an index at or behind all that was answered before.

        :param timeout: in seconds.
        :raises errors.NoQuorumError: when no leader could be reached.
        """
        try:
            answer = await self._ask(ttypes.AskBarrier, timeout)
        except errors.UncertainError as exc:
            raise errors.NoQuorumError(exc.message) from exc
        return answer.index

    async def add_recorder(
        self,
        host_id: ids.HostId,
        address: str = '',
        timeout: float = _TIMEOUT,
    ) -> None:
        """Have the leader add a recorder; see :mod:`.membership_change`."""
        kind = ttypes.ChangeKind.add
        await self._ask(
            lambda left: ttypes.ChangeRecorders(kind, host_id, address, left),
            timeout,
            timeout,
        )

    async def remove_recorder(
        self,
        host_id: ids.HostId,
        timeout: float = _TIMEOUT,
    ) -> None:
        """Have the leader remove a recorder; see :mod:`.membership_change`."""
        kind = ttypes.ChangeKind.remove
        await self._ask(
            lambda left: ttypes.ChangeRecorders(kind, host_id, '', left),
            timeout,
            timeout,
        )

    async def status(
        self,
        host_id: ids.HostId,
        timeout: float = _TIMEOUT,
    ) -> ttypes.StatusAnswer:
        """Ask one recorder for its view.

        :raises errors.NoQuorumError: when it doesn't answer.
        """
        return await self._call(host_id, ttypes.AskStatus(), timeout)

    async def read_entries(
        self,
        host_id: ids.HostId,
        after: int,
        limit: int,
        timeout: float = _TIMEOUT,
    ) -> ttypes.EntriesAnswer:
        """Read committed entries from any recorder.

        :raises errors.CompactedError: when only a snapshot has them any more.
        :raises errors.NoQuorumError: when it doesn't answer.
        """
        ask = ttypes.ReadEntries(after, limit)
        answer = await self._call(host_id, ask, timeout)
        if answer.compacted:
            raise errors.CompactedError(f'entries behind {after}')
        return answer

    async def fetch_snapshot(
        self,
        host_id: ids.HostId,
        timeout: float = _TIMEOUT,
    ) -> tuple[int, bytes]:
        """Read a recorder's newest snapshot, piece by piece.

        :param timeout: for each piece, in seconds.
        :returns: index of the last entry that it covers, and the state.
        :raises errors.NoQuorumError: when the recorder doesn't answer.
        """
        index = 0
        state = b''
        while True:
            ask = ttypes.FetchSnapshot(index, len(state))
            piece = await self._call(host_id, ask, timeout)
            # Another snapshot took its place meanwhile: start again.
            state = state if piece.offset else b''
            index = piece.index
            state += piece.content
            if len(state) >= piece.total:
                return index, state

    async def _call(
        self,
        host_id: ids.HostId,
        ask: peers.Message,
        timeout: float,
    ) -> peers.Message:
        try:
            return await self._peers.call(host_id, ask, timeout)
        except wire_errors.PeerError as exc:
            raise errors.NoQuorumError(f'{host_id}: {exc}') from exc

    async def _ask(
        self,
        make_ask: _MakeAsk,
        timeout: float,
        patience: float = _PATIENCE,
    ) -> ttypes.ProposeAnswer:
        """Try recorders until one has done it or time is up."""
        until = self._timers.now() + timeout
        uncertain = False
        reason = 'no recorder is known'
        tries = 0
        while self._known:
            left = until - self._timers.now()
            if left <= 0:
                break
            answer = await self._try(make_ask, min(left, patience))
            if _is_final(answer):
                return answer
            uncertain |= answer.verdict == ttypes.Verdict.uncertain
            reason = answer.reason
            tries += 1
            self._turn_to(answer)
            if tries % len(self._known) == 0:
                await asyncio.sleep(_PAUSE)
        if uncertain:
            raise errors.UncertainError(reason)
        raise errors.NoQuorumError(reason)

    async def _try(
        self,
        make_ask: _MakeAsk,
        seconds: float,
    ) -> ttypes.ProposeAnswer:
        ask = make_ask(max(int(seconds * _MS), 1))
        try:
            return await self._peers.call(self._known[0], ask, seconds)
        except wire_errors.UnreachableError as exc:
            return _failed(ttypes.Verdict.no_quorum, exc)
        except wire_errors.PeerError as exc:
            return _failed(ttypes.Verdict.uncertain, exc)

    def _turn_to(self, answer: ttypes.ProposeAnswer) -> None:
        """Go to the leader that was named, or else to the next."""
        if answer.verdict != ttypes.Verdict.not_leader:
            self._known.append(self._known.pop(0))
            return
        leader = ids.HostId(answer.leader)
        if answer.leader_address:
            address = ids.parse_address(answer.leader_address)
            self._peers.learn(leader, address)
        others = [host_id for host_id in self._known if host_id != leader]
        self._known = [leader, *others]


def _is_final(answer: ttypes.ProposeAnswer) -> bool:
    if answer.verdict == ttypes.Verdict.refused:
        raise errors.RefusedError(answer.reason)
    return answer.verdict == ttypes.Verdict.done


def _failed(
    verdict: int,
    exc: wire_errors.PeerError,
) -> ttypes.ProposeAnswer:
    return ttypes.ProposeAnswer(verdict, b'', 0, '', '', exc.message)
