"""The main job on loopback: daemon, geraniumctl, fake engine, one call."""

import asyncio
import contextlib
import pathlib
import socket
import sys
import tempfile
import typing

import aiohttp
from geraniumweir.common import ids
from geraniumweir.fakes import engine

_RULES = """
[[customer]]
name = "liceo-volta"

[[pool]]
name = "lm-advisori"

[[rule]]
name = "quick lookups"
when = { path = "/v1/chat/completions" }
then = { route = "lm-advisori", tier = 0, deadline_ms = 5000 }
"""
_START_TRIES = 100
_PAUSE_SECONDS = 0.1


def main() -> None:
    """Run the demo and exit 0 only where the whole answer came."""
    sys.exit(asyncio.run(run_demo()))


async def run_demo() -> int:
    """Serve one streamed call from end to end.

    :returns: the exit status.
    """
    ports = _free_ports(3)
    async with contextlib.AsyncExitStack() as stack:
        daemon = await _start_daemon(ports)
        stack.push_async_callback(_stop, daemon)
        cfg = engine.EngineSettings(
            ids.ServerId('advisor-1'),
            ids.PoolName('lm-advisori'),
            ids.FailureDomain('milano-a'),
            ids.Address('127.0.0.1', ports[1]),
        )
        session = await stack.enter_async_context(aiohttp.ClientSession())
        await _until_ready(session, ports[0])
        await stack.enter_async_context(engine.FakeEngine(cfg).running())
        await _apply_rules(ports[2])
        answer = await _call(session, ports[0])
    sys.stdout.write(answer)
    return 0 if answer.endswith('data: [DONE]\n\n') else 1


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        return [_bind(sock) for sock in socks]


def _bind(sock: socket.socket) -> int:
    sock.bind(('127.0.0.1', 0))
    return int(sock.getsockname()[1])


async def _start_daemon(
    ports: typing.Sequence[int],
) -> asyncio.subprocess.Process:
    flags = ['--host-id=entry-1', '--failure-domain=milano-a']
    for name, port in zip(('caller', 'backend', 'operator'), ports):
        flags.append(f'--{name}-address=127.0.0.1:{port}')
    return await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'geraniumweir.daemon',
        *flags,
    )


async def _stop(daemon: asyncio.subprocess.Process) -> None:
    daemon.terminate()
    await daemon.wait()


async def _until_ready(session: aiohttp.ClientSession, port: int) -> None:
    for _ in range(_START_TRIES):
        with contextlib.suppress(aiohttp.ClientError):
            async with session.get(f'http://127.0.0.1:{port}/readyz'):
                return
        await asyncio.sleep(_PAUSE_SECONDS)
    raise TimeoutError('the daemon did not start')


async def _apply_rules(port: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, 'rules.toml')
        path.write_text(_RULES)
        ctl = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'geraniumweir.ctl',
            f'--operator-address=127.0.0.1:{port}',
            'apply',
            str(path),
            '--base=0',
        )
        if await ctl.wait():
            raise RuntimeError('geraniumctl apply failed')


async def _call(session: aiohttp.ClientSession, port: int) -> str:
    url = f'http://127.0.0.1:{port}/v1/chat/completions'
    payload = {'model': 'advisor', 'stream': True, 'max_tokens': 8}
    headers = {'X-Customer': 'liceo-volta'}
    async with session.post(url, json=payload, headers=headers) as resp:
        return await resp.text()


if __name__ == '__main__':
    main()
