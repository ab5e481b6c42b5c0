"""The log tells the sendings of a request apart, and what ended each."""

import asyncio
import typing

import logbook
from geraniumweir.common import eventlog, ids, logevents
from geraniumweir.gateway.tests import local_sockets, test_relaying, testbed
from geraniumweir.observe import metricnames, metrics
from geraniumweir.routing import tables

_ONCE: dict[str, typing.Any] = {'kind': tables.Kind.once, 'attempts': 1}
_REJECTED = testbed.answers(b'', '503 Full', 'Not-Run: yes\r\n')
_GOOD = testbed.answers(b'good')


def _play(
    *behaviors: testbed.Behavior, gone: int = 0, cut: bool = False
) -> tuple[list[dict[str, typing.Any]], metrics.Metrics, int]:
    """Return the logged fields, the metrics and the status of a request.

    :param gone: number of servers that can't be connected to, granted first.
    :param cut: whether the host reaches no server and no relay.
    """
    handler = logbook.TestHandler()
    eventlog.set_level(logevents.Level.info)

    async def work() -> tuple[metrics.Metrics, int]:
        servers = [testbed.Server(_GOOD) for _ in range(gone)]
        servers += [testbed.Server(behavior) for behavior in behaviors]
        async with testbed.running(*servers, **_ONCE) as running:
            for server in servers[:gone]:
                server.address = ids.Address(
                    '127.0.0.1', local_sockets.free_port()
                )
            if cut:
                test_relaying.cut(running)
                port = local_sockets.free_port()
                running.relays.append(ids.Address('127.0.0.1', port))
            async with running.client.get(
                running.url, headers={'Id': 'r1'}
            ) as resp:
                return running.shared.meter, resp.status

    try:
        with handler.applicationbound():
            meter, status = asyncio.run(work())
    finally:
        eventlog.set_level(logevents.Level.warning)
    fields = [one.extra['fields'] for one in handler.records]
    return fields, meter, status


def _proofs(fields: list[dict[str, typing.Any]]) -> list[tuple[int, str]]:
    """Return number and proof of each failed sending."""
    return [(one['sending'], one['proof']) for one in fields if 'proof' in one]


def test_rejection_is_told_from_the_next_sending() -> None:
    """Each has its number, its server and its connection."""
    fields, meter, status = _play(_REJECTED, _GOOD)
    assert status == 200
    assert _proofs(fields) == [(1, 'rejected')]
    connections = fields[-1]['connections']
    assert len(connections) == len(set(connections)) == 2
    assert all(one.endswith('/1') for one in connections)
    assert meter.total(metricnames.FAILED_SENDINGS, 'pool', 'rejected') == 1


def test_connection_that_was_not_made_is_a_proof() -> None:
    """No answer, so no connection."""
    fields, meter, status = _play(_GOOD, gone=1)
    assert status == 200
    assert _proofs(fields) == [(1, 'not_connected')]
    assert fields[-1]['connections'][0] == ''
    found = meter.total(metricnames.FAILED_SENDINGS, 'pool', 'not_connected')
    assert found == 1


def test_request_that_no_relay_took_is_told_apart() -> None:
    """The host reaches no server, and says nothing of this one."""
    fields, _, status = _play(_GOOD, cut=True)
    assert status == 503
    assert _proofs(fields) == [
        (number, 'not_relayed') for number in range(1, 4)
    ]


def test_bytes_that_are_no_answer_show_nothing_of_the_request() -> None:
    """Refusals named its headers to the server, and the bytes."""

    async def sends_text(*parts: typing.Any) -> None:
        parts[-1].write(b'Secret: 1\r\n\r\n')

    fields, _, status = _play(sends_text)
    assert status == 502
    reason = next(one['reason'] for one in fields if 'proof' in one)
    assert 'ClientResponseError' in reason
    assert not any(word in reason for word in ('Secret', 'headers', 'r1'))


def test_broken_answer_proves_nothing() -> None:
    """The request may have run."""

    async def breaks(*parts: typing.Any) -> None:
        parts[-1].close()

    fields, _, status = _play(breaks)
    assert status == 502
    assert _proofs(fields) == [(1, 'none')]
