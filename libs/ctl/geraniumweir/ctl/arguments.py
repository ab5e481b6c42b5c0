"""The command line of geraniumctl.

``--operator-address``, ``--output`` and ``--timeout`` may stand before or
after the command, or come from the environment.
"""

import argparse
import os
import typing

from geraniumweir.common import ids
from geraniumweir.ctl import (
    configcommands,
    documenttimeline,
    errors,
    logcommands,
    losses,
    output,
    pooltimeline,
    reportcommand,
    rolloutcommand,
    routetimeline,
    systemcommands,
)

VERSION = '0.1.0'
ENV_PREFIX = 'GERANIUMWEIR_'
ORDERS = (
    'load_model',
    'unload_model',
    'load_adapter',
    'unload_adapter',
    'set_role',
)

_DEFAULT_ADDRESS = '127.0.0.1:7403'
_DEFAULT_SECONDS = '30'
_Subparsers = typing.Any
_Read = typing.TypeVar('_Read')


class OneLineParser(argparse.ArgumentParser):
    """Ends with one line that names the argument at fault."""

    def error(self, message: str) -> typing.NoReturn:
        """Print the line and exit."""
        line = ' '.join(message.split())
        self.exit(errors.EXIT_BAD_ARGUMENT, f'{self.prog}: {line}\n')


def make_parser(env: typing.Mapping[str, str] = os.environ) -> OneLineParser:
    """Build the parser; each command's coroutine is ``command``.

    :param env: holds the defaults of what every command takes.
    """
    parser = OneLineParser(
        prog='geraniumctl',
        description='Operates a geraniumweir system.',
        epilog='Exit status: 0 done, 1 failed, 2 bad arguments, 3 refused '
        'by the system (conflict, no majority), 4 unreachable.',
        allow_abbrev=False,
    )
    parser.add_argument(
        '--version', action='version', version=f'geraniumctl {VERSION}'
    )
    _add_shared(parser, env)
    commands = parser.add_subparsers(
        required=True,
        metavar='COMMAND',
        dest='name',
        parser_class=OneLineParser,
    )
    _add_config_commands(commands)
    _add_system_commands(commands)
    _add_recorder_commands(commands)
    return parser


def _add_shared(
    parser: argparse.ArgumentParser,
    env: typing.Mapping[str, str] | None,
) -> None:
    """Add what every command takes.

    :param env: None for a command's own parser, which sets no defaults, lest
        it overwrite what stands before the command.
    """

    parser.add_argument(
        '--operator-address',
        type=_checked(_addresses),
        default=_default(env, 'OPERATOR_ADDRESS', _DEFAULT_ADDRESS),
        metavar='IP:PORT,...',
        help='operator addresses of entry hosts, tried in order',
    )
    parser.add_argument(
        '--output',
        type=_checked(_form),
        default=_default(env, 'OUTPUT', output.Form.table.value),
        metavar='table|json',
    )
    parser.add_argument(
        '--timeout',
        type=_checked(_seconds),
        default=_default(env, 'TIMEOUT', _DEFAULT_SECONDS),
        metavar='SECONDS',
        help='longest wait for one answer, and of --wait',
    )


def _default(
    env: typing.Mapping[str, str] | None,
    name: str,
    otherwise: str,
) -> str:
    if env is None:
        return argparse.SUPPRESS
    return env.get(f'{ENV_PREFIX}{name}') or otherwise


def _command(
    commands: _Subparsers,
    name: str,
    run: typing.Callable[[argparse.Namespace], typing.Any],
) -> argparse.ArgumentParser:
    about = (run.__doc__ or '').strip().partition('\n')[0]
    parser: argparse.ArgumentParser = commands.add_parser(
        name, help=about, description=about, allow_abbrev=False
    )
    _add_shared(parser, None)
    parser.set_defaults(command=run)
    return parser


def _add_config_commands(commands: _Subparsers) -> None:
    check = _command(commands, 'check', configcommands.check)
    check.add_argument('file', help='TOML; - is standard input')
    apply = _command(commands, 'apply', configcommands.apply)
    apply.add_argument('file', help='TOML; - is standard input')
    apply.add_argument(
        '--base',
        type=_checked(_version),
        required=True,
        metavar='VERSION',
        help='the version the file was made from',
    )
    apply.add_argument(
        '--change-id', help='a repeat with the same id gets the first answer'
    )
    apply.add_argument(
        '--wait', action='store_true', help='until every live host has it'
    )
    show = _command(commands, 'show', configcommands.show)
    show.add_argument('version', type=_checked(_version), nargs='?')
    diff = _command(commands, 'diff', configcommands.diff)
    diff.add_argument('older', type=_checked(_version))
    diff.add_argument('newer', type=_checked(_version))
    _command(commands, 'history', configcommands.history)
    explain = _command(commands, 'explain', configcommands.explain_request)
    explain.add_argument('request', help='JSON; - is standard input')
    explain.add_argument(
        '--file', help='explain by this TOML file, without any host'
    )


