"""Streamed answers: whole, or ended by an error that can't be mistaken."""

import asyncio
import contextlib
import json
import socket

import pytest
from geraniumweir.backends import errors, identity
from geraniumweir.common import ids
from geraniumweir.fakes import faults, generation
from geraniumweir.fakes.tests import bed

_DONE = b'data: [DONE]\n\n'
_CODES = (
    ('die', 'GW-3103'),
    ('close_early', 'GW-3103'),
    ('garbage', 'GW-3104'),
    ('other_id', 'GW-3105'),
    ('error', 'GW-3106'),
)


def _last_error(body: bytes) -> dict[str, str]:
    head, _, last = body.rpartition(b'event: error\ndata: ')
    assert _DONE not in head
    return json.loads(last)['error']


def test_callers_get_the_bytes_their_engines_sent() -> None:
    """Many at once, streamed and not: each gets its own answer, whole."""

    async def scenario(field: bed.Bed) -> None:
        engines = [
            await field.engine(f'advisor-{number}', slots=8)
            for number in range(3)
        ]

        async def call(number: int) -> tuple[str, bytes]:
            make = bed.stream if number % 2 else bed.plain
            async with field.post(make(1 + number * 7 % 50)) as resp:
                assert resp.status == 200
                return resp.headers['X-Request-Id'], await resp.read()

        answers = await asyncio.gather(*(call(num) for num in range(60)))
        for request_id, body in answers:
            sent = [fake.account.sent.get(request_id) for fake in engines]
            assert [bytes(part) for part in sent if part] == [body]
        seen = [name for fake in engines for name in fake.account.seen]
        assert sorted(seen) == sorted(name for name, _ in answers)

    bed.run(scenario)


@pytest.mark.parametrize(('kind', 'code'), _CODES)
def test_stream_that_breaks_ends_in_an_error(kind: str, code: str) -> None:
    """After the first byte: an error event, one dispatch, no reuse."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.engine()
        async with field.post(bed.stream()) as resp:
            await resp.read()
        broken = bed.stream(fault=kind, fault_after=3)
        async with field.post(broken) as resp:
            body = await resp.read()
            assert resp.status == 200
        error = _last_error(body)
        assert (error['code'], error['ran']) in {
            (code, 'yes'),
            ('GW-3105', 'unknown'),
        }
        assert error['code'] == code
        assert body.count(b'"content"') == 3
        async with field.post(bed.stream()) as resp:
            assert (await resp.read()).endswith(_DONE)
        assert len(fake.account.seen) == 3
        assert fake.account.peers[0] == fake.account.peers[1]
        assert fake.account.peers[2] != fake.account.peers[1]

    bed.run(scenario)


@pytest.mark.parametrize(('kind', 'code'), _CODES)
def test_stream_that_never_began_is_refused(kind: str, code: str) -> None:
    """Before the first byte: a refusal of its own."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.engine()
        async with field.post(bed.stream(fault=kind)) as resp:
            assert resp.status == 502
            assert (await resp.json())['error']['code'] == code
            assert resp.headers['X-Ran'] in {'yes', 'unknown'}
        assert len(fake.account.seen) == 1

    bed.run(scenario)


@pytest.mark.parametrize(
    ('kind', 'code'),
    [*_CODES[:1], *_CODES[2:], ('silent', 'GW-3102')],
)
def test_plain_answer_that_breaks_is_refused(kind: str, code: str) -> None:
    """Not a byte of half an answer reaches the caller."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.engine()
        async with field.post(bed.plain(fault=kind)) as resp:
            assert resp.status == 502
            assert (await resp.json())['error']['code'] == code
        assert len(fake.account.seen) == 1

    bed.run(scenario)


def test_broken_stream_is_resumed_without_a_gap() -> None:
    """The same run goes on: no event twice, none lost, one dispatch."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.engine(can_resume=True)
        fault = {'fault': 'die', 'fault_after': 5}
        async with field.post(bed.stream(12, **fault)) as resp:
            body = await resp.read()
            request_id = resp.headers['X-Request-Id']
        expected = [
            generation.chunk_event(request_id, f'token{number} ')
            for number in range(12)
        ]
        assert body == b''.join([*expected, _DONE])
        assert fake.account.seen == [request_id]
        assert fake.account.ran[request_id] == 1
        assert fake.account.resumed == [(request_id, 5)]

    bed.run(scenario)


