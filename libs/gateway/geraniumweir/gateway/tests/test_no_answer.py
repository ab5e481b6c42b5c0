"""Responses to callers while the coordinator answers no slot request."""

import asyncio
import json
import typing

import pytest
from geraniumweir.common import ids, timers
from geraniumweir.gateway import refusals
from geraniumweir.gateway.tests import testbed
from geraniumweir.routing import tables
from geraniumweir.scheduling import broker, channel, requests
from geraniumweir.wire import memory
from geraniumweir.wire.gen.scheduling import ttypes
from reactivex import subject

_COORDINATOR = ids.HostId('c1')
_TIME_LIMIT = 1.5
_HEAD = {'Id': 'r1'}


class _View:
    """View with one coordinator."""

    def __init__(self) -> None:
        self.changes: subject.Subject[None] = subject.Subject()

    def live(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        """List the coordinator."""
        return [_COORDINATOR]

    def owners(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        """Return no hosts."""
        return []


class _NoOthers:
    """Directory without pools in other failure domains."""

    def others(self, _pool: ids.PoolName) -> typing.Sequence[typing.Any]:
        return ()


class _Coordinator:
    """Coordinator that grants some slot requests and then answers nothing."""

    def __init__(self, grants: int, address: ids.Address) -> None:
        network = memory.MemoryNetwork()
        self._grants = grants
        self._address = str(address)
        self._layer = network.join(_COORDINATOR, ids.Address('10.0.0.1', 1))
        self._layer.handle(ttypes.Ask, self._on_ask)
        self.broker = broker.Broker(
            channel.Channel(network.join(testbed.HOST, ids.Address('::1', 2))),
            ids.FailureDomain('all'),
            _View(),
            _NoOthers(),
            timers.TimerService(),
        )

    async def _on_ask(
        self, _sender: ids.HostId, _ask: ttypes.Ask
    ) -> ttypes.AskReply:
        if not self._grants:
            await asyncio.Event().wait()
        self._grants -= 1
        return ttypes.AskReply(grant=ttypes.Grant('s1', 1, self._address))


def _send(
    grants: int, behavior: testbed.Behavior, **changes: typing.Any
) -> tuple[int, bytes, float, list[str]]:
    """Return status, body and time of a response, and what servers got."""

    async def scenario() -> tuple[int, bytes, float, list[str]]:
        server = testbed.Server(behavior)
        changes.setdefault('timeout', _TIME_LIMIT)
        async with testbed.running(server, **changes) as running:
            coordinator = _Coordinator(grants, server.address)
            running.scheduler.request_slot = coordinator.broker.request_slot
            running.scheduler.release = coordinator.broker.release
            started = asyncio.get_running_loop().time()
            async with running.client.get(running.url, headers=_HEAD) as resp:
                answered = resp.status, await resp.read()
                took = asyncio.get_running_loop().time() - started
            coordinator.broker.close()
            return *answered, took, server.seen

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    ('changes', 'limit'),
    [
        ({}, _TIME_LIMIT / 2),
        ({'kind': tables.Kind.stream, 'patience': 0.7}, 0.45),
    ],
)
def test_caller_is_refused_while_it_can_use_the_refusal(
    changes: dict[str, typing.Any], limit: float
) -> None:
    """The refusal came with the deadline, when callers had left."""
    status, body, took, seen = _send(0, testbed.answers(b'good'), **changes)
    error = json.loads(body)['error']
    assert (status, error['type'], error['ran']) == (503, 'no_answer', 'no')
    assert limit - 0.01 < took < limit + 0.25
    # Half of the time left, as no coordinator may be available sooner.
    assert 0 < error['retry_after_ms'] <= (_TIME_LIMIT - limit) * 500 + 1
    assert not seen


def test_request_that_ran_gets_the_result_of_its_server() -> None:
    """The refusal guarantees that the request has not run."""
    failing = testbed.answers(b'failed', '500 Failed')
    status, body, took, seen = _send(1, failing)
    assert (status, body) == (500, b'failed')
    assert took < _TIME_LIMIT - 0.3
    assert len(seen) == 1


def test_request_that_may_have_run_gets_no_guarantee() -> None:
    """The response belongs to another request, so the request may have run."""
    foreign = testbed.answers(b'hello', request_id='another')
    status, _, took, seen = _send(1, foreign)
    assert status == 502
    assert took < _TIME_LIMIT - 0.3
    assert len(seen) == 1


def test_grant_before_the_limit_is_used() -> None:
    """Nothing changes where the coordinator answers."""
    status, body, _, seen = _send(1, testbed.answers(b'good'))
    assert (status, body) == (200, b'good')
    assert len(seen) == 1


def test_denial_says_who_did_not_answer() -> None:
    """Operators tell it from refusals for lack of servers."""
    denial = requests.Denial(
        ids.RequestId('r'), requests.DenialReason.no_answer, 400
    )
    refusal = refusals.denied(denial).refusal
    assert (refusal.status, refusal.kind) == (503, 'no_answer')
    assert refusal.message == 'no coordinator answered in time'
    assert refusal.retry_after_ms == 400
