"""Non-idempotent calls run at most once."""

import asyncio

import pytest
from geraniumweir.common import ids
from geraniumweir.daemon import claiming
from geraniumweir.fakes import faults, inprocess
from geraniumweir.fakes.tests import bed


def test_repeat_learns_that_the_first_is_done() -> None:
    """A second order under one key sends no second van."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.service()
        async with field.order('k1') as resp:
            assert resp.status == 200
        async with field.order('k1') as resp:
            error = (await resp.json())['error']
            assert (resp.status, error['code']) == (409, 'GW-7111')
            assert error['ran'] == 'yes'
        async with field.order('k1', 'two vans') as resp:
            assert resp.status == 422
        async with field.order('k2') as resp:
            assert resp.status == 200
        assert fake.runs == {'k1': 1, 'k2': 1}

    bed.run(scenario)


def test_repeat_learns_that_the_end_is_unknown() -> None:
    """A server that breaks off leaves the outcome open, and says so."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.service()
        fake.next_faults.append(faults.Fault(faults.FaultKind.silent))
        async with field.order('k1') as resp:
            error = (await resp.json())['error']
            assert (resp.status, error['ran']) == (502, 'unknown')
        async with field.order('k1') as resp:
            assert (await resp.json())['error']['code'] == 'GW-7113'
        assert fake.runs == {'k1': 1}

    bed.run(scenario)


def test_order_outlives_its_caller_and_its_deadline() -> None:
    """It runs to its end; only then does a repeat hear that it is done."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.service()
        fake.go_on.clear()
        task = asyncio.create_task(_order(field))
        await fake.came.wait()
        task.cancel()
        async with field.order('k1') as resp:
            assert (await resp.json())['error']['code'] == 'GW-7112'
        in_flight = field.entry.host.path.in_flight
        await inprocess.settle(lambda: len(in_flight) == 0)
        await asyncio.sleep(0.15)
        fake.go_on.set()
        await in_flight.wait_idle()
        assert fake.ended == {'k1': 1}
        async with field.order('k1') as resp:
            assert (await resp.json())['error']['code'] == 'GW-7111'
        assert fake.runs == {'k1': 1}

    bed.run(scenario)


async def _order(field: bed.Bed) -> int:
    async with field.order('k1', X_Deadline_Ms='100') as resp:
        await resp.read()
        return int(resp.status)


def test_outcome_is_told_after_the_deadline() -> None:
    """A caller that stays gets the whole answer, late."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.service()
        fake.go_on.clear()
        task = asyncio.create_task(_order(field))
        await fake.came.wait()
        asyncio.get_running_loop().call_later(0.2, fake.go_on.set)
        assert await task == 200
        assert fake.ended == {'k1': 1}

    bed.run(scenario)


def test_order_that_did_not_run_may_come_again() -> None:
    """A refusal before dispatch gives the claim back."""

    async def scenario(field: bed.Bed) -> None:
        async with field.order('k1', X_Deadline_Ms='50') as resp:
            assert (await resp.json())['error']['ran'] == 'no'
        fake = await field.service()
        async with field.order('k1') as resp:
            assert resp.status == 200
        assert fake.runs == {'k1': 1}

    bed.run(scenario)


class _NoClaims(claiming.LocalClaims):
    """Claims without a majority."""

    async def claim(
        self,
        key: claiming.ClaimKey,
        request_id: ids.RequestId,
        fingerprint: ids.Fingerprint,
    ) -> claiming.Claim:
        raise claiming.ClaimsUnavailableError('no majority')


def test_no_claim_no_dispatch() -> None:
    """Where no claim can be made the call is refused and does not run."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.service()
        field.entry.host.path.claims = _NoClaims()
        async with field.order('k1') as resp:
            error = (await resp.json())['error']
            assert (resp.status, error['code']) == (503, 'GW-7101')
            assert error['ran'] == 'no'
        async with field.order(None) as resp:
            assert resp.status == 400
        assert not fake.seen

    bed.run(scenario)


def test_order_is_never_preempted() -> None:
    """A non-idempotent call in flight is not cut for anyone."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.service()
        fake.go_on.clear()
        task = asyncio.create_task(_order(field))
        await fake.came.wait()
        in_flight = field.entry.host.path.in_flight
        assert not in_flight.preempt(ids.RequestId(fake.seen[0]))
        fake.go_on.set()
        assert await task == 200

    bed.run(scenario)


@pytest.mark.parametrize('most', [1, 3])
def test_running_claims_are_never_forgotten(most: int) -> None:
    """Memory is bounded by forgetting ended claims only."""

    async def scenario() -> None:
        kept = claiming.LocalClaims(most)
        names = [
            claiming.ClaimKey(ids.CustomerName('c'), str(number))
            for number in range(5)
        ]
        print_of = ids.Fingerprint(1)
        for name in names:
            await kept.claim(name, ids.RequestId(name.key), print_of)
        for name in names:
            found = await kept.claim(name, ids.RequestId('x'), print_of)
            assert found is claiming.Claim.running

    asyncio.run(scenario())
