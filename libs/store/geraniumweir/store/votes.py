"""Durable term and vote of a recorder."""

import dataclasses
import struct

from geraniumweir.store import disk, group_commit, guard, wholefiles

_NAME = 'vote'
_TERM = struct.Struct('<Q')


@dataclasses.dataclass(frozen=True, slots=True)
class Vote:
    """Term and vote of a recorder.

    :ivar term: the newest term known.
    :ivar candidate: identity it voted for in that term, or empty.
    """

    term: int = 0
    candidate: str = ''


class VoteStore:
    """Current vote, and its copy on disk.

    A new vote takes effect in memory at once, so that no conflicting one is
    given; it must not be sent to others before :meth:`wait_durable` returns.
    """

    def __init__(
        self,
        folder: disk.Disk,
        guarded: guard.Guard,
        vote: Vote,
    ) -> None:
        """Initialize with the vote that :func:`load` returned."""
        self._vote = vote
        self._disk = folder
        self._guard = guarded
        self._commit = group_commit.GroupCommit(self._save)

    @property
    def term(self) -> int:
        """The current term: the newest one known."""
        return self._vote.term

    @property
    def candidate(self) -> str:
        """Identity this recorder voted for in the term, or empty."""
        return self._vote.candidate

    def set_vote(self, term: int, candidate: str = '') -> None:
        """Set the term, and the vote in it.

        :param term: a term no older than the current one.
        :param candidate: identity to vote for, or empty for no vote yet.
        """
        self._vote = Vote(term, candidate)
        self._commit.mark()

    async def wait_durable(self) -> None:
        """Wait until the current vote is durable.

        :raises errors.StoreFailedError: when the disk fails.
        """
        self._guard.check()
        await self._commit.wait_durable()

    async def _save(self) -> None:
        vote = self._vote
        payload = _TERM.pack(vote.term) + vote.candidate.encode()
        await self._guard.run(
            lambda: wholefiles.replace(self._disk, _NAME, payload),
        )


def load(folder: disk.Disk) -> Vote:
    """Return the vote in the vote file; without a file there was none.

    :raises errors.CorruptError: when the file is damaged.
    """
    payload = wholefiles.load(folder, _NAME)
    if payload is None:
        return Vote()
    term = _TERM.unpack_from(payload)[0]
    return Vote(term, payload[_TERM.size :].decode())
