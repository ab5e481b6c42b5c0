"""The rest of the path of a call: admission, grants, callers that go."""

import asyncio
import contextlib
import json

import pytest
from geraniumweir.common import ids
from geraniumweir.fakes import faults, inprocess
from geraniumweir.fakes.tests import bed

_DONE = b'data: [DONE]\n\n'
_TRACE = '00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01'


def test_answer_headers_and_trace() -> None:
    """Each answer says what became of the call; the trace goes on."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.engine()
        async with field.post(bed.plain(), traceparent=_TRACE) as resp:
            assert resp.status == 200
            request_id = resp.headers['X-Request-Id']
            assert resp.headers['X-Ran'] == 'yes'
            assert resp.headers['X-Pool'] == 'lm-advisori'
            assert resp.headers['X-Tier'] == '2'
            assert resp.headers['X-Config-Version'] == '1'
        assert fake.account.headers[request_id]['traceparent'] == _TRACE

    bed.run(scenario)


@pytest.mark.parametrize(
    ('headers', 'body', 'status', 'code'),
    [
        ({}, b'not JSON', 400, 'GW-1101'),
        ({}, b'[1]', 400, 'GW-1101'),
        ({}, b'{"messages": "hello"}', 400, 'GW-1101'),
        ({}, b'[' * 100000, 400, 'GW-1101'),
        ({'X-Deadline-Ms': '0'}, b'{}', 400, 'GW-1101'),
        ({'X-Deadline-Ms': '-1'}, b'{}', 400, 'GW-1101'),
        ({'X-Idempotent': 'false'}, b'{}', 400, 'GW-1110'),
        ({'X-Idempotent': 'perhaps'}, b'{}', 400, 'GW-1101'),
        ({'X-Customer': 'nobody'}, b'{}', 401, 'GW-1102'),
        ({'Authorization': 'Bearer wrong'}, b'{}', 401, 'GW-1102'),
        (
            {'X-Filler': 'x' * 8000, 'X-More': 'x' * 8100, 'X-Z': 'x' * 500},
            b'{}',
            413,
            'GW-1107',
        ),
        ({}, b'x' * (5 * 1024 * 1024), 413, 'GW-1106'),
        ({}, b'{}', 504, 'GW-2102'),
    ],
)
def test_call_that_is_refused_did_not_run(
    headers: dict[str, str],
    body: bytes,
    status: int,
    code: str,
) -> None:
    """The status, the code and ``ran: no`` for each fault of a call."""

    async def scenario(field: bed.Bed) -> None:
        named = {'X-Customer': 'liceo-volta', 'X-Deadline-Ms': '50'} | headers
        url = field.entry.url('/v1/completions')
        async with field.session.post(url, data=body, headers=named) as resp:
            error = (await resp.json())['error']
            assert (resp.status, error['code']) == (status, code)
            assert error['ran'] == resp.headers['X-Ran'] == 'no'
            assert resp.headers['X-Request-Id']

    bed.run(scenario)


def test_body_sent_in_chunks_is_limited_too() -> None:
    """No ``Content-Length``, the same bound."""

    async def scenario(field: bed.Bed) -> None:
        async def parts():
            for _ in range(80):
                yield b'x' * 65536

        url = field.entry.url('/v1/completions')
        headers = {'X-Customer': 'liceo-volta'}
        async with field.session.post(
            url, data=parts(), headers=headers
        ) as resp:
            assert resp.status == 413

    bed.run(scenario)


def test_waiting_caller_that_goes_is_withdrawn() -> None:
    """The engine never sees a call whose caller left the queue."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.engine(slots=1)
        async with field.post(bed.stream(fault='stall', fault_after=1)):
            pass_on = asyncio.create_task(_read(field, bed.plain()))
            in_flight = field.entry.host.path.in_flight
            await fake.account.until(lambda acc: len(acc.seen) == 1)
            await inprocess.settle(lambda: len(in_flight) == 2)
            pass_on.cancel()
            await inprocess.settle(lambda: len(in_flight) == 1)
        assert len(fake.account.seen) == 1

    bed.run(scenario)


async def _read(field: bed.Bed, payload: dict[str, object]) -> bytes:
    async with field.post(payload) as resp:
        return await resp.read()


def test_caller_that_goes_is_cancelled_at_the_engine() -> None:
    """``DELETE`` beside closing, and the slot is free again."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.engine(slots=1)
        payload = bed.stream(fault='stall', fault_after=1)
        async with field.post(payload) as resp:
            await resp.content.readany()
            gone = resp.headers['X-Request-Id']
            resp.close()
        await fake.account.until(lambda acc: acc.cancelled == [gone])
        async with field.post(bed.stream()) as resp:
            assert (await resp.read()).endswith(b'data: [DONE]\n\n')

    bed.run(scenario)


def test_refused_connection_goes_to_another_server() -> None:
    """Nothing was sent, so the call is granted anew and runs once."""

    async def scenario(field: bed.Bed) -> None:
        gone = await field.engine('advisor-0')
        async with contextlib.AsyncExitStack() as stack:
            dead = await stack.enter_async_context(
                type(gone)(gone.cfg).listening(),
            )
            ghost = dead.announcement() | {'server_id': 'advisor-ghost'}
        await field.announce(ghost)
        for _ in range(6):
            async with field.post(bed.plain()) as resp:
                assert resp.status == 200
        assert len(gone.account.seen) == 6
        assert len(set(gone.account.seen)) == 6

    bed.run(scenario)


def test_nobody_takes_the_connection() -> None:
    """``ran: no`` where no server could be reached."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.engine()
        fake_cfg = fake.cfg
        async with type(fake)(fake_cfg).listening() as dead:
            ghost = dead.announcement() | {'incarnation': 2}
        await field.announce(ghost)
        async with field.post(bed.plain(), X_Deadline_Ms='900') as resp:
            error = (await resp.json())['error']
        assert error['ran'] == 'no'
        assert error['code'] in {'GW-3101', 'GW-2102', 'GW-2110'}

    bed.run(scenario)


