"""Access of a control host to the replicated log."""

from geraniumweir.configuration import commands
from geraniumweir.consensus import client
from geraniumweir.consensus import errors as log_errors
from geraniumweir.control import errors, hosts, recorders
from geraniumweir.wire import peers
from geraniumweir.wire.gen.configuration import ttypes


class LogAccess:
    """The log as any control host reaches it, whichever host leads."""

    def __init__(
        self,
        link: peers.Peers,
        log: recorders.Recorders,
        known: hosts.ControlHosts,
    ) -> None:
        """Initialize from the known control hosts."""
        self._log = log
        self._known = known
        self._client = client.LogClient(link, [])

    async def propose(
        self,
        command: bytes,
        seconds: float,
    ) -> list[ttypes.StepAnswer]:
        """Have a command stored; returns once a majority synced it.

        :returns: the answers of its steps.
        :raises errors.NotStoredError: when it may not have been stored.
        """
        self._learn()
        try:
            answer = await self._client.propose(command, seconds)
        except log_errors.ConsensusError as exc:
            raise errors.NotStoredError(exc.message) from exc
        return commands.answers(answer)

    async def barrier(self, seconds: float) -> int:
        """Return the index of an entry after all that was stored before.

        :raises errors.NotUpToDateError: when no majority could be reached.
        """
        self._learn()
        try:
            return await self._client.read_barrier(seconds)
        except log_errors.ConsensusError as exc:
            raise errors.NotUpToDateError(exc.message) from exc

    def has_applied(self, index: int) -> bool:
        """Return whether this host has applied an entry."""
        running = self._log.running
        return running is not None and (
            running.recorder.core.applied.height >= index
        )

    def _learn(self) -> None:
        self._client.add_hosts(host.host_id for host in self._known.known())
        leader = self._log.leader()
        if leader:
            self._client.prefer(leader)
