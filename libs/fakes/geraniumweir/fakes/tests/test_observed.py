"""What operators see of calls: spans of each hop, counters, latencies."""

import dataclasses
import pathlib

from geraniumweir.backends import prompts
from geraniumweir.daemon import observing, standalone
from geraniumweir.fakes.tests import bed

_PARENT = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'


def _observe(
    field: bed.Bed, path: pathlib.Path
) -> standalone.StandaloneOperations:
    host = field.entry.host
    host.cfg = dataclasses.replace(host.cfg, trace_file=str(path))
    observed = observing.observe(host, field.stack)
    return standalone.StandaloneOperations(host, observed)


def test_whole_call_has_a_span_for_each_hop(tmp_path: pathlib.Path) -> None:
    """The tree has the hops in order, below the caller's own span."""

    async def scenario(field: bed.Bed) -> None:
        ops = _observe(field, tmp_path / 't.jsonl')
        await field.engine()
        async with field.post(bed.stream(), traceparent=_PARENT) as resp:
            await resp.read()
            request_id = resp.headers['X-Request-Id']
        spans = await ops.trace(request_id)
        found = [(span.name, span.parent_id) for span in spans]
        ids_of = {span.name: span.span_id for span in spans}
        assert dict(found) == {
            'caller': _PARENT.split('-')[2],
            'rule': ids_of['caller'],
            'queue': ids_of['caller'],
            'grant': ids_of['queue'],
            'dispatch': ids_of['caller'],
            'first token': ids_of['dispatch'],
            'end': ids_of['dispatch'],
        }
        assert {span.trace_id for span in spans} == {_PARENT.split('-')[1]}

    bed.run(scenario)


def test_counters_tell_whole_answers_from_refusals_and_waste(
    tmp_path: pathlib.Path,
) -> None:
    """One whole answer, one stream that breaks, one unknown customer."""

    async def scenario(field: bed.Bed) -> None:
        ops = _observe(field, tmp_path / 't.jsonl')
        await field.engine()
        broken = bed.stream(fault='die', fault_after=3)
        for payload in (bed.stream(), broken):
            async with field.post(payload) as resp:
                await resp.read()
        async with field.post(bed.stream(), X_Customer='nobody') as resp:
            assert resp.status == 401
        lines = set(ops.metrics().splitlines())
        wasted = prompts.read_prompt(broken).tokens
        pool = 'pool="lm-advisori"'
        assert lines >= {
            'geraniumweir_requests_total{outcome="done",tier="2"} 1.0',
            'geraniumweir_requests_total{outcome="refused",tier="2"} 1.0',
            'geraniumweir_requests_total{outcome="refused",tier=""} 1.0',
            'geraniumweir_refusals_total{code="GW-3103",ran="yes"} 1.0',
            'geraniumweir_refusals_total{code="GW-1102",ran="no"} 1.0',
            f'geraniumweir_dispatches_total{{{pool}}} 2.0',
            f'geraniumweir_wasted_prefill_tokens_total{{{pool}}} {wasted}.0',
            f'geraniumweir_first_token_seconds_count{{{pool},tier="2"}} 2.0',
            'geraniumweir_open_calls 0.0',
        }

    bed.run(scenario)