def test_request_is_never_sent_again_on_a_dead_connection() -> None:
    """A kept connection that dies under a GET: one try, ``ran: unknown``."""

    async def scenario(field: bed.Bed) -> None:
        came: list[bytes] = []

        async def one_answer_each(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            came.append(await reader.readuntil(b'\r\n\r\n'))
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
            came.append(await reader.readuntil(b'\r\n\r\n'))
            writer.close()

        server = await asyncio.start_server(one_answer_each, '127.0.0.1', 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            await _announce_service(field, port)
            assert await _get(field) == (200, None)
            assert await _get(field) == (502, 'unknown')
        assert len(came) == 2

    bed.run(scenario)


async def _announce_service(field: bed.Bed, port: int) -> None:
    payload = {
        'server_id': 'raw-1',
        'incarnation': 1,
        'address': f'127.0.0.1:{port}',
        'kind': 'service',
        'pool': 'sportello-app',
        'failure_domain': 'milano-a',
    }
    await field.announce(payload)


async def _get(field: bed.Bed, path: str = 'x') -> tuple[int, str | None]:
    url = field.entry.url(f'/services/sportello-app/{path}')
    headers = {'X-Customer': 'liceo-volta'}
    async with field.session.get(url, headers=headers) as resp:
        body = await resp.read()
        if resp.status == 200:
            return resp.status, None
        return resp.status, json.loads(body)['error']['ran']


def test_service_answers_are_whole_or_refused() -> None:
    """Half an answer, and one whose end can't be told, are refused."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.service()
        assert await _get(field, 'stock?item=tarp%2F1') == (200, None)
        fake.next_faults.append(faults.Fault(faults.FaultKind.close_early))
        assert await _get(field) == (502, 'yes')
        fake.next_faults.append(faults.Fault(faults.FaultKind.silent))
        assert await _get(field) == (502, 'unknown')
        assert await _get(field, 'unframed') == (502, 'yes')
        url = field.entry.url('/services/sportello-app/big')
        headers = {'X-Customer': 'liceo-volta'}
        async with field.session.get(url, headers=headers) as resp:
            assert len(await resp.read()) == 3 * 1024 * 1024

    bed.run(scenario)


def test_service_sees_the_call_but_not_the_key() -> None:
    """Path and query as sent; the customer's secret stays here."""
    rules = inprocess.RULES.replace(
        'name = "liceo-volta"',
        'name = "liceo-volta"\nkey_sha256 = "{0}"'.format(
            '2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b',
        ),
        1,
    )

    async def scenario(field: bed.Bed) -> None:
        fake = await field.service()
        url = field.entry.url('/services/sportello-app/a//b?q=1%202')
        headers = {'Authorization': 'Bearer secret'}
        async with field.session.get(url, headers=headers) as resp:
            answer = await resp.json()
        assert answer['path'] == '/a//b?q=1%202'
        assert 'Authorization' not in fake.last_headers
        assert fake.last_headers['X-Customer'] == 'liceo-volta'

    bed.run(scenario, rules)


def test_server_reports_reach_the_pool_leader() -> None:
    """Load and cache events of a known server; nonsense gets a 400."""

    async def scenario(field: bed.Bed) -> None:
        fake = await field.engine()
        leader = field.entry.host.leader_of(ids.PoolName('lm-advisori'))
        got: list[object] = []
        leader.report = got.append
        leader.cache_events = got.append
        url = f'http://{field.entry.host.cfg.backend_address}/v1/reports'
        async with field.session.post(url, json=fake.report()) as resp:
            assert resp.status == 200
        assert [type(part).__name__ for part in got] == [
            'LoadReport',
            'CacheEvents',
        ]
        async with field.session.post(url, json={'running': 1}) as resp:
            assert resp.status == 400

    bed.run(scenario)


def test_leaving_server_ends_its_work_and_gets_no_more() -> None:
    """New calls go elsewhere; the stream in flight ends whole."""

    async def scenario(field: bed.Bed) -> None:
        leaving = await field.engine('advisor-1', speed=bed.SLOW)
        async with field.post(bed.stream(40)) as resp:
            first = await resp.content.readany()
            other = await field.engine('advisor-2')
            leaving.standing.state = 'leaving'
            await field.announce(leaving.announcement())
            for _ in range(5):
                assert (await _read(field, bed.stream())).endswith(_DONE)
            body = first + await resp.read()
        assert body.endswith(_DONE)
        assert len(leaving.account.seen) == 1
        assert len(other.account.seen) == 5

    bed.run(scenario)
