"""Weights of customers in fair shares of slots."""

import math

import pytest
from geraniumweir.common import ids
from geraniumweir.routing import finding, tables, weights


def _customer(
    name: str,
    weight: float | None = None,
    rate: float = 0,
    in_tokens: bool = True,
) -> tables.Customer:
    quota = tables.Quota(rate, rate, in_tokens, plain_cost=0)
    return tables.Customer(
        ids.CustomerName(name), (name,), quota=quota, weight=weight
    )


@pytest.mark.parametrize('weight', [-1, math.nan, math.inf, 1e13])
def test_bad_weight_is_rejected(weight: float) -> None:
    """It would make the shares of all customers wrong."""
    doc = tables.Document(
        ids.Version(1), customers=(_customer('acme', weight=weight),)
    )
    with pytest.raises(tables.DocumentError, match="customer 'acme'.*weight"):
        tables.check(doc)


def test_customers_without_quota_have_the_mean_weight() -> None:
    """A customer without a limit must neither get all slots nor none."""
    found = weights.of_customers(
        [_customer('a', rate=10), _customer('b', rate=30), _customer('c')]
    )
    assert found == {'a': 10, 'b': 30, 'c': 20, '': 20}


def test_weight_overrides_the_quota() -> None:
    """Also a weight of zero, which isn't the same as none."""
    found = weights.of_customers(
        [_customer('a', weight=0, rate=10), _customer('b', rate=30)]
    )
    assert found == {'a': 0, 'b': 30, '': 15}


@pytest.mark.parametrize(
    'customers',
    [
        [],
        [_customer('a'), _customer('b')],
        [_customer('a', weight=3), _customer('b')],
        [_customer('a', rate=math.nan), _customer('b', rate=2)],
    ],
)
def test_fewer_than_two_weights_are_none(
    customers: list[tables.Customer],
) -> None:
    """Deployments without weights are served as before."""
    assert not weights.of_customers(customers)


def test_quotas_of_another_unit_are_not_compared() -> None:
    """Ten requests a second aren't a ten-thousandth of 100,000 tokens."""
    found = weights.of_customers(
        [
            _customer('a', rate=100000),
            _customer('b', rate=300000),
            _customer('c', rate=10, in_tokens=False),
        ]
    )
    assert found['c'] == 200000


def test_index_computes_weights_once() -> None:
    """Each slot request reads them, and there may be 1,400 customers."""
    doc = tables.Document(
        ids.Version(1),
        customers=(_customer('a', weight=1), _customer('b', weight=3)),
    )
    index = finding.Index(doc)
    assert index.customer_weights == {'a': 1, 'b': 3, '': 2}
    assert index.customer_weights is index.customer_weights
