"""Reads a deployment's example files and plans its system on loopback.

The hosts are those of ``hosts/*.env`` with their failure domains, peers and
recorders; only addresses and paths are replaced. Rules are taken as they are.
Each host of the example stands beside one engine, and each failure domain has
one plain service. The ways between failure domains and to callers are as long
as the users say.
"""

import dataclasses
import pathlib
import re
import typing

from geraniumweir.common import ids
from geraniumweir.configuration import reading
from geraniumweir.fakes import processes, sender, workloads

_ENV_PREFIX = 'GERANIUMWEIR_'
_ADDRESS = re.compile(r'\d+\.\d+\.\d+\.\d+:\d+')
_MS = 1000
# Told by the plan itself, or replaced.
_OWN = frozenset(('host-id', 'failure-domain'))
_REPLACED = frozenset(('data-folder', 'trace-file', 'log-level', 'log-format'))
NAMES = ('borsafranca', 'noodhulp')


@dataclasses.dataclass(frozen=True, slots=True)
class _Ways:
    """How long messages are on their way, one way, in milliseconds.

    :ivar between: from one failure domain to another.
    :ivar callers: between callers and hosts.
    """

    between: float
    callers: float


_HALF_MS = 0.5
_JUST_UNDER_A_MS = 0.9
_WAYS = {
    'borsafranca': _Ways(between=_HALF_MS, callers=1),
    'noodhulp': _Ways(between=_JUST_UNDER_A_MS, callers=3),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A system to start and what is asked of it.

    :ivar engines: the pool of the engines.
    :ivar services: pools of the plain services, one server in each failure
        domain.
    :ivar manner: how its callers call.
    :ivar engine_by_host: one engine stands beside each host.
    """

    hosts: tuple[processes.HostPlan, ...]
    rules: str
    engines: ids.PoolName
    services: tuple[ids.PoolName, ...]
    mix: tuple[workloads.Kind, ...]
    manner: sender.Manner = sender.PLAIN
    engine_by_host: bool = False

    def domains(self) -> list[ids.FailureDomain]:
        """List the failure domains, in the order of the hosts."""
        return list(dict.fromkeys(host.domain for host in self.hosts))

    def engine_domains(self, each: int) -> list[ids.FailureDomain]:
        """List the failure domains of the engines, one for each engine.

        :param each: engines in a failure domain, where the deployment
            doesn't say.
        """
        if self.engine_by_host:
            return [host.domain for host in self.hosts]
        return [domain for domain in self.domains() for _ in range(each)]

    def backend_addresses(
        self,
        domain: ids.FailureDomain,
    ) -> tuple[ids.Address, ...]:
        """List where the backend servers of a failure domain announce."""
        return tuple(
            host.addresses['backend']
            for host in self.hosts
            if host.domain == domain
        )


def read(name: str, examples: pathlib.Path, folder: pathlib.Path) -> Deployment:
    """Plan a deployment.

    :param name: of :data:`NAMES`.
    :param examples: holds a folder for each deployment.
    :param folder: takes the hosts' data folders and trace files.
    :raises FileNotFoundError: when there is no such example.
    """
    rules = (examples / name / 'rules.toml').read_text()
    pools = reading.read(rules).pools
    return Deployment(
        hosts=_hosts(examples / name / 'hosts', folder, _WAYS[name].between),
        rules=rules,
        engines=next(pool.name for pool in pools if pool.kind == 'engine'),
        services=tuple(pool.name for pool in pools if pool.kind == 'service'),
        mix=workloads.kinds(name),
        manner=sender.Manner(keys=True, one_way=_WAYS[name].callers / _MS),
        engine_by_host=True,
    )


def _hosts(
    files: pathlib.Path,
    folder: pathlib.Path,
    delay: float,
) -> tuple[processes.HostPlan, ...]:
    texts = [path.read_text() for path in sorted(files.glob('*.env'))]
    if not texts:
        raise FileNotFoundError(f'no host in {files}')
    here = _loopback(''.join(texts))
    return tuple(
        _plan(_settings(_moved(text, here)), folder, delay) for text in texts
    )


def _moved(text: str, here: typing.Mapping[str, str]) -> str:
    return _ADDRESS.sub(lambda match: here[match[0]], text)


def _loopback(text: str) -> dict[str, str]:
    """Give each address of the files a free one of loopback."""
    named = sorted(set(_ADDRESS.findall(text)))
    ports = processes.free_ports(len(named))
    return {address: f'127.0.0.1:{port}' for address, port in zip(named, ports)}


def _settings(text: str) -> dict[str, str]:
    """Read variables as the flags of the same names."""
    pairs = (line.split('=', 1) for line in text.splitlines() if '=' in line)
    return {
        name.removeprefix(_ENV_PREFIX).lower().replace('_', '-'): value
        for name, value in pairs
    }


def _plan(
    found: typing.Mapping[str, str],
    folder: pathlib.Path,
    delay: float,
) -> processes.HostPlan:
    host_id = found['host-id']
    addresses = {
        face: ids.parse_address(found[f'{face}-address'])
        for face in processes.FACES
    }
    skipped = _OWN | _REPLACED | {f'{face}-address' for face in addresses}
    flags = [
        f'--{name}={value}'
        for name, value in found.items()
        if name not in skipped
    ]
    if 'data-folder' in found:
        flags.append(f'--data-folder={folder / host_id}')
    flags.append(f'--trace-file={folder / host_id}.jsonl')
    flags.append('--log-level=warning')
    flags.append(f'--test-link-delay-ms={delay}')
    domain = ids.FailureDomain(found['failure-domain'])
    return processes.HostPlan(host_id, domain, addresses, tuple(flags))
