"""Tests of the operators' HTTP application on a standalone host."""

import asyncio
import contextlib
import pathlib
import typing

import aiohttp
from aiohttp import test_utils
from geraniumweir.common import ids, timers
from geraniumweir.daemon import host as entry_host
from geraniumweir.daemon import (
    observing,
    operations,
    operators,
    settings,
    standalone,
)
from geraniumweir.membership import servers
from geraniumweir.observe import traces

_RULES = """# ours
[[pool]]
name = "lm-advisori"

[[rule]]
name = "all"
when = { path = "/v1/*" }
then = { route = "lm-advisori" }
"""
_Scenario = typing.Callable[
    [test_utils.TestClient, entry_host.EntryHost, traces.Tracing],
    typing.Awaitable[None],
]


class _NoMajority(standalone.StandaloneOperations):
    """A host whose recorders did not answer in time."""

    async def change(self, _change: operations.Change) -> operations.Accepted:
        raise operations.NoMajorityError('no answer', ids.Ran.unknown)

    async def hosts(self) -> list[operations.HostRow]:
        raise ZeroDivisionError


def _settings(trace_file: str | None) -> settings.Settings:
    return settings.parse(
        (),
        {
            'GERANIUMWEIR_HOST_ID': 'entry-1',
            'GERANIUMWEIR_FAILURE_DOMAIN': 'milano-a',
            'GERANIUMWEIR_CALLER_ADDRESS': '127.0.0.1:1',
            'GERANIUMWEIR_BACKEND_ADDRESS': '127.0.0.1:2',
            'GERANIUMWEIR_OPERATOR_ADDRESS': '127.0.0.1:3',
            **({'GERANIUMWEIR_TRACE_FILE': trace_file} if trace_file else {}),
        },
    )


def _run(
    scenario: _Scenario,
    trace_file: str | None = None,
    kind: type[
        standalone.StandaloneOperations
    ] = standalone.StandaloneOperations,
) -> None:
    async def run_scenario() -> None:
        cfg = _settings(trace_file)
        async with contextlib.AsyncExitStack() as stack:
            session = aiohttp.ClientSession()
            await stack.enter_async_context(session)
            host = entry_host.EntryHost(
                cfg, timers.TimerService(), session, servers.Registry(), {}
            )
            observed = observing.observe(host, stack)
            app = operators.make_app(kind(host, observed))
            server = test_utils.TestServer(app)
            client = test_utils.TestClient(server)
            await stack.enter_async_context(client)
            await scenario(client, host, observed.tracing)

    asyncio.run(run_scenario())


async def _send(
    client: test_utils.TestClient,
    method: str,
    path: str,
    payload: typing.Any = None,
) -> tuple[int, typing.Any]:
    async with client.request(method, path, json=payload) as resp:
        return resp.status, await resp.json()


def _change(base: int, change_id: str, text: str = _RULES) -> dict[str, object]:
    return {'base': base, 'change_id': change_id, 'document': text}


def test_second_change_of_a_version_fails_and_a_repeat_succeeds() -> None:
    """The second change is rejected with the version in force."""

    async def scenario(client: test_utils.TestClient, *_rest: object) -> None:
        path = '/v1/config'
        first = await _send(client, 'PUT', path, _change(0, 'a'))
        second = await _send(client, 'PUT', path, _change(0, 'b'))
        again = await _send(client, 'PUT', path, _change(0, 'a'))
        assert first == (
            200,
            {'version': 1, 'warnings': [], 'repeated': False},
        )
        assert second[0] == 409
        assert second[1]['error']['version'] == 1
        assert second[1]['error']['ran'] == 'no'
        assert again[1] == {'version': 1, 'warnings': [], 'repeated': True}
        assert await _send(client, 'GET', f'{path}?version=1') == (
            200,
            {'version': 1, 'document': _RULES},
        )

    _run(scenario)


def test_invalid_document_is_rejected_with_line_numbers() -> None:
    """A refused document leaves the previous one in force."""

    async def scenario(client: test_utils.TestClient, *_rest: object) -> None:
        bad = _RULES.replace('"lm-advisori" }', '"lost" }')
        status, answer = await _send(
            client, 'PUT', '/v1/config', _change(0, 'a', bad)
        )
        assert status == 422
        assert [fault['line'] for fault in answer['error']['faults']] == [8]
        assert (await _send(client, 'GET', '/v1/config'))[1]['version'] == 0

    _run(scenario)


def test_no_majority_says_whether_it_can_have_been_accepted() -> None:
    """503 with ``ran``; an internal error is a 500 in the same format."""

    async def scenario(client: test_utils.TestClient, *_rest: object) -> None:
        status, answer = await _send(
            client, 'PUT', '/v1/config', _change(0, 'a')
        )
        assert status == 503
        assert answer['error']['ran'] == 'unknown'
        status, answer = await _send(client, 'GET', '/v1/hosts')
        assert status == 500
        assert answer['error']['code'] == 'GW-1407'

    _run(scenario, kind=_NoMajority)


