"""Counts sheds of a higher tier while a lower one was served.

A shed breaks the tier order where some engine could have saved the call at a
lower tier's expense: at the last moment at which the call, alone on that
engine, would still have ended in time (or when it was refused, if that came
first), the engine was working on a call of a lower tier. Engines inside a
fault don't count, nor do non-idempotent calls in flight that were dispatched
before the higher call came, for these must not be cancelled.
"""

import collections
import typing

from geraniumweir.common import ids
from geraniumweir.fakes.bench import hardware, ledger, scenarios

# A cancellation that is on its way takes effect within this time.
_GRACE_SECONDS = 0.01

_Cell = tuple[ids.ServerId, int]


def count_violations(
    scenario: scenarios.Scenario,
    account: ledger.Ledger,
) -> int:
    """Count the sheds that break the tier order.

    :param account: of a run of the scenario.
    """
    engines = {
        ids.ServerId(f'engine-{number}'): kind
        for number, kind in enumerate(scenario.hardware())
    }
    served = _by_second(account.services)
    return sum(
        any(
            _could_save(scenario, shed, (server_id, kind), served)
            for server_id, kind in engines.items()
        )
        for shed in account.sheds
    )


def _by_second(
    services: typing.Iterable[ledger.Service],
) -> dict[_Cell, list[ledger.Service]]:
    cells: dict[_Cell, list[ledger.Service]] = collections.defaultdict(list)
    for service in services:
        for second in range(int(service.start), int(service.end) + 1):
            cells[(service.server_id, second)].append(service)
    return cells


def _could_save(
    scenario: scenarios.Scenario,
    shed: ledger.Shed,
    engine: tuple[ids.ServerId, hardware.Hardware],
    served: dict[_Cell, list[ledger.Service]],
) -> bool:
    server_id, kind = engine
    call = shed.call
    alone = kind.alone_seconds(call.prompt_tokens, call.output_tokens)
    moment = min(shed.at, call.deadline - alone - _GRACE_SECONDS)
    if moment < call.arrival or _in_fault(scenario, server_id, moment, alone):
        return False
    cell = served.get((server_id, int(moment)), ())
    return any(_yields(service, shed, moment) for service in cell)


def _yields(
    service: ledger.Service,
    shed: ledger.Shed,
    moment: float,
) -> bool:
    if service.call.tier <= shed.call.tier:
        return False
    if not service.start <= moment < service.end - _GRACE_SECONDS:
        return False
    if service.call.intent.kind.idempotent:
        return True
    return service.start >= shed.call.arrival


def _in_fault(
    scenario: scenarios.Scenario,
    server_id: ids.ServerId,
    moment: float,
    seconds: float,
) -> bool:
    for fault in scenario.faults:
        match fault:
            case scenarios.PaceFault(server=number):
                numbers: typing.Sequence[int] = (number,)
            case scenarios.CutFault(servers=numbers):
                pass
            case _:
                continue
        hit = server_id in {f'engine-{number}' for number in numbers}
        if hit and fault.start <= moment + seconds and moment <= fault.end:
            return True
    return False
