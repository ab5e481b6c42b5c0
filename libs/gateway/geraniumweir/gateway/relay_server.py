"""Dispatches requests to backend servers for other entry hosts.

A relay passes on what it gets, one hop only: a request that it can't send
itself is declined. It reads a request completely before it connects to the
server, and passes the response on as it comes, no faster than the owner reads
it; the owner reads ahead of a slow caller. When the owner closes the
connection, the server's connection closes too; a response that breaks off
breaks off for the owner as well.
"""

import asyncio
import dataclasses
import typing

import aiohttp
from aiohttp import web
from geraniumweir.backends import calls, held_responses
from geraniumweir.backends import errors as backend_errors
from geraniumweir.common import eventlog, ids
from geraniumweir.control import enrolments
from geraniumweir.gateway import (
    codec,
    grant_check,
    logevents,
    relay_protocol,
    response_notices,
    server_paths,
    serving,
)
from geraniumweir.observe import metricnames, metrics

# What one host does for others is limited in memory: requests and the bytes of
# their bodies, read at the same time.
_MAX_OPEN = 256
_MAX_BODY_BYTES = 8388608
_NOT_SENT_STATUS = 503
_FAILED_STATUS = 502

ServerTable = typing.Callable[[ids.ServerId], enrolments.Enrolment | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """What a relay depends on.

    :ivar server: returns a backend server by its id.
    :ivar paths: this host's paths to servers.
    :ivar check: whether this host may send to a server.
    :ivar notices: records what servers say in responses.
    """

    session: aiohttp.ClientSession
    codec: codec.Codec
    server: ServerTable
    paths: server_paths.ServerPaths
    check: grant_check.GrantCheck
    notices: response_notices.NoticeRecorder
    meter: metrics.Metrics


class RelayServer:
    """Server of other entry hosts' requests.

    :ivar open: number of requests without a complete response.
    :ivar closing: whether further requests are declined.
    """

    def __init__(self, deps: Dependencies) -> None:
        """Initialize without requests."""
        self.open = 0
        self.closing = False
        self._deps = deps
        self._body_bytes = 0

    def accepts(self) -> bool:
        """Return whether this host dispatches for others now."""
        return not (self.closing or self._deps.paths.is_cut)

    def server(self) -> web.Server:
        """Return the HTTP server."""
        return serving.make_server(self.handle)

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Return the response to one request."""
        size = req.content_length or 0
        if req.can_read_body and not size:
            return self._end(relay_protocol.Outcome.declined, 'no length')
        if relay_protocol.sending_of(req.headers) is None:
            return self._end(relay_protocol.Outcome.declined, 'no sending')
        if self.open >= _MAX_OPEN or self._body_bytes + size > _MAX_BODY_BYTES:
            return self._end(relay_protocol.Outcome.declined, 'limit')
        self.open += 1
        self._body_bytes += size
        try:
            return await self._relay(req)
        finally:
            self.open -= 1
            self._body_bytes -= size

    async def _relay(self, req: web.BaseRequest) -> web.StreamResponse:
        server_id = ids.ServerId(req.headers.get(relay_protocol.SERVER, ''))
        found = self._deps.server(server_id)
        if found is None:
            outcome = relay_protocol.Outcome.declined
            return self._end(outcome, f'unknown server {server_id}')
        reason = self._unusable_reason(found)
        if reason:
            return self._end(relay_protocol.Outcome.declined, reason)
        if not await self._reaches(found.address):
            # This host's own failure confirms that of the owner.
            outcome = relay_protocol.Outcome.unreachable
            return self._end(outcome, 'path in doubt')
        call = await self._read_call(req)
        sent_at = asyncio.get_running_loop().time()
        try:
            answer = await calls.send(self._deps.session, found.address, call)
        except backend_errors.NotSentError as exc:
            self._deps.paths.record_failure(found.address)
            outcome = relay_protocol.Outcome.unreachable
            return self._end(outcome, exc.message)
        except backend_errors.AnswerError as exc:
            self._deps.paths.record_failure(found.address)
            return self._end(relay_protocol.Outcome.failed, exc.message)
        self._deps.paths.record_success(found.address)
        return await self._judge(req, answer, found, sent_at)

    async def _read_call(self, req: web.BaseRequest) -> calls.Call:
        """Return a request as it is sent to the server."""
        request_id = self._deps.codec.request_id(req.headers)
        return calls.Call(
            req.method,
            req.raw_path,
            relay_protocol.forwarded(req.headers),
            await req.read(),
            relay_protocol.sending_of(req.headers) or 1,
            held_responses.Expected(request_id, self._deps.codec.request_id),
        )

    async def _judge(
        self,
        req: web.BaseRequest,
        answer: calls.Answer,
        found: enrolments.Enrolment,
        sent_at: float,
    ) -> web.StreamResponse:
        """Pass on an answer that is of the request.

        :param sent_at: when the request was sent, in seconds.
        """
        head = self._deps.codec.read_response_head(
            answer.status, answer.headers
        )
        if head.request_id != self._deps.codec.request_id(req.headers):
            answer.abandon()
            reason = f'the answer is of request {head.request_id!r}'
            return self._end(relay_protocol.Outcome.failed, reason)
        self._deps.notices.record(found.start, sent_at, head)
        return await self._pass_on(req, answer)

    async def _reaches(self, address: ids.Address) -> bool:
        paths = self._deps.paths
        return not paths.is_doubtful(address) or await paths.check(address)

    def _unusable_reason(self, found: enrolments.Enrolment) -> str:
        """Return why this host doesn't send to a server, or nothing."""
        if self.closing:
            return 'draining'
        if self._deps.paths.is_cut:
            return 'no path to any server'
        unusable = self._deps.check.unusable_start(found.start)
        return unusable.value if unusable else ''

    async def _pass_on(
        self,
        req: web.BaseRequest,
        answer: calls.Answer,
    ) -> web.StreamResponse:
        headers = relay_protocol.forwarded(answer.headers)
        outcome = relay_protocol.Outcome.answered
        headers[relay_protocol.OUTCOME] = outcome.value
        resp = web.StreamResponse(status=answer.status, headers=headers)
        if self.closing:
            resp.force_close()
        self._count(outcome)
        try:
            async with answer:
                await resp.prepare(req)
                async for chunk in answer.chunks():
                    await resp.write(chunk)
        except backend_errors.AnswerError as exc:
            eventlog.emit(logevents.RELAY_BROKE_OFF, reason=exc.message)
            if req.transport is not None:
                req.transport.abort()
        return resp

    def _end(
        self,
        outcome: relay_protocol.Outcome,
        reason: str,
    ) -> web.Response:
        """Return the response to a request that got none from a server."""
        eventlog.emit(
            logevents.RELAY_REFUSED, outcome=outcome.value, reason=reason
        )
        self._count(outcome)
        sent = outcome is relay_protocol.Outcome.failed
        resp = web.Response(
            status=_FAILED_STATUS if sent else _NOT_SENT_STATUS,
            headers={relay_protocol.OUTCOME: outcome.value},
        )
        if self.closing:
            resp.force_close()
        return resp

    def _count(self, outcome: relay_protocol.Outcome) -> None:
        self._deps.meter.count(metricnames.RELAYED, 'taken', outcome.value)