def test_malformed_request_names_the_field() -> None:
    """400 names the field; 404 and 405 have the same format."""
    cases = (
        ('PUT', '/v1/config', {'base': 0, 'document': ''}, 400, 'change_id'),
        ('PUT', '/v1/config', _change(-1, 'a'), 400, 'base'),
        ('PUT', '/v1/config', {**_change(0, 'a'), 'x': 1}, 400, 'x: unknown'),
        ('PUT', '/v1/config', [], 400, 'not a JSON object'),
        ('GET', '/v1/config?version=x', None, 400, 'version'),
        ('GET', '/v1/config?version=7', None, 404, 'version 7'),
        ('GET', '/v1/diff?from=0', None, 400, 'to'),
        ('POST', '/v1/explain', {'paths': 'x'}, 400, 'paths'),
        ('POST', '/v1/orders', {'server': 'a', 'order': 'x'}, 400, 'set_role'),
        ('POST', '/v1/recorders', {'host_id': 'a', 'address': 'b'}, 400, 'b'),
        ('GET', '/v1/nothing', None, 404, ''),
        ('DELETE', '/v1/config', None, 405, ''),
        ('POST', '/v1/snapshot', None, 503, 'stands alone'),
        ('GET', '/v1/trace/x', None, 503, '--trace-file'),
    )

    async def scenario(client: test_utils.TestClient, *_rest: object) -> None:
        for method, path, payload, status, words in cases:
            found, answer = await _send(client, method, path, payload)
            assert (path, found) == (path, status)
            assert words in answer['error']['message']
            assert answer['error']['ran'] == 'no'

    _run(scenario)


def test_drain_edits_only_its_lines_and_can_be_undone() -> None:
    """The rest of the text and another override stay unchanged."""

    async def scenario(client: test_utils.TestClient, *_rest: object) -> None:
        rules = f'{_RULES}\n[[server]]\nid = "a"\nforbid = true # burnt\n'
        await _send(client, 'PUT', '/v1/config', _change(0, 'x', rules))
        for payload in (None, None, {'drain': False}):
            path = '/v1/servers/a/drain'
            assert (await _send(client, 'POST', path, payload))[0] == 200
        drained = (await _send(client, 'GET', '/v1/config?version=2'))[1]
        text = drained['document']
        assert text == f'{rules}drain = true\n'
        answer = (await _send(client, 'GET', '/v1/config'))[1]
        assert answer['version'] == 3
        assert answer['document'] == f'{rules}drain = false\n'
        lines = (await _send(client, 'GET', '/v1/diff?from=2&to=3'))[1]['lines']
        assert lines[-2:] == ['-drain = true', '+drain = false']

    _run(scenario)


def test_drain_of_an_unknown_server_warns() -> None:
    """Accepted, as the server may announce itself; undoing has no warning."""

    async def scenario(client: test_utils.TestClient, *_rest: object) -> None:
        path = '/v1/servers/advisr-1/drain'
        answer = (await _send(client, 'POST', path, None))[1]
        assert answer['version'] == 1
        assert "'advisr-1' announces itself" in answer['warnings'][0]
        undone = (await _send(client, 'POST', path, {'drain': False}))[1]
        assert not undone['warnings']

    _run(scenario)


def test_rows_and_metrics_show_the_same_state() -> None:
    """Servers, pools, status and gauges agree."""

    async def scenario(
        client: test_utils.TestClient,
        host: entry_host.EntryHost,
        _tracing: traces.Tracing,
    ) -> None:
        await _send(client, 'PUT', '/v1/config', _change(0, 'x'))
        host.registry.announce(
            servers.Announcement(
                ids.ServerId('advisor-1'),
                ids.Incarnation(1),
                ids.Address('127.0.0.1', 9),
                'engine',
                ids.PoolName('lm-advisori'),
                ids.FailureDomain('milano-a'),
            ),
            host.timers.now(),
        )
        found = (await _send(client, 'GET', '/v1/servers'))[1]['servers']
        pools = (await _send(client, 'GET', '/v1/pools'))[1]['pools']
        status = (await _send(client, 'GET', '/v1/status'))[1]
        async with client.get('/metrics') as resp:
            text = await resp.text()
        assert [row['state'] for row in found] == ['ready']
        assert [row['servers'] for row in pools] == [1]
        assert status['version'] == 1
        assert 'geraniumweir_config_version 1.0' in text
        assert 'geraniumweir_servers{pool="lm-advisori"} 1.0' in text

    _run(scenario)


def test_ended_span_is_found_before_the_next_flush(
    tmp_path: pathlib.Path,
) -> None:
    """Reading flushes a span that has just ended."""

    async def scenario(
        client: test_utils.TestClient,
        _host: entry_host.EntryHost,
        tracing: traces.Tracing,
    ) -> None:
        tracing.begin(ids.RequestId('req-9'), {}).root.finish()
        status, answer = await _send(client, 'GET', '/v1/trace/req-9')
        assert status == 200
        assert [span['name'] for span in answer['spans']] == ['caller']

    _run(scenario, str(tmp_path / 't.jsonl'))
