"""Client of the log for any host, with or without a data folder.

A request is sent to the last known leader, then to hosts named in hints, then
to the others in turn, until one succeeds or the timeout elapses. So a request
may be executed more than once; commands must be idempotent (by a change id in
the command).
"""

import asyncio
import typing

from geraniumweir.common import ids, timers
from geraniumweir.consensus import errors
from geraniumweir.wire import errors as wire_errors
from geraniumweir.wire import peers
from geraniumweir.wire.gen.consensus import ttypes

_MS_PER_SECOND = 1000
_TIMEOUT_SECONDS = 2.0
_RETRY_PAUSE_SECONDS = 0.05
# Maximum wait for one recorder before the next is tried.
_RECORDER_TIMEOUT_SECONDS = 0.7
_MakeRequest = typing.Callable[[int], peers.Message]


class LogClient:
    """Client that finds the leader of the log and sends requests to it."""

    def __init__(
        self,
        peer_layer: peers.Peers,
        recorders: typing.Iterable[ids.HostId],
    ) -> None:
        """Initialize with some recorders.

        :param peer_layer: the peer layer, which has their addresses.
        :param recorders: hosts to try first; answers may name others.
        """
        self._peers = peer_layer
        self._known = list(recorders)
        self._timers = timers.TimerService()

    def add_hosts(self, recorders: typing.Iterable[ids.HostId]) -> None:
        """Add hosts that may be recorders."""
        new = set(recorders).difference(self._known)
        self._known.extend(sorted(new))

    def prefer(self, recorder: ids.HostId) -> None:
        """Try a recorder first, as it is known to be the leader."""
        others = [host_id for host_id in self._known if host_id != recorder]
        self._known = [recorder, *others]

    async def propose(
        self,
        command: bytes,
        timeout: float = _TIMEOUT_SECONDS,
    ) -> bytes:
        """Propose a command and wait until it is applied.

        :param command: an idempotent command; it may be applied repeatedly.
        :param timeout: in seconds.
        :returns: the state machine's answer.
        :raises errors.TooLargeError: when it could not be replicated.
        :raises errors.NoQuorumError: when no recorder accepted it.
        :raises errors.UncertainError: when it may have been committed.
        :raises errors.RefusedError: never for a command.
        """
        errors.check_size(command)
        answer = await self._request(
            lambda remaining: ttypes.Propose(command, remaining),
            timeout,
        )
        return answer.answer

    async def read_barrier(self, timeout: float = _TIMEOUT_SECONDS) -> int:
        """Return a read index, at or after all that was answered before.

        :param timeout: in seconds.
        :raises errors.NoQuorumError: when no leader could be reached.
        """
        try:
            answer = await self._request(ttypes.AskBarrier, timeout)
        except errors.UncertainError as exc:
            raise errors.NoQuorumError(exc.message) from exc
        return answer.index

    async def add_recorder(
        self,
        host_id: ids.HostId,
        address: str = '',
        timeout: float = _TIMEOUT_SECONDS,
    ) -> None:
        """Have the leader add a recorder.

        See :mod:`.membership_change`.
        """
        kind = ttypes.ChangeKind.add
        await self._request(
            lambda remaining: ttypes.ChangeRecorders(
                kind, host_id, address, remaining
            ),
            timeout,
            timeout,
        )

    async def remove_recorder(
        self,
        host_id: ids.HostId,
        timeout: float = _TIMEOUT_SECONDS,
    ) -> None:
        """Have the leader remove a recorder.

        See :mod:`.membership_change`.
        """
        kind = ttypes.ChangeKind.remove
        await self._request(
            lambda remaining: ttypes.ChangeRecorders(
                kind, host_id, '', remaining
            ),
            timeout,
            timeout,
        )

    async def status(
        self,
        host_id: ids.HostId,
        timeout: float = _TIMEOUT_SECONDS,
    ) -> ttypes.StatusAnswer:
        """Return the status as seen by one recorder.

        :raises errors.NoQuorumError: when it doesn't answer.
        """
        return await self._call(host_id, ttypes.AskStatus(), timeout)

    async def read_entries(
        self,
        host_id: ids.HostId,
        after: int,
        limit: int,
        timeout: float = _TIMEOUT_SECONDS,
    ) -> ttypes.EntriesAnswer:
        """Return committed entries after an index from any recorder.

        :raises errors.CompactedError: when they were compacted.
        :raises errors.NoQuorumError: when it doesn't answer.
        """
        request = ttypes.ReadEntries(after, limit)
        answer = await self._call(host_id, request, timeout)
        if answer.compacted:
            raise errors.CompactedError(f'entries behind {after}')
        return answer

    async def fetch_snapshot(
        self,
        host_id: ids.HostId,
        timeout: float = _TIMEOUT_SECONDS,
    ) -> tuple[int, bytes]:
        """Return a recorder's newest snapshot, read in chunks.

        :param timeout: for each chunk, in seconds.
        :returns: index of the last entry that it covers, and the state.
        :raises errors.NoQuorumError: when the recorder doesn't answer.
        """
        index = 0
        state = b''
        while True:
            request = ttypes.FetchSnapshot(index, len(state))
            piece = await self._call(host_id, request, timeout)
            # Offset 0 means that a newer snapshot replaced it: start again.
            state = state if piece.offset else b''
            index = piece.index
            state += piece.content
            if len(state) >= piece.total:
                return index, state

    async def _call(
        self,
        host_id: ids.HostId,
        request: peers.Message,
        timeout: float,
    ) -> peers.Message:
        try:
            return await self._peers.call(host_id, request, timeout)
        except wire_errors.PeerError as exc:
            raise errors.NoQuorumError(f'{host_id}: {exc}') from exc

    async def _request(
        self,
        make_request: _MakeRequest,
        timeout: float,
        recorder_timeout: float = _RECORDER_TIMEOUT_SECONDS,
    ) -> ttypes.ProposeAnswer:
        """Try recorders until one succeeds or the timeout elapses."""
        deadline = self._timers.now() + timeout
        uncertain = False
        reason = 'no recorder is known'
        attempts = 0
        while self._known:
            remaining = deadline - self._timers.now()
            if remaining <= 0:
                break
            answer = await self._try(
                make_request, min(remaining, recorder_timeout)
            )
            if _is_final(answer):
                return answer
            uncertain |= answer.verdict == ttypes.Verdict.uncertain
            reason = answer.reason
            attempts += 1
            self._choose_next(answer)
            if attempts % len(self._known) == 0:
                await asyncio.sleep(_RETRY_PAUSE_SECONDS)
        if uncertain:
            raise errors.UncertainError(reason)
        raise errors.NoQuorumError(reason)

    async def _try(
        self,
        make_request: _MakeRequest,
        seconds: float,
    ) -> ttypes.ProposeAnswer:
        request = make_request(max(int(seconds * _MS_PER_SECOND), 1))
        try:
            return await self._peers.call(self._known[0], request, seconds)
        except wire_errors.UnreachableError as exc:
            return _failed(ttypes.Verdict.no_quorum, exc)
        except wire_errors.PeerError as exc:
            return _failed(ttypes.Verdict.uncertain, exc)

    def _choose_next(self, answer: ttypes.ProposeAnswer) -> None:
        """Choose the leader that was named, or else the next recorder."""
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
