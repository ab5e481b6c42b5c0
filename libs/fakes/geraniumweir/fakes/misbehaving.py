"""How a fake engine carries out its faults."""

import asyncio

from aiohttp import web
from geraniumweir.fakes import faults, generation

_FAILED = 500
OTHER = 'gw-00000000000000000000000000000000'


async def in_stream(
    req: web.Request,
    resp: web.StreamResponse,
    job: generation.Job,
    following: int,
) -> bool:
    """Do a job's fault where its time has come, once.

    :returns: whether the answer is over.
    """
    fault = job.fault
    if fault is None or following < fault.after:
        return False
    match fault.kind:
        case faults.FaultKind.late:
            return False
        case faults.FaultKind.die:
            reset(req)
        case faults.FaultKind.close_early:
            await resp.write_eof()
        case faults.FaultKind.garbage:
            await resp.write(b'\x00\xff not an event\n\n')
            await resp.write_eof()
        case faults.FaultKind.other_id:
            await resp.write(generation.chunk_event(OTHER, 'theirs'))
            await resp.write_eof()
        case faults.FaultKind.error:
            await resp.write(b'data: {"error": {"message": "oom"}}\n\n')
            await resp.write_eof()
        case faults.FaultKind.stall:
            await asyncio.Event().wait()
    job.fault = None
    return True


async def instead(
    req: web.Request,
    fault: faults.Fault,
    body: bytes,
) -> web.StreamResponse:
    """Answer a call that isn't streamed, as its fault says.

    :param body: the answer that it should have been.
    """
    match fault.kind:
        case faults.FaultKind.garbage:
            return web.Response(body=body[: len(body) // 2])
        case faults.FaultKind.other_id:
            other = generation.whole_answer(OTHER, ['theirs'])
            return web.Response(body=other)
        case faults.FaultKind.error:
            return web.Response(status=_FAILED, text='out of memory')
        case faults.FaultKind.stall:
            await asyncio.Event().wait()
    resp = web.StreamResponse()
    resp.content_length = len(body)
    await resp.prepare(req)
    await resp.write(body[: len(body) // 2])
    reset(req, gently=fault.kind is faults.FaultKind.close_early)
    return resp


def reset(req: web.Request, gently: bool = False) -> None:
    """Lose the connection.

    :param gently: with an ordinary end of the connection, not a reset.
    """
    transport = req.transport
    if transport is None:
        return
    if gently:
        transport.close()
    else:
        transport.abort()
