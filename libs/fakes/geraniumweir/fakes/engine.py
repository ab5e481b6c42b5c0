"""A fake engine: speaks the engines' HTTP and answers with made-up tokens.

It admits in arrival order, knows no tiers, caches prompt prefixes, can cancel
and resume, and misbehaves on demand. It keeps account of all it saw, so that
a test can count what was lost or done twice.
"""

import asyncio
import collections
import contextlib
import dataclasses
import json
import time
import typing

from aiohttp import web
from geraniumweir.common import ids
from geraniumweir.fakes import (
    account,
    announcing,
    faults,
    generation,
    misbehaving,
)

_CONFLICT = 409
_NOT_FOUND = 404
_TOKENS_PER_BLOCK = 256
_LINGER_SECONDS = 3.0
_MAX_BODY = 4 * 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """What one fake engine is.

    :ivar announce_to: backend addresses of entry hosts.
    :ivar cache_blocks: prefix blocks that its cache holds.
    :ivar fences: whether it refuses orders with an old fencing number.
    """

    server_id: ids.ServerId
    pool: ids.PoolName
    failure_domain: ids.FailureDomain
    announce_to: tuple[ids.Address, ...] = ()
    slots: int = 4
    speed: generation.Speed = generation.Speed()
    cache_blocks: int = 4096
    models: tuple[str, ...] = ()
    hardware: str = 'fake'
    can_cancel: bool = True
    can_resume: bool = False
    fences: bool = True


