"""Entry host on loopback with backend servers that behave as a test says."""

import asyncio
import contextlib
import dataclasses
import typing

import aiohttp
import multidict
import yarl
from geraniumweir.backends import calls, sockets
from geraniumweir.common import ids, timers
from geraniumweir.control import enrolments, pool_servers
from geraniumweir.gateway import (
    admission,
    context,
    grant_check,
    held_bytes,
    relay_client,
    response_buffer,
    response_notices,
    server_paths,
    serving,
)
from geraniumweir.gateway import listening as serving_at
from geraniumweir.gateway.tests import (
    local_sockets,
    local_streams,
    plain_codec,
)
from geraniumweir.observe import metrics
from geraniumweir.routing import finding, tables
from geraniumweir.scheduling import (
    notices,
    requests,
    stream_origins,
)

POOL = ids.PoolName('pool')
HOST = ids.HostId('entry')
Behavior = typing.Callable[
    ['Server', str, multidict.CIMultiDict[str], asyncio.StreamWriter],
    typing.Awaitable[None],
]


class Scheduler:
    """Scheduler that grants the servers in turn.

    :ivar server_ids: server ids by number of the grant, a new id by default.
    :ivar released: outcomes of the releases, in order.
    :ivar slot_requested: kinds of the slot requests, in order.
    :ivar asked: the slot requests, in order.
    :ivar versions: software versions by number of the grant.
    :ivar begins: streams that began, in order.
    :ivar first_tokens: seconds to the first token of the releases, in order.
    :ivar retries: whether retries are granted.
    :ivar grant_count: number of grants so far.
    """

    def __init__(self, servers: typing.Sequence['Server']) -> None:
        self.server_ids: dict[int, str] = {}
        self.released: list[requests.Outcome] = []
        self.slot_requested: list[requests.Sending] = []
        self.asked: list[requests.SlotRequest] = []
        self.versions: dict[int, str] = {}
        self.begins: list[stream_origins.StreamBegin] = []
        self.first_tokens: list[float | None] = []
        self.retries = True
        self._servers = servers
        self.grant_count = 0

    async def request_slot(
        self,
        slot_request: requests.SlotRequest,
    ) -> requests.Grant | requests.Denial:
        self.slot_requested.append(slot_request.sending)
        self.asked.append(slot_request)
        if slot_request.sending is requests.Sending.retry and not self.retries:
            reason = requests.DenialReason.retry_budget
            return requests.Denial(slot_request.request_id, reason)
        server = self._servers[self.grant_count % len(self._servers)]
        self.grant_count += 1
        return requests.Grant(
            slot_request.request_id,
            ids.ServerId(
                self.server_ids.get(self.grant_count, f's{self.grant_count}')
            ),
            ids.Incarnation(1),
            server.address,
            ids.SoftwareVersion(self.versions.get(self.grant_count, 'v1')),
        )

    def withdraw(self, _request_id: ids.RequestId) -> None:
        """Do nothing: no request waits."""

    def progress(self, progress: requests.Progress) -> None:
        if progress.begin is not None:
            self.begins.append(progress.begin)

    def release(self, release: requests.Release) -> None:
        self.released.append(release.outcome)
        self.first_tokens.append(release.first_token)