def _add_system_commands(commands: _Subparsers) -> None:
    for run in (
        systemcommands.hosts,
        systemcommands.servers,
        systemcommands.pools,
        systemcommands.status,
        systemcommands.snapshot,
    ):
        _command(commands, run.__name__, run)
    drain = _command(commands, 'drain', systemcommands.drain)
    drain.add_argument('server')
    drain.add_argument('--undo', action='store_true', help='give work again')
    _add_order(commands)
    trace = _command(commands, 'trace', systemcommands.trace)
    trace.add_argument('id', help='a request id or a trace id')
    _add_log_commands(commands)
    report = _command(commands, 'report', reportcommand.report)
    report.add_argument('file', help='JSON of a bench; - is standard input')
    report.add_argument(
        '-o', '--folder', required=True, help='where the page is written'
    )


def _add_log_commands(commands: _Subparsers) -> None:
    explain = _command(
        commands,
        'explain-request',
        logcommands.explain_request,
    )
    explain.add_argument('id', help="the caller's request id")
    refused = _command(commands, 'why-refused', logcommands.why_refused)
    late = _command(commands, 'why-late', losses.why_late)
    pools = _command(commands, 'pool-timeline', pooltimeline.pool_timeline)
    routes = _command(commands, 'route-timeline', routetimeline.route_timeline)
    routes.add_argument('--route', default='', help='only of this route')
    moves = _command(commands, 'rollouts', rolloutcommand.rollouts)
    moves.add_argument('--pool', default='', help='only of this pool')
    spread = _command(
        commands, 'document-timeline', documenttimeline.document_timeline
    )
    spread.add_argument('version', type=int, help='of the document')
    for command in (explain, refused, late, pools, routes, moves, spread):
        command.add_argument(
            'file',
            nargs='*',
            default=['-'],
            help='logs of any processes; - is standard input',
        )


def _add_order(commands: _Subparsers) -> None:
    order = _command(commands, 'order', systemcommands.order)
    order.add_argument('server')
    order.add_argument('order', choices=ORDERS)
    order.add_argument('subject', help='the model, adapter or role')
    order.add_argument('--target-version', default='', help='of the subject')
    order.add_argument(
        '--order-id', help='a repeat with the same id is sent once'
    )


def _add_recorder_commands(commands: _Subparsers) -> None:
    recorders = _command(commands, 'recorders', systemcommands.recorders)
    actions = recorders.add_subparsers(
        metavar='ACTION', parser_class=OneLineParser
    )
    _command(actions, 'list', systemcommands.recorders)
    add = _command(actions, 'add', systemcommands.add_recorder)
    add.add_argument('host', help='host id')
    add.add_argument(
        'address',
        type=_checked(ids.parse_address),
        metavar='IP:PORT',
        help='peer address of the host',
    )
    remove = _command(actions, 'remove', systemcommands.remove_recorder)
    remove.add_argument('host', help='host id')


def _checked(
    read: typing.Callable[[str], _Read],
) -> typing.Callable[[str], _Read]:
    """Let a reader's own message reach the user."""

    def wrapper(text: str) -> _Read:
        try:
            return read(text)
        except ValueError as exc:
            raise argparse.ArgumentTypeError(str(exc)) from exc

    return wrapper


def _addresses(text: str) -> tuple[ids.Address, ...]:
    return tuple(ids.parse_address(part.strip()) for part in text.split(','))


def _form(text: str) -> output.Form:
    try:
        return output.Form(text)
    except ValueError:
        raise ValueError(f'{text!r} is neither table nor json') from None


def _seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1
    if not 0 < seconds < float('inf'):
        raise ValueError(f'{text!r} is not a number of seconds above 0')
    return seconds


def _version(text: str) -> int:
    if not text.isascii() or not text.isdigit():
        raise ValueError(f'{text!r} is not a version: a whole number from 0 up')
    return int(text)
