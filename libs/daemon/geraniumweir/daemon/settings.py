"""Settings of an entry host, each a flag and an environment variable.

``--host-id`` is ``GERANIUMWEIR_HOST_ID`` and so on; a flag overrides the
variable. An invalid setting ends the process with status 2 and one line that
names the setting, its value and what is accepted.
"""

import argparse
import dataclasses
import os
import typing

import configargparse
from geraniumweir.common import ids, logevents
from geraniumweir.daemon import settingvalues

VERSION = '0.1.0'
ENV_PREFIX = 'GERANIUMWEIR_'
EXIT_BAD_SETTING = 2
_DEFAULT_DRAIN_SECONDS = 30.0
_MS = 1000
# geraniumctl reads these and may run in the same environment.
_TOOL_VARIABLES = frozenset((f'{ENV_PREFIX}OUTPUT', f'{ENV_PREFIX}TIMEOUT'))
_ADDRESSES = (
    ('caller', 'callers'),
    ('backend', 'backend servers'),
    ('operator', 'operators'),
)
_LEVELS = tuple(level.value for level in logevents.Level)
_FORMATS = ('text', 'json')


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one entry host.

    :ivar data_folder: folder for stored state, or None without a disk.
    :ivar drain_timeout: longest wait for requests in flight, in seconds.
    :ivar peer_address: address for other entry hosts, or None on a
        standalone host.
    :ivar peers: addresses of some other entry hosts, contacted at the start.
    :ivar recorders: the first recorders, by id.
    :ivar test_links: whether operators may cut links to other hosts; only
        for tests of partitions.
    :ivar trace_file: file that spans are appended to, or None.
    :ivar trace_sample: share of requests traced, 0 to 1.
    :ivar test_link_delay: delay of each message to another host, in seconds;
        for tests only.
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
    peer_address: ids.Address | None = None
    peers: tuple[ids.Address, ...] = ()
    recorders: typing.Mapping[ids.HostId, ids.Address] = dataclasses.field(
        default_factory=dict
    )
    trace_file: str | None = None
    trace_sample: float = 1
    test_links: bool = False
    test_link_delay: float = 0


def parse(
    argv: typing.Sequence[str] | None = None,
    env: typing.Mapping[str, str] | None = None,
) -> Settings:
    """Read the settings from flags and the environment.

    :param argv: flags, by default those of the process.
    :param env: variables, by default those of the process.
    :raises SystemExit: with status 2 and one line that names the setting.
    """
    parser = _parser()
    variables = os.environ if env is None else env
    opts = parser.parse_args(argv, env_vars=dict(variables))
    cfg = Settings(
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
        peer_address=opts.peer_address,
        peers=opts.peers,
        recorders=opts.recorders,
        trace_file=opts.trace_file,
        trace_sample=opts.trace_sample,
        test_links=opts.test_links,
        test_link_delay=opts.test_link_delay_ms / _MS,
    )
    for fault in _faults(cfg):
        parser.error(fault)
    for name in _unknown(variables, opts):
        parser.error(f'variable {name}: there is no such setting')
    return cfg


def _unknown(
    variables: typing.Iterable[str],
    opts: argparse.Namespace,
) -> list[str]:
    """Return variables with the prefix of settings that are none."""
    known = {f'{ENV_PREFIX}{name.upper()}' for name in opts.__dict__}
    known |= _TOOL_VARIABLES
    return sorted(
        name
        for name in variables
        if name.startswith(ENV_PREFIX) and name not in known
    )


class _OneLineParser(configargparse.ArgumentParser):
    """Argument parser whose errors are one line that names the setting."""

    def error(self, message: str) -> typing.NoReturn:
        line = ' '.join(message.split())
        self.exit(EXIT_BAD_SETTING, f'{self.prog}: {line}\n')


def _parser() -> configargparse.ArgumentParser:
    parser = _OneLineParser(
        prog='geraniumweird',
        description='Entry host of the geraniumweir request scheduler.',
        auto_env_var_prefix=ENV_PREFIX,
        add_config_file_help=False,
        allow_abbrev=False,
    )
    parser.add_argument(
        '--version',
        action='version',
        version=f'geraniumweird {VERSION}',
    )
    _add_identity(parser)
    _add_system(parser)
    _add_observing(parser)
    _add_testing(parser)
    parser.add_argument(
        '--drain-timeout',
        type=_checked(settingvalues.seconds),
        default=_DEFAULT_DRAIN_SECONDS,
        metavar='SECONDS',
        help='longest wait for requests in flight at shutdown',
    )
    return parser


