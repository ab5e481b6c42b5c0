"""Tests that the example configurations of both deployments load."""

import pathlib

import pytest
from geraniumweir.configuration import reading
from geraniumweir.daemon import settings

_EXAMPLES = pathlib.Path(__file__).parents[5] / 'examples'
_DEPLOYMENTS = {
    'borsafranca': (
        'nord-ovest',
        {'milano-a', 'torino-b', 'bergamo-c'},
        {'lm-advisori': 'engine', 'sportello-app': 'service'},
    ),
    'noodhulp': (
        'be-vl',
        {'gent-hal-a', 'gent-hal-b', 'mechelen-dc', 'brugge-depot'},
        {'geraniumweir-pool': 'engine', 'voorraad-api': 'service'},
    ),
}


def _hosts(deployment: str) -> list[settings.Settings]:
    found = []
    for path in sorted((_EXAMPLES / deployment / 'hosts').glob('*.env')):
        lines = path.read_text().splitlines()
        env = dict(line.split('=', 1) for line in lines)
        found.append(settings.parse((), env))
    return found


@pytest.mark.parametrize('deployment', _DEPLOYMENTS)
def test_hosts_cover_the_domains_and_agree(deployment: str) -> None:
    """Six hosts, recorders in three domains, no address given twice."""
    region, domains, _ = _DEPLOYMENTS[deployment]
    hosts = _hosts(deployment)
    recorders = [host for host in hosts if host.host_id in host.recorders]
    peers = {host.host_id: host.peer_address for host in hosts}
    assert len(hosts) == len(peers) == len(set(peers.values())) == 6
    assert {host.region for host in hosts} == {region}
    assert {host.failure_domain for host in hosts} == domains
    assert len({host.failure_domain for host in recorders}) == 3
    for host in hosts:
        assert host.recorders == hosts[0].recorders
        assert host.recorders.items() <= peers.items()
        assert (host.data_folder is not None) == (host in recorders)


@pytest.mark.parametrize('deployment', _DEPLOYMENTS)
def test_rules_have_no_fault_and_no_warning(deployment: str) -> None:
    """Five customers, both pools, and no rule that never matches."""
    _, _, pools = _DEPLOYMENTS[deployment]
    checked = reading.check((_EXAMPLES / deployment / 'rules.toml').read_text())
    doc = checked.document
    assert {pool.name: pool.kind for pool in doc.pools} == pools
    assert len(doc.customers) == 5
    assert not checked.warnings
