"""The term and the vote of a recorder, which must survive."""

import dataclasses
import struct

from geraniumweir.store import disk, group_commit, guard, wholefiles

_NAME = 'vote'
_TERM = struct.Struct('<Q')


@dataclasses.dataclass(frozen=True, slots=True)
class Vote:
    """What a recorder promised.

    :ivar term: the newest it knows.
    :ivar candidate: whom it voted for in that term, or empty.
    """

    term: int = 0
    candidate: str = ''


class Ballot:
    """The vote as it is now, and whether it is durable.

    A new vote holds in memory at once, so that nothing is promised against
    it; nobody may be told of it before :meth:`wait_durable`.
    """

    def __init__(
        self,
        folder: disk.Disk,
        guarded: guard.Guard,
        vote: Vote,
    ) -> None:
        """Start from what :func:`load` found."""
        self._vote = vote
        self._disk = folder
        self._guard = guarded
        self._commit = group_commit.GroupCommit(self._save)

    @property
    def term(self) -> int:
        """The newest term known."""
        return self._vote.term

    @property
    def candidate(self) -> str:
        """Whom this recorder voted for in the term, or empty."""
        return self._vote.candidate

    def cast(self, term: int, candidate: str = '') -> None:
        """Enter a term or vote in it.

        :param term: no older than the newest known.
        :param candidate: whom to vote for, or empty for nobody yet.
        """
        self._vote = Vote(term, candidate)
        self._commit.mark()

    async def wait_durable(self) -> None:
        """Wait until the vote is durable.

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
    """Read the vote file; without one nothing was ever promised.

    :raises errors.CorruptError: when the file is damaged.
    """
    payload = wholefiles.load(folder, _NAME)
    if payload is None:
        return Vote()
    term = _TERM.unpack_from(payload)[0]
    return Vote(term, payload[_TERM.size :].decode())
