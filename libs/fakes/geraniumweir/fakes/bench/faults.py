"""Faults that happen to engines, and the request that crashes them."""

import asyncio
import typing

from geraniumweir.common import ids
from geraniumweir.fakes.bench import engine_model, scenarios, traffic

_POISON_NUMBER = -1
_POISON_PROMPT = 700
_POISON_OUTPUT = 200
_POISON_FINGERPRINT = ids.Fingerprint(1)


async def apply_to_engines(
    fault: scenarios.PaceFault | scenarios.CutFault,
    engines: typing.Mapping[ids.ServerId, engine_model.Engine],
) -> None:
    """Make a fault happen and end.

    :param engines: in the order that the fault's numbers refer to.
    """
    in_order = list(engines.values())
    await asyncio.sleep(fault.start)
    match fault:
        case scenarios.PaceFault(server=number, pace=pace):
            in_order[number].set_pace(pace)
            await asyncio.sleep(fault.end - fault.start)
            in_order[number].set_pace(1)
        case scenarios.CutFault(servers=numbers):
            for number in numbers:
                in_order[number].cut_off()
            await asyncio.sleep(fault.end - fault.start)
            for number in numbers:
                in_order[number].heal()


def poison_intent(mix: traffic.Mix, now: float) -> traffic.Intent:
    """Make the request that crashes engines; always of the same content."""
    kind = next(kind for kind in mix.kinds if kind.tier is ids.Tier.high)
    return traffic.Intent(
        number=_POISON_NUMBER,
        kind=kind,
        customer=mix.customers[0],
        arrival=now,
        prompt_tokens=_POISON_PROMPT,
        output_tokens=_POISON_OUTPUT,
        max_tokens=0,
        blocks=(),
        shared_tokens=0,
        fingerprint=_POISON_FINGERPRINT,
        poison=True,
    )
