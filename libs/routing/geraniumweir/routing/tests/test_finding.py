"""Tests of the route index against a scan, and of document validation."""

import dataclasses
import random

import pytest
from geraniumweir.common import ids
from geraniumweir.routing import finding, tables
from hypothesis import given
from hypothesis import strategies as st

_POOL = ids.PoolName('pool')


def _route(host: str, prefix: str) -> tables.Route:
    return tables.Route(
        name=ids.RuleName(f'{host}{prefix}'),
        host=host,
        prefix=prefix,
        kind=tables.Kind.idempotent,
        timeout=1,
        target=0.2,
        rank=0,
        targets=(tables.Target(_POOL, 1),),
    )


def _document(*routes: tables.Route) -> tables.Document:
    return tables.Document(
        version=ids.Version(1),
        routes=routes,
        pools=(tables.Pool(_POOL, '/health', 10),),
    )


def _find_by_scan(
    doc: tables.Document,
    host: str,
    path: str,
) -> tables.Route | None:
    """Return the first match of all routes, the longest prefix first."""
    ordered = sorted(doc.routes, key=lambda one: -len(one.prefix))
    for route in ordered:
        if route.host == host and path.startswith(route.prefix):
            return route
    return None


_parts = st.lists(st.sampled_from(['a', 'b', 'ab', '']), max_size=4)
_prefixes = _parts.map(lambda parts: '/'.join(['', *parts, '']))
_paths = _parts.map(lambda parts: '/'.join(['', *parts]))
_hosts = st.sampled_from(['x.example', 'y.example'])


@given(
    st.lists(st.tuples(_hosts, _prefixes), unique=True),
    _hosts,
    _paths,
)
def test_index_finds_the_same_route_as_a_scan(
    locations: list[tuple[str, str]],
    host: str,
    path: str,
) -> None:
    """A scan of all routes in order is the reference."""
    doc = _document(*(_route(*location) for location in locations))
    assert finding.Index(doc).route(host, path) == _find_by_scan(
        doc, host, path
    )


def test_host_matches_without_port_and_case() -> None:
    """A port in the header must not hide a route."""
    index = finding.Index(_document(_route('x.example', '/a/')))
    assert index.route('X.example:80', '/a/b') is not None


@pytest.mark.parametrize(
    'change',
    [
        {'prefix': 'a/'},
        {'timeout': 0},
        {'targets': ()},
        {'targets': (tables.Target(_POOL, 0),)},
        {'targets': (tables.Target(ids.PoolName('other'), 1),)},
        {'targets': (tables.Target(_POOL, -1),)},
    ],
)
def test_invalid_route_is_rejected(change: dict[str, object]) -> None:
    """Each fault makes the whole document invalid."""
    route = dataclasses.replace(_route('x', '/a/'), **change)
    with pytest.raises(tables.DocumentError):
        tables.check(_document(route))


def test_two_routes_with_the_same_host_and_prefix_are_rejected() -> None:
    """The first match would depend on their order in the document."""
    with pytest.raises(tables.DocumentError):
        tables.check(_document(_route('x', '/a/'), _route('x', '/a/')))


def test_shared_key_is_rejected() -> None:
    """A key must identify one customer."""
    customers = tuple(
        tables.Customer(ids.CustomerName(name), ('key',)) for name in 'ab'
    )
    doc = dataclasses.replace(_document(), customers=customers)
    with pytest.raises(tables.DocumentError):
        tables.check(doc)


def test_pools_are_chosen_in_proportion_to_their_weights() -> None:
    """Nine in ten requests go to the pool with nine tenths of the weight."""
    other = ids.PoolName('other')
    targets = (tables.Target(_POOL, 9), tables.Target(other, 1))
    rng = random.Random(1)
    chosen = [finding.choose_pool(targets, rng) for _ in range(1000)]
    assert 850 < chosen.count(_POOL) < 950
