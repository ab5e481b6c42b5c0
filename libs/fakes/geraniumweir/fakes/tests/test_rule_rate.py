"""What a caller over a rule's rate is told."""

from geraniumweir.fakes import inprocess
from geraniumweir.fakes.tests import bed

_RATE = 'tier = 2, rate_per_s = 0.25'


def test_call_over_the_rate_is_told_when_to_come_back() -> None:
    """It has its own code, and the wait is that of the token bucket."""

    async def scenario(field: bed.Bed) -> None:
        await field.engine()
        async with field.post(bed.plain()) as resp:
            assert resp.status == 200
        async with field.post(bed.plain()) as resp:
            assert resp.status == 429
            error = (await resp.json())['error']
            assert error['code'] == 'GW-2104'
            assert error['type'] == 'rule_limit'
            assert error['ran'] == 'no'
            assert 0 < error['retry_after_ms'] <= 4000
            assert 1 <= int(resp.headers['Retry-After']) <= 4

    bed.run(scenario, inprocess.RULES.replace('tier = 2', _RATE))