@dataclasses.dataclass(slots=True)
class Server:
    """Backend server that behaves as a test says.

    :ivar behavior: writes the response to each request.
    :ivar seen: ids of the requests that reached it.
    :ivar bodies: of these requests.
    :ivar targets: of these requests, with their queries.
    :ivar disconnected: is set when a connection to it ends.
    """

    behavior: Behavior
    address: ids.Address = ids.Address(local_sockets.ADDRESS, 0)
    seen: list[str] = dataclasses.field(default_factory=list)
    bodies: list[bytes] = dataclasses.field(default_factory=list)
    targets: list[str] = dataclasses.field(default_factory=list)
    disconnected: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    listening: asyncio.Server | None = None

    def kill(self, writer: asyncio.StreamWriter) -> None:
        """End as a process that is killed, after it wrote an answer."""
        if self.listening is not None:
            self.listening.close()
        writer.close()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer requests on a connection until it ends."""
        with contextlib.closing(writer):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    await self._serve_one(reader, writer)
            self.disconnected.set()

    async def _serve_one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        raw = await reader.readuntil(b'\r\n\r\n')
        head = read_head(raw)
        length = int(head.get('Content-Length', '0'))
        self.bodies.append(await reader.readexactly(length))
        self.targets.append(raw.split(b' ', 2)[1].decode('latin-1'))
        self.seen.append(head['Id'])
        await self.behavior(self, head['Id'], head, writer)


def read_head(raw: bytes) -> multidict.CIMultiDict[str]:
    """Return the headers of a request."""
    lines = raw.decode().split('\r\n')[1:]
    pairs = (line.partition(': ') for line in lines if line)
    return multidict.CIMultiDict((name, text) for name, _, text in pairs)


@dataclasses.dataclass(slots=True)
class Testbed:
    """Running entry host with its scheduler and a client."""

    url: str
    caller_server: serving.CallerServer
    scheduler: Scheduler
    client: aiohttp.ClientSession
    server_notices: notices.Notices
    paths: server_paths.ServerPaths
    relays: list[ids.Address]
    shared: context.SharedResources
    session: aiohttp.ClientSession

    @property
    def port(self) -> int:
        """Port that callers connect to."""
        return yarl.URL(self.url).port or 0


@contextlib.asynccontextmanager
async def running(
    *servers: Server,
    probe: server_paths.Probe = sockets.probe,
    accounts: held_bytes.HeldBytes | None = None,
    send_buffer: int | None = None,
    memory: int | None = None,
    **changes: typing.Any,
) -> typing.AsyncIterator[Testbed]:
    """Run servers and an entry host with one route to them.

    :param probe: returns whether a connection to a server can be made.
    :param accounts: bounds of the held bytes.
    :param send_buffer: bytes that the kernel keeps for a caller, None for its
        own choice, which is megabytes on loopback.
    :param memory: bytes of the host, None if not known.
    :param changes: fields of that route that differ from the default.
    """
    async with contextlib.AsyncExitStack() as stack:
        for server in servers:
            listening = await asyncio.start_server(
                server.serve, local_sockets.ADDRESS, 0
            )
            stack.callback(listening.close)
            server.listening = listening
            port = listening.sockets[0].getsockname()[1]
            server.address = ids.Address(local_sockets.ADDRESS, port)
        session = await stack.enter_async_context(calls.make_session())
        scheduler = Scheduler(servers)
        clock = timers.TimerService()
        server_notices = notices.Notices(clock)
        paths = server_paths.ServerPaths(
            clock, probe, lambda: [one.address for one in servers]
        )
        relays: list[ids.Address] = []
        shared = context.SharedResources(
            relay_client.RequestSender(
                session,
                paths,
                lambda: relay_client.Relays(tuple(relays)),
                metrics.Metrics(),
                clock,
            ),
            plain_codec.PlainCodec(),
            scheduler,
            response_notices.NoticeRecorder(HOST, server_notices, clock),
            grant_check.GrantCheck(
                HOST,
                server_notices,
                pool_servers.PoolServers(
                    enrolments.Enrolments(HOST, 1),
                    lambda: None,
                    server_notices=server_notices,
                ),
                timers.TimerService(),
            ),
            metrics.Metrics(),
            local_streams.Streams(clock),
            response_buffer.ResponseBuffers(
                metrics.Metrics(), accounts or held_bytes.HeldBytes()
            ),
        )
        known = admission.DocumentState(finding.Index(_document(changes)), True)
        caller_server = serving.CallerServer(
            serving.HostLocation(ids.HostId('entry'), ids.FailureDomain('x')),
            lambda: known,
            shared,
            metrics.Metrics(),
            memory,
        )
        sock = local_sockets.bound(send_buffer)
        address = ids.Address(*sock.getsockname())
        runner = serving_at.make_runner(caller_server.server())
        await serving_at.listen(stack, runner, address, sock)
        client = await stack.enter_async_context(aiohttp.ClientSession())
        yield Testbed(
            f'http://{address}/a/b',
            caller_server,
            scheduler,
            client,
            server_notices,
            paths,
            relays,
            shared,
            session,
        )


def _document(changes: dict[str, typing.Any]) -> tables.Document:
    route = tables.Route(
        ids.RuleName('route'),
        'host',
        '/a/',
        tables.Kind.idempotent,
        timeout=5,
        target=0.2,
        rank=0,
        targets=(tables.Target(POOL, 1),),
        attempts=2,
    )
    return tables.Document(
        ids.Version(1),
        (dataclasses.replace(route, **changes),),
        (tables.Pool(POOL, '/health', 10, tables.Engine(8, 0, 1, ())),),
    )


def answer(
    request_id: str,
    body: bytes,
    status: str = '200 OK',
    extra: str = 'Signed: yes\r\n',
) -> bytes:
    """Return a complete response."""
    head = (
        f'HTTP/1.1 {status}\r\nId: {request_id}\r\n{extra}'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


def answers(
    body: bytes,
    status: str = '200 OK',
    extra: str = 'Signed: yes\r\n',
    request_id: str = '',
) -> Behavior:
    """Return a behavior that always sends one response."""

    async def behavior(
        _server: Server,
        asked_id: str,
        _head: multidict.CIMultiDict[str],
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(answer(request_id or asked_id, body, status, extra))

    return behavior


def stream_head(request_id: str) -> bytes:
    """Return the head of a chunked stream."""
    return (
        f'HTTP/1.1 200 OK\r\nId: {request_id}\r\nSigned: yes\r\n'
        'Content-Type: text/event-stream\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    ).encode()


def chunk(body: bytes) -> bytes:
    """Return one chunk; an empty body ends the stream."""
    size = f'{len(body):x}\r\n'.encode()
    return b''.join((size, body, b'\r\n'))


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return f'id: {number}\ndata: x\n\n'.encode()


def stream(content: bytes, *, ends: bool) -> Behavior:
    """Return a behavior that sends a stream in one piece.

    :param ends: whether the stream ends as complete behind its events;
        otherwise its connection closes.
    """

    async def behavior(
        _server: Server,
        asked_id: str,
        _head: multidict.CIMultiDict[str],
        writer: asyncio.StreamWriter,
    ) -> None:
        end = chunk(b'') if ends else b''
        writer.write(b''.join((stream_head(asked_id), chunk(content), end)))
        await writer.drain()
        if not ends:
            writer.close()

    return behavior


@dataclasses.dataclass(frozen=True, slots=True)
class Got:
    """What a caller got.

    :ivar whole: whether the response ended as complete.
    """

    status: int
    body: bytes
    whole: bool


async def get(running: Testbed, content: bytes = b'') -> Got:
    """Send a request with a body and read its response to the end."""
    found: list[bytes] = []
    async with running.client.get(
        running.url, headers={'Id': 'r1'}, data=content or None
    ) as resp:
        try:
            async for part in resp.content.iter_any():
                found.append(part)
        except aiohttp.ClientPayloadError:
            return Got(resp.status, b''.join(found), whole=False)
        return Got(resp.status, b''.join(found), whole=True)
