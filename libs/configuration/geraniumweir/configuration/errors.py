"""Errors of the configuration library."""

import dataclasses
import typing

from geraniumweir.common import errors, ids


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One thing wrong with a document.

    :ivar place: such as ``rule 'quick lookups', then.tier``.
    :ivar reason: what is wrong and what is accepted.
    :ivar line: the line in the file, from 1, or None where unknown.
    """

    place: str
    reason: str
    line: int | None = None

    def __str__(self) -> str:
        """Write place and reason on one line."""
        if self.line is None:
            return f'{self.place}: {self.reason}'
        return f'line {self.line}: {self.place}: {self.reason}'


class DocumentError(errors.GeraniumweirError):
    """A document that can't be accepted."""

    code = 'GW-1201'

    def __init__(self, faults: typing.Sequence[Fault]) -> None:
        """Keep all faults, so that an operator mends them in one go.

        :param faults: at least one.
        """
        super().__init__('; '.join(str(fault) for fault in faults))
        self.faults = tuple(faults)


class ConflictError(errors.GeraniumweirError):
    """Another change was accepted first."""

    code = 'GW-1202'


class RequestError(errors.GeraniumweirError):
    """A request to be explained that can't be read."""

    code = 'GW-1204'


class SnapshotError(errors.GeraniumweirError):
    """A snapshot of the state machine that can't be read."""

    code = 'GW-1205'


class PatchError(errors.GeraniumweirError):
    """A difference that doesn't fit the version at hand."""

    code = 'GW-1206'


class ClaimError(errors.GeraniumweirError):
    """A claim that wasn't granted; nothing ran.

    :cvar ran: always ``no``: no claim, no dispatch.
    """

    code = 'GW-7100'
    ran: typing.ClassVar[ids.Ran] = ids.Ran.no


class ClaimUnavailableError(ClaimError):
    """No majority of the recorders could be reached in time."""

    code = 'GW-7101'


class ClaimsFullError(ClaimError):
    """The table of claims is full and none may be forgotten yet."""

    code = 'GW-7102'


class KeyReusedError(ClaimError):
    """The key was used before for a call with another content."""

    code = 'GW-7103'