def _add_identity(parser: configargparse.ArgumentParser) -> None:
    name = _checked(settingvalues.name)
    address = _checked(ids.parse_address)
    parser.add_argument(
        '--host-id', type=name, required=True, help='unique in the system'
    )
    parser.add_argument('--failure-domain', type=name, required=True)
    parser.add_argument('--region', type=name, default='default')
    for listener, who in _ADDRESSES:
        parser.add_argument(
            f'--{listener}-address',
            type=address,
            required=True,
            metavar='IP:PORT',
            help=f'where {who} reach this host',
        )


def _add_system(parser: configargparse.ArgumentParser) -> None:
    parser.add_argument(
        '--peer-address',
        type=_checked(ids.parse_address),
        metavar='IP:PORT',
        help='address for other entry hosts; without it the host is standalone',
    )
    parser.add_argument(
        '--peers',
        type=_checked(settingvalues.addresses),
        default=(),
        metavar='IP:PORT,...',
        help='peer addresses of some other entry hosts',
    )
    parser.add_argument(
        '--recorders',
        type=_checked(settingvalues.recorders),
        default={},
        metavar='ID=IP:PORT,...',
        help='the first recorders: 1, 3, 5 or 7 host ids, peer addresses',
    )
    parser.add_argument(
        '--data-folder',
        type=_checked(settingvalues.path),
        metavar='PATH',
        help='folder for stored state; without it nothing is stored',
    )
    parser.add_argument(
        '--test-links',
        action='store_true',
        help='let operators cut links to other hosts; for tests only',
    )


def _add_testing(parser: configargparse.ArgumentParser) -> None:
    parser.add_argument(
        '--test-link-delay-ms',
        type=_checked(settingvalues.milliseconds),
        default=0,
        metavar='MS',
        help='for tests only: delays each message to another host',
    )


def _add_observing(parser: configargparse.ArgumentParser) -> None:
    parser.add_argument('--log-level', default='info', choices=_LEVELS)
    parser.add_argument('--log-format', default='text', choices=_FORMATS)
    parser.add_argument(
        '--trace-file',
        type=_checked(settingvalues.path),
        metavar='PATH',
        help='file that spans are appended to; without it none are recorded',
    )
    parser.add_argument(
        '--trace-sample',
        type=_checked(settingvalues.share),
        default=1,
        metavar='SHARE',
        help='share of requests traced, 0 to 1, unless the caller decides',
    )


def _faults(cfg: Settings) -> typing.Iterator[str]:
    """Yield an error for each contradiction between settings."""
    addresses = (
        cfg.caller_address,
        cfg.backend_address,
        cfg.operator_address,
        cfg.peer_address,
    )
    fixed = [address for address in addresses if address and address.port]
    for address in fixed:
        if fixed.count(address) > 1:
            yield f'argument --*-address: {address} is given twice'
    if cfg.peer_address is None and (cfg.peers or cfg.recorders):
        yield 'argument --peer-address: required with --peers or --recorders'
    mine = cfg.recorders.get(cfg.host_id)
    if mine is not None and mine != cfg.peer_address:
        yield (
            f'argument --recorders: {cfg.host_id}={mine} is this host, whose '
            f'--peer-address is {cfg.peer_address}; they must be equal'
        )
    if mine is not None and cfg.data_folder is None:
        yield (
            f'argument --data-folder: required, as --recorders names this '
            f'host, {cfg.host_id}'
        )


def _checked(
    read: typing.Callable[[str], settingvalues.Read],
) -> typing.Callable[[str], settingvalues.Read]:
    """Wrap a reader so that argparse shows the reader's own message."""

    def wrapper(text: str) -> settingvalues.Read:
        try:
            return read(text)
        except ValueError as exc:
            message = str(exc)
            if repr(text) not in message:
                message = f'{text!r}: {message}'
            raise argparse.ArgumentTypeError(message) from exc

    return wrapper
