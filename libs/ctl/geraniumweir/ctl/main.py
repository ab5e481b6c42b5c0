"""Reads the command line and runs one command."""

import asyncio
import sys
import typing

from geraniumweir.common import errors as common_errors
from geraniumweir.configuration import errors as config_errors
from geraniumweir.ctl import arguments, errors, output


def main(argv: typing.Sequence[str] | None = None) -> None:
    """Run one command and exit with its status.

    :param argv: arguments, by default those of the process.
    """
    opts = arguments.make_parser().parse_args(argv)
    sys.exit(run(opts.command(opts)))


def run(command: typing.Coroutine[typing.Any, typing.Any, None]) -> int:
    """Run a command's coroutine.

    :returns: the exit status.
    """
    try:
        asyncio.run(command)
    except config_errors.DocumentError as exc:
        for fault in exc.faults:
            output.warn(f'geraniumctl: {fault}')
        return errors.EXIT_FAILED
    except OSError as exc:
        output.warn(f'geraniumctl: {exc.filename}: {exc.strerror}')
        return errors.EXIT_FAILED
    except common_errors.GeraniumweirError as exc:
        output.warn(f'geraniumctl: {exc}')
        return errors.status_of(exc)
    return errors.EXIT_DONE
