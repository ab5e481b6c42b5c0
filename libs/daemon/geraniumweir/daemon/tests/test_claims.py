"""Tests that claims in the log behave like those in memory."""

import itertools
import typing

import hypothesis
import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.configuration import claims, state
from geraniumweir.daemon import claiming, logged_claims
from hypothesis import strategies

_CUSTOMER = ids.CustomerName('hal-a')

_Step = tuple[int, str, int, claiming.Ending | None]
_STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 1),
        strategies.sampled_from(['k1', 'k2']),
        strategies.integers(1, 2),
        strategies.none() | strategies.sampled_from(claiming.Ending),
    ),
    max_size=12,
)


def _now_ms() -> int:
    return 1000


def _claimers(log: state.SystemState) -> list[claims.Claimer]:
    numbers = itertools.count(1)

    async def propose(command: bytes) -> bytes:
        return log.apply(next(numbers), command)

    hosts = map(ids.HostId, ('entry-1', 'entry-2'))
    return [claims.Claimer(host, propose, _now_ms) for host in hosts]


@hypothesis.settings(derandomize=True, max_examples=80, deadline=None)
@hypothesis.given(_STEPS)
def test_logged_claims_behave_like_local_claims(steps: list[_Step]) -> None:
    """Two hosts over one log give the answers of one host in memory."""

    async def scenario() -> None:
        claimers = _claimers(state.SystemState())
        local = claiming.LocalClaims()
        for number, (host, name, content, ending) in enumerate(steps):
            key = claiming.ClaimKey(_CUSTOMER, name)
            request_id = ids.RequestId(f'r{number}')
            fingerprint = ids.Fingerprint(content)
            logged = logged_claims.LoggedClaims(claimers[host])
            expected = await local.claim(key, request_id, fingerprint)
            assert await logged.claim(key, request_id, fingerprint) is expected
            if ending is not None:
                await local.finish(key, request_id, ending)
                await logged.finish(key, request_id, ending)
                await claimers[host].drained()

    virtual.run(scenario())


def test_claim_fails_without_a_majority() -> None:
    """An unreachable log must not grant a claim."""

    async def never(_command: bytes) -> typing.Any:
        raise TimeoutError

    async def scenario() -> None:
        claimer = claims.Claimer(ids.HostId('e'), never, _now_ms)
        logged = logged_claims.LoggedClaims(claimer)
        key = claiming.ClaimKey(_CUSTOMER, 'k')
        with pytest.raises(claiming.ClaimsUnavailableError):
            await logged.claim(key, ids.RequestId('r'), ids.Fingerprint(1))

    virtual.run(scenario())