def test_resume_is_given_up_after_some_tries() -> None:
    """An engine that forgot the stream ends it in an error."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.engine(can_resume=True)
        fake.forgetful = True
        fault = {'fault': 'die', 'fault_after': 2}
        async with field.post(bed.stream(**fault)) as resp:
            error = _last_error(await resp.read())
        assert error['code'] == 'GW-3103'
        assert len(fake.account.resumed) == 1

    bed.run(scenario)


@pytest.mark.parametrize('after', [0, 2])
def test_deadline_ends_a_stalled_stream(after: int) -> None:
    """The caller is told and the engine is told to stop."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.engine()
        payload = bed.stream(fault='stall', fault_after=after)
        async with field.post(payload, X_Deadline_Ms='300') as resp:
            body = await resp.read()
            request_id = resp.headers['X-Request-Id']
        if after:
            error = _last_error(body)
            assert error['ran'] == 'yes'
        else:
            assert resp.status == 504
            error = json.loads(body)['error']
            assert error['ran'] == 'unknown'
        assert error['code'] == 'GW-2110'
        await fake.account.until(lambda acc: acc.cancelled == [request_id])

    bed.run(scenario)


def test_late_answer_reaches_nobody() -> None:
    """An engine that goes on after a cancel disturbs no other caller."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.engine(slots=2)
        fake.next_faults.append(faults.Fault(faults.FaultKind.late))
        payload = bed.stream(4000)
        async with field.post(payload) as resp:
            await resp.content.readany()
            late_id = resp.headers['X-Request-Id']
            resp.close()
        await fake.account.until(lambda acc: late_id in acc.cancelled)
        async with field.post(bed.stream(20)) as resp:
            body = await resp.read()
            assert late_id.encode() not in body
            assert body == fake.account.sent[resp.headers['X-Request-Id']]
        await fake.account.until(lambda acc: late_id in acc.whole)

    bed.run(scenario)


def test_preempted_stream_ends_in_an_error() -> None:
    """A preempted caller is told; its engine is told to stop."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.engine()
        payload = bed.stream(fault='stall', fault_after=2)
        async with field.post(payload) as resp:
            await resp.content.readany()
            request_id = resp.headers['X-Request-Id']
            assert field.entry.host.path.in_flight.preempt(request_id)
            error = _last_error(await resp.read())
        assert (error['code'], error['ran']) == ('GW-2109', 'yes')
        await fake.account.until(lambda acc: acc.cancelled == [request_id])

    bed.run(scenario)


def test_slow_caller_holds_bounded_memory() -> None:
    """The engine is slowed down, and the answer is still whole at last."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.engine()
        tokens = 30000
        pad = 1000
        async with field.post(bed.stream(tokens, pad=pad)) as resp:
            request_id = resp.headers['X-Request-Id']
            sent = fake.account.sent[request_id]
            quiet = 0
            while quiet < 500:
                before = len(sent)
                await asyncio.sleep(0)
                quiet = quiet + 1 if before == len(sent) else 0
            # The caller read nothing: what is under way fits into the buffers
            # of four sockets and this process.
            assert 0 < before < tokens * pad
            body = await resp.read()
        assert body.endswith(_DONE)
        assert body == fake.account.sent[request_id]

    bed.run(scenario)


def test_deadline_of_a_caller_that_reads_nothing() -> None:
    """It finds an error, or a cut, behind what was under way."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.engine()
        in_flight = field.entry.host.path.in_flight
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            address = field.entry.host.cfg.caller_address
            await loop.sock_connect(sock, (address.host, address.port))
            await loop.sock_sendall(sock, _raw(bed.stream(40, pad=300000)))
            await fake.account.until(lambda acc: len(acc.cancelled) == 1)
            await in_flight.wait_idle()
            body = await _read_all(sock)
        assert b'token0 ' in body
        assert b'[DONE]' not in body
        ended = body.endswith(b'0\r\n\r\n')
        assert ended == (b'event: error' in body)

    bed.run(scenario)


def _raw(payload: dict[str, object]) -> bytes:
    body = json.dumps(payload)
    head = (
        'POST /v1/chat/completions HTTP/1.1',
        'Host: entry',
        'X-Customer: liceo-volta',
        'X-Deadline-Ms: 1500',
        f'Content-Length: {len(body)}',
    )
    return '\r\n'.join((*head, '', body)).encode()


async def _read_all(sock: socket.socket) -> bytes:
    loop = asyncio.get_running_loop()
    parts = []
    with contextlib.suppress(ConnectionError):
        while part := await loop.sock_recv(sock, 65536):
            parts.append(part)
    return b''.join(parts)


def test_answer_of_an_engine_that_keeps_its_own_ids() -> None:
    """An id of the engine's own is fine, one that changes is not."""
    echoes = identity.Echoes()
    pool = ids.PoolName('p')
    whose = identity.Identity(ids.RequestId('gw-1'), pool, echoes)
    whose.check('cmpl-77')
    whose.check(None)
    whose.check('cmpl-77')
    with pytest.raises(errors.ForeignAnswerError):
        whose.check('cmpl-78')
    identity.Identity(ids.RequestId('gw-2'), pool, echoes).check('x-gw-2')
    late = identity.Identity(ids.RequestId('gw-3'), pool, echoes)
    with pytest.raises(errors.ForeignAnswerError):
        late.check('cmpl-77')
