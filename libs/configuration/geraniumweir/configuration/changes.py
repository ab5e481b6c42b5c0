"""Accepted versions, the history kept for operators, and answers to repeats.

A part of the state machine: everything here happens in the order of the log
and is the same on every recorder. Texts are kept compressed; what is stored
is the compressed form as the first recorder to apply it made it, so a
snapshot carries it on unchanged.
"""

import collections
import dataclasses
import typing
import zlib

from geraniumweir.common import ids
from geraniumweir.wire.gen.configuration import ttypes

KEPT_VERSIONS = 100
KEPT_ANSWERS = 4096
_FASTEST = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """One accepted change.

    :ivar at_ms: the log's time, milliseconds since 1970.
    :ivar packed: the document, compressed.
    """

    version: ids.Version
    change_id: ids.ChangeId
    at_ms: int
    packed: bytes

    def text(self) -> str:
        """Give the document as the operator sent it."""
        return zlib.decompress(self.packed).decode(errors='replace')


class Changes:
    """The versions of the configuration.

    :ivar version: the one in force, 0 for none yet.
    """

    def __init__(self, kept_answers: int = KEPT_ANSWERS) -> None:
        """Start at version 0.

        :param kept_answers: how many change ids are remembered; the same on
            all recorders.
        """
        self.version = 0
        self._kept_answers = kept_answers
        self._history: collections.deque[Accepted] = collections.deque(
            maxlen=KEPT_VERSIONS,
        )
        self._answers: dict[str, ttypes.ChangeAnswer] = {}

    def apply(self, change: ttypes.Change, now_ms: int) -> ttypes.ChangeAnswer:
        """Accept a change or tell the version in force.

        :param change: names the version that it builds on.
        :param now_ms: the log's time.
        :returns: the first answer again for a known change id.
        """
        known = self._answers.get(change.change_id)
        if known is not None:
            return known
        is_accepted = change.base == self.version
        if is_accepted:
            self._accept(change, now_ms)
        answer = ttypes.ChangeAnswer(is_accepted, self.version)
        self._remember(change.change_id, answer)
        return answer

    def newest(self) -> Accepted | None:
        """Give the version in force, or None before the first change."""
        return self._history[-1] if self._history else None

    def history(self) -> tuple[Accepted, ...]:
        """List the versions that are kept, oldest first."""
        return tuple(self._history)

    def find(self, version: ids.Version) -> Accepted | None:
        """Find one of the versions that are kept."""
        found = (kept for kept in self._history if kept.version == version)
        return next(found, None)

    def save(self, stored: ttypes.StoredState) -> None:
        """Write everything into a snapshot."""
        stored.history = [
            ttypes.StoredVersion(
                kept.version,
                kept.change_id,
                kept.at_ms,
                kept.packed,
            )
            for kept in self._history
        ]
        stored.answers = [
            ttypes.StoredAnswer(change_id, answer.accepted, answer.version)
            for change_id, answer in self._answers.items()
        ]

    def load(self, stored: ttypes.StoredState) -> None:
        """Take everything from a snapshot."""
        self._history.clear()
        self._history.extend(map(_loaded, stored.history or ()))
        self._answers = {
            answer.change_id: ttypes.ChangeAnswer(
                answer.accepted,
                answer.version,
            )
            for answer in stored.answers or ()
        }
        newest = self.newest()
        self.version = 0 if newest is None else newest.version

    def _accept(self, change: ttypes.Change, now_ms: int) -> None:
        self.version += 1
        accepted = Accepted(
            ids.Version(self.version),
            ids.ChangeId(change.change_id),
            now_ms,
            zlib.compress(change.document, _FASTEST),
        )
        self._history.append(accepted)

    def _remember(self, change_id: str, answer: ttypes.ChangeAnswer) -> None:
        if len(self._answers) >= self._kept_answers:
            self._answers.pop(next(iter(self._answers)))
        self._answers[change_id] = answer


def _loaded(stored: typing.Any) -> Accepted:
    return Accepted(
        ids.Version(stored.version),
        ids.ChangeId(stored.change_id),
        stored.at_ms,
        stored.packed,
    )
