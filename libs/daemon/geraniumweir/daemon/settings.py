"""Settings of an entry host, each a flag and an environment variable."""

import dataclasses
import typing

import configargparse
from geraniumweir.common import ids

VERSION = '0.1.0'
ENV_PREFIX = 'GERANIUMWEIR_'
EXIT_BAD_SETTING = 2
_DEFAULT_DRAIN_SECONDS = 30.0

_Read = typing.TypeVar('_Read')


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What one entry host is told at its start.

    :ivar data_folder: where state is kept, or None on a host without a disk.
    :ivar drain_timeout: longest wait for calls in flight, in seconds.
    """

    host_id: ids.HostId
    failure_domain: ids.FailureDomain
    region: ids.Region
    caller_address: ids.Address
    backend_address: ids.Address
    operator_address: ids.Address
    data_folder: str | None
    log_level: str
    log_format: str
    drain_timeout: float


def parse(argv: typing.Sequence[str] | None = None) -> Settings:
    """Read the settings from flags and the environment.

    :param argv: flags, by default those of the process.
    :raises SystemExit: with status 2 and one line that names the setting.
    """
    opts = _parser().parse_args(argv)
    return Settings(
        host_id=ids.HostId(opts.host_id),
        failure_domain=ids.FailureDomain(opts.failure_domain),
        region=ids.Region(opts.region),
        caller_address=opts.caller_address,
        backend_address=opts.backend_address,
        operator_address=opts.operator_address,
        data_folder=opts.data_folder,
        log_level=opts.log_level,
        log_format=opts.log_format,
        drain_timeout=opts.drain_timeout,
    )


class _OneLineParser(configargparse.ArgumentParser):
    """Ends with one line that names the setting at fault."""

    def error(self, message: str) -> typing.NoReturn:
        self.exit(EXIT_BAD_SETTING, f'{self.prog}: {message}\n')


def _parser() -> configargparse.ArgumentParser:
    parser = _OneLineParser(
        prog='geraniumweird',
        description='Entry host of the geraniumweir request scheduler.',
        auto_env_var_prefix=ENV_PREFIX,
        add_config_file_help=False,
    )
    parser.add_argument(
        '--version',
        action='version',
        version=f'geraniumweird {VERSION}',
    )
    parser.add_argument('--host-id', required=True, help='unique name')
    parser.add_argument('--failure-domain', required=True)
    parser.add_argument('--region', default='default')
    _add_addresses(parser)
    parser.add_argument('--data-folder', help='absent on a host without disk')
    parser.add_argument(
        '--log-level',
        default='info',
        choices=('debug', 'info', 'notice', 'warning', 'error'),
    )
    parser.add_argument(
        '--log-format', default='text', choices=('text', 'json')
    )
    parser.add_argument(
        '--drain-timeout',
        type=_seconds,
        default=_DEFAULT_DRAIN_SECONDS,
        help='longest wait for calls in flight at the end, in seconds',
    )
    return parser


def _add_addresses(parser: configargparse.ArgumentParser) -> None:
    for name in ('caller', 'backend', 'operator'):
        parser.add_argument(
            f'--{name}-address',
            type=_checked(ids.parse_address),
            required=True,
            metavar='IP:PORT',
        )


def _checked(
    read: typing.Callable[[str], _Read],
) -> typing.Callable[[str], _Read]:
    """Let a reader's own message reach the user."""

    def wrapper(text: str) -> _Read:
        try:
            return read(text)
        except ValueError as exc:
            raise configargparse.ArgumentTypeError(str(exc)) from exc

    return wrapper


@_checked
def _seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        raise ValueError(f'{text!r} is not a number of seconds') from None
    if not 0 <= seconds < float('inf'):
        raise ValueError(f'{text!r} is not a number of seconds from 0 up')
    return seconds
