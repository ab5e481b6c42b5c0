"""Calls a second of the peer layer against bare streams of the same bytes.

Two peers in one process call each other over loopback, with one call open at
a time and with many; so does a bare echo over asyncio streams, whose frames
are as long. The ratios are what counts: they tell what greeting, thrift,
call ids and handler tasks cost over the sockets themselves. Rounds of both
alternate, and the median round counts.
"""

import argparse
import asyncio
import dataclasses
import json
import statistics
import sys
import time
import typing

from geraniumweir.common import ids
from geraniumweir.wire import envelopes, framing, tcp
from geraniumweir.wire.gen.scheduling import ttypes

_ANY = ids.Address('127.0.0.1', 0)
_TIMEOUT = 60.0
_CALLS = 5000
_PROMPT_TOKENS = 400
_SERVER = ids.HostId('server')

_Call = typing.Callable[[], typing.Awaitable[typing.Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """Calls a second with so many open at a time.

    :ivar ratio: of the peers' to the bare echo's.
    """

    open_calls: int
    bare: float
    peers: float
    ratio: float


async def measure(open_calls: int, calls: int, rounds: int) -> Figure:
    """Measure both ways in turn.

    :param open_calls: how many calls wait at a time.
    :param calls: in each round.
    """
    bare_rates = []
    peer_rates = []
    for _ in range(rounds):
        bare_rates.append(await _bare(open_calls, calls))
        peer_rates.append(await _peers(open_calls, calls))
    bare = statistics.median(bare_rates)
    between = statistics.median(peer_rates)
    return Figure(open_calls, bare, between, between / bare)


async def _peers(open_calls: int, calls: int) -> float:
    server = tcp.TcpPeers(_SERVER, _ANY)
    client = tcp.TcpPeers(ids.HostId('client'), _ANY)
    server.handle(ttypes.Ask, _grant)
    await server.start()
    await client.start()
    client.learn(_SERVER, server.address)
    ask = _ask()
    rate = await _rate(
        lambda: client.call(_SERVER, ask, _TIMEOUT),
        open_calls,
        calls,
    )
    await client.close()
    await server.close()
    return rate


async def _bare(open_calls: int, calls: int) -> float:
    server = await asyncio.start_server(_echo, _ANY.host, 0)
    port = server.sockets[0].getsockname()[1]
    asked = framing.pack(
        framing.encode(envelopes.seal(envelopes.Kind.call, 1, _ask())),
    )
    # One connection carries all open calls, as between peers.
    reader, writer = await asyncio.open_connection(_ANY.host, port)
    line = _Line(reader, writer)
    reading = asyncio.create_task(line.run())
    rate = await _rate(lambda: line.call(asked), open_calls, calls)
    reading.cancel()
    writer.close()
    server.close()
    return rate


async def _rate(call: _Call, open_calls: int, calls: int) -> float:
    await call()
    each = calls // open_calls
    start = time.perf_counter()
    await asyncio.gather(*(_repeat(call, each) for _ in range(open_calls)))
    return each * open_calls / (time.perf_counter() - start)


async def _repeat(call: _Call, times: int) -> None:
    for _ in range(times):
        await call()


class _Line:
    """A bare client: answers come in the order of the calls."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._waiting: asyncio.Queue[asyncio.Future[bytes]] = asyncio.Queue()

    async def call(self, frame: bytes) -> bytes:
        fut: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._waiting.put_nowait(fut)
        self._writer.write(frame)
        return await fut

    async def run(self) -> None:
        while True:
            frame = await framing.read_frame(self._reader)
            self._waiting.get_nowait().set_result(frame)


async def _echo(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    answer = framing.pack(
        framing.encode(
            envelopes.seal(envelopes.Kind.answer, 1, _reply()),
        ),
    )
    try:
        while True:
            await framing.read_frame(reader)
            writer.write(answer)
    except asyncio.IncompleteReadError:
        writer.close()


async def _grant(_sender: ids.HostId, _message: typing.Any) -> typing.Any:
    return _reply()


def _ask() -> ttypes.Ask:
    return ttypes.Ask(
        request_id='0123456789abcdef0123456789abcdef',
        owner='entry-1',
        pool='lm-advisori',
        customer='liceo-volta',
        rule='quick lookups',
        tier=0,
        time_left=float(2),
        prompt_tokens=_PROMPT_TOKENS,
        max_tokens=100,
        blocks=list(range(8)),
        fingerprint=1,
        idempotent=True,
        share=float(1),
        attempt=1,
    )


def _reply() -> ttypes.AskReply:
    return ttypes.AskReply(ttypes.Grant('advisor-3', 7, '127.0.0.1:9000'))


def main(argv: list[str] | None = None) -> None:
    """Measure and print a table, or JSON."""
    parser = argparse.ArgumentParser(
        prog='python -m geraniumweir.fakes.bench_wire',
        description='Calls a second of the peer layer against bare streams.',
    )
    parser.add_argument('--calls', type=int, default=_CALLS)
    parser.add_argument('--rounds', type=int, default=5)
    parser.add_argument('--output', choices=('table', 'json'), default='table')
    args = parser.parse_args(argv)
    figures = [
        asyncio.run(measure(open_calls, args.calls, args.rounds))
        for open_calls in (1, 64)
    ]
    if args.output == 'json':
        dump = [dataclasses.asdict(figure) for figure in figures]
        sys.stdout.write('{0}\n'.format(json.dumps(dump)))
        return
    sys.stdout.write('open calls  bare calls/s  peers calls/s  ratio\n')
    for figure in figures:
        sys.stdout.write(
            f'{figure.open_calls:10}  {figure.bare:12.0f}  '
            f'{figure.peers:13.0f}  {figure.ratio:5.2f}\n',
        )


if __name__ == '__main__':
    main()
