"""Errors of geraniumctl, each with the status it exits with."""

import typing

from geraniumweir.common import errors

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_BAD_ARGUMENT = 2
EXIT_REFUSED = 3
EXIT_UNREACHABLE = 4


class CtlError(errors.GeraniumweirError):
    """A command that failed."""

    code = 'GW-1300'
    status: typing.ClassVar[int] = EXIT_FAILED


class UnreachableError(CtlError):
    """No operator address answered."""

    code = 'GW-1302'
    status = EXIT_UNREACHABLE


class FailedError(CtlError):
    """A file is at fault, or what was waited for didn't come."""

    code = 'GW-1303'


class AnswerError(CtlError):
    """What answered is no entry host."""

    code = 'GW-1304'


class AnsweredError(CtlError):
    """An error that the system answered with, shown with its own code."""

    code = 'GW-1301'

    def __init__(self, code: str, message: str) -> None:
        """Keep the system's code.

        :param code: in docs/ERRORS.md.
        """
        super().__init__(message)
        self.answered = code

    def __str__(self) -> str:
        """Show the system's code, not ours."""
        return f'{self.answered}: {self.message}'


class RefusedError(AnsweredError):
    """The system refused: a conflict, or no majority of the recorders."""

    code = 'GW-1305'
    status = EXIT_REFUSED


def status_of(exc: errors.GeraniumweirError) -> int:
    """Give the exit status of an error."""
    match exc:
        case CtlError():
            return exc.status
        case _:
            return EXIT_FAILED
