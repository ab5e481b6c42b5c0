"""What becomes of a deployment's example files on loopback."""

import pathlib

import pytest
from geraniumweir.common import ids
from geraniumweir.configuration import document, matching, reading
from geraniumweir.daemon import settings
from geraniumweir.fakes import deployments, processes, workloads

_EXAMPLES = pathlib.Path(__file__).parents[5] / 'examples'


def _settings(plan: processes.HostPlan) -> settings.Settings:
    flags = [f'--host-id={plan.host_id}', f'--failure-domain={plan.domain}']
    for face, address in plan.addresses.items():
        flags.append(f'--{face}-address={address}')
    return settings.parse((*flags, *plan.flags), {})


@pytest.mark.parametrize('name', deployments.NAMES)
def test_hosts_find_each_other_where_they_listen(
    name: str,
    tmp_path: pathlib.Path,
) -> None:
    """Peers and recorders are hosts of the plan, by their new addresses."""
    system = deployments.read(name, _EXAMPLES, tmp_path)
    found = [_settings(plan) for plan in system.hosts]
    peers = {cfg.host_id: cfg.peer_address for cfg in found}
    assert len(found) == 6
    for cfg in found:
        assert set(cfg.peers) <= set(peers.values())
        assert cfg.recorders.items() <= peers.items()
        assert (cfg.host_id in cfg.recorders) == (cfg.data_folder is not None)
        assert cfg.test_link_delay


@pytest.mark.parametrize(
    ('name', 'services'), [('borsafranca', 3), ('noodhulp', 4)]
)
def test_backend_servers_are_as_many_as_the_users_have(
    name: str,
    services: int,
    tmp_path: pathlib.Path,
) -> None:
    """Six engines, and a service in each failure domain."""
    system = deployments.read(name, _EXAMPLES, tmp_path)
    assert len(system.engine_domains(1)) == 6
    assert len(system.domains()) * len(system.services) == services
    assert all(system.backend_addresses(one) for one in system.domains())


@pytest.mark.parametrize('name', deployments.NAMES)
def test_every_rule_but_the_last_is_met_by_some_kind_of_call(
    name: str,
) -> None:
    """The workload meets the rules it was made for, by the example keys."""
    doc = reading.read((_EXAMPLES / name / 'rules.toml').read_text())
    met = {}
    for kind in workloads.kinds(name):
        assert doc.customer(ids.CustomerName(kind.customer)) is not None
        for tokens in kind.prompt:
            rule = matching.first_match(doc.rules, _facts(kind, tokens))
            assert rule is not None
            met[rule.name] = rule.then
            assert isinstance(rule.then, document.Route)
            assert rule.then.deadline_ms == kind.deadline_ms
            assert rule.then.idempotent is not kind.once
    # Only catch-alls are left over.
    left = {rule.name for rule in doc.rules} - set(met)
    assert left <= {'everything else', 'other questions', 'stock service'}


def _facts(kind: workloads.Kind, tokens: int) -> matching.Facts:
    call = workloads.Offered(0, 0, kind, '', 1, stream=False)
    return matching.Facts(
        customer=ids.CustomerName(kind.customer),
        path=workloads.path(call),
        failure_domain=ids.FailureDomain('any'),
        model=kind.model,
        headers={'x-kind': kind.x_kind},
        prompt_tokens=tokens,
        idempotent=not kind.once,
    )