class FakeEngine:
    """One fake engine on a loopback port of its own choice."""

    def __init__(self, cfg: EngineSettings) -> None:
        """Keep the settings.

        :param cfg: what the engine is.
        """
        self.cfg = cfg
        self.account = account.Account()
        self.standing = announcing.Standing()
        self.next_faults: collections.deque[faults.Fault] = collections.deque()
        self.port = 0
        self._jobs: dict[str, generation.Job] = {}
        self._slots = asyncio.Semaphore(cfg.slots)
        self._cache = generation.PrefixCache(cfg.cache_blocks)
        self._sequence = 0
        self._fencing = 0
        self.forgetful = False

    @contextlib.asynccontextmanager
    async def running(self) -> typing.AsyncIterator['FakeEngine']:
        """Listen and announce until the block ends."""
        async with self.listening():
            announcer = announcing.Announcer(
                self.cfg.announce_to,
                self.announcement,
                self.report,
            )
            async with announcer.running():
                yield self

    @contextlib.asynccontextmanager
    async def listening(self) -> typing.AsyncIterator['FakeEngine']:
        """Listen, unannounced, until the block ends."""
        app = web.Application(client_max_size=_MAX_BODY)
        app.router.add_post('/v1/chat/completions', self._complete)
        app.router.add_post('/v1/completions', self._complete)
        app.router.add_delete('/v1/requests/{id}', self._cancel)
        app.router.add_get('/v1/requests/{id}/stream', self._resume)
        app.router.add_post('/v1/orders', self._order)
        runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.1,
        )
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', self.port).start()
        self.port = runner.addresses[0][1]
        try:
            yield self
        finally:
            await runner.cleanup()
            for job in self._jobs.values():
                _stop(job)

    @property
    def address(self) -> ids.Address:
        """Where it listens."""
        return ids.Address('127.0.0.1', self.port)

    def announcement(self) -> announcing.Payload:
        """Say what the engine is."""
        return {
            'server_id': self.cfg.server_id,
            'incarnation': self.standing.incarnation,
            'address': str(self.address),
            'kind': 'engine',
            'pool': self.cfg.pool,
            'models': list(self.cfg.models),
            'adapters': [],
            'failure_domain': self.cfg.failure_domain,
            'hardware': self.cfg.hardware,
            'slots': self.cfg.slots,
            'kv_tokens': self.cfg.cache_blocks * _TOKENS_PER_BLOCK,
            'max_context': self.cfg.cache_blocks * _TOKENS_PER_BLOCK,
            'fences': self.cfg.fences,
            'can_cancel': self.cfg.can_cancel,
            'can_resume': self.cfg.can_resume,
            'state': self.standing.state,
        }

    def report(self) -> announcing.Payload:
        """Say how loaded the engine is and what its cache did."""
        open_jobs = [job for job in self._jobs.values() if not job.ended]
        running = sum(bool(job.prefilled) for job in open_jobs)
        stored, evicted = self._cache.drain_events()
        self._sequence += 1
        return {
            'server_id': self.cfg.server_id,
            'incarnation': self.standing.incarnation,
            'running': running,
            'waiting': len(open_jobs) - running,
            'kv_used': len(self._cache) * _TOKENS_PER_BLOCK,
            'measured_at': time.time(),
            'sequence': self._sequence,
            'stored': stored,
            'evicted': evicted,
        }

    @property
    def repeated_prefill(self) -> int:
        """Prompt tokens that were worked on again after an eviction."""
        return self._cache.repeated * _TOKENS_PER_BLOCK

    async def _complete(self, req: web.Request) -> web.StreamResponse:
        payload = await req.json()
        job = self._new_job(req, payload)
        await self.account.note()
        if job.has(faults.FaultKind.silent):
            misbehaving.reset(req)
            return web.Response()
        try:
            if payload.get('stream'):
                return await self._stream(req, job, 0)
            return await self._whole(req, job)
        except (asyncio.CancelledError, ConnectionError):
            _leave(self.cfg, job)
            raise

    def _new_job(
        self,
        req: web.Request,
        payload: generation.Payload,
    ) -> generation.Job:
        request_id = req.headers['X-Request-Id']
        kept = self.account
        kept.seen.append(request_id)
        kept.headers[request_id] = req.headers.copy()
        if req.transport is not None:
            kept.peers.append(req.transport.get_extra_info('peername'))
        fault = faults.read_fault(payload)
        if fault is None and self.next_faults:
            fault = self.next_faults.popleft()
        job = generation.Job(request_id, payload, fault)
        self._jobs[request_id] = job
        job.task = asyncio.create_task(self._run(job))
        return job

    async def _run(self, job: generation.Job) -> None:
        try:
            async with self._slots:
                self.account.ran[job.request_id] += 1
                await generation.generate(job, self.cfg.speed, self._cache)
            self.account.whole.add(job.request_id)
        finally:
            self._close(job)
            await self.account.note()

    def _close(self, job: generation.Job) -> None:
        self.account.prefilled += job.prefilled
        if not job.ended:
            self.account.thrown += job.prefilled
        job.ended = True
        job.news.set()

    async def _stream(
        self,
        req: web.Request,
        job: generation.Job,
        first: int,
    ) -> web.StreamResponse:
        resp = web.StreamResponse()
        resp.headers['Content-Type'] = 'text/event-stream'
        await resp.prepare(req)
        following = first
        while True:
            job.news.clear()
            for event in job.events[following:]:
                if await misbehaving.in_stream(req, resp, job, following):
                    _after_fault(self.cfg, job)
                    return resp
                await resp.write(event)
                self.account.keep(job.request_id, event)
                following += 1
            if job.ended and following >= len(job.events):
                break
            await job.news.wait()
        await resp.write_eof()
        return resp

    async def _whole(
        self,
        req: web.Request,
        job: generation.Job,
    ) -> web.StreamResponse:
        while not job.ended:
            job.news.clear()
            await job.news.wait()
        body = generation.whole_answer(job.request_id, job.texts)
        if job.fault is not None:
            return await misbehaving.instead(req, job.fault, body)
        self.account.keep(job.request_id, body)
        return web.Response(body=body, content_type='application/json')

    async def _cancel(self, req: web.Request) -> web.Response:
        request_id = req.match_info['id']
        self.account.cancelled.append(request_id)
        job = self._jobs.get(request_id)
        if job is not None and not job.has(faults.FaultKind.late):
            _stop(job)
        await self.account.note()
        return web.json_response({'cancelled': job is not None})

    async def _resume(self, req: web.Request) -> web.StreamResponse:
        request_id = req.match_info['id']
        first = int(req.query['from'])
        job = self._jobs.get(request_id)
        self.account.resumed.append((request_id, first))
        if job is None or self.forgetful:
            return web.Response(status=_NOT_FOUND)
        return await self._stream(req, job, first)

    async def _order(self, req: web.Request) -> web.Response:
        order = await req.json()
        fencing = int(order['fencing'])
        if self.cfg.fences and fencing < self._fencing:
            return web.json_response(
                {'newest': self._fencing}, status=_CONFLICT
            )
        self._fencing = max(self._fencing, fencing)
        self.account.orders.append(order)
        return web.json_response({'done': True})


def _after_fault(cfg: EngineSettings, job: generation.Job) -> None:
    if not cfg.can_resume:
        _stop(job)


def _leave(cfg: EngineSettings, job: generation.Job) -> None:
    """Do what an engine does whose caller has gone."""
    if job.has(faults.FaultKind.late):
        return
    if cfg.can_resume:
        loop = asyncio.get_running_loop()
        loop.call_later(_LINGER_SECONDS, _stop, job)
    else:
        _stop(job)


def _stop(job: generation.Job) -> None:
    if job.task is not None:
        job.task.cancel()


def read_text(answer: bytes) -> str:
    """Give the text of an answer that isn't streamed."""
    return str(json.loads(answer)['choices'][0]['message']['content'])
