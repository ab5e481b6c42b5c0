"""Sends one call of a workload as a caller would, and judges its answer."""

import asyncio
import dataclasses
import json

import aiohttp
from geraniumweir.fakes import answers, processes, tally, workloads

_MS = 1000
_PATIENCE = aiohttp.ClientTimeout(total=60)


@dataclasses.dataclass(frozen=True, slots=True)
class Manner:
    """How callers call.

    :ivar keys: whether they send the keys of the examples, not their names.
    :ivar one_way: seconds that the way to and from a host takes each.
    """

    keys: bool = False
    one_way: float = 0


PLAIN = Manner()


async def send(
    session: aiohttp.ClientSession,
    host: processes.HostProcess,
    call: workloads.Offered,
    counted: tally.Tally,
    manner: Manner = PLAIN,
) -> None:
    """Send a call and tally its end.

    A fifth of the acts that must not happen twice are sent again.
    """
    counted.ends.append(await _send_once(session, host, call, manner))
    if call.kind.once and call.number % 5 == 0:
        again = await _send_once(session, host, call, manner)
        if again.end is not tally.End.refused:
            counted.ends.append(again)


async def _send_once(
    session: aiohttp.ClientSession,
    host: processes.HostProcess,
    call: workloads.Offered,
    manner: Manner,
) -> tally.Ended:
    start = asyncio.get_running_loop().time()
    await asyncio.sleep(manner.one_way)
    try:
        async with session.request(
            call.kind.method,
            host.url(workloads.path(call)),
            headers=_headers(call, manner),
            data=_body(call),
            timeout=_PATIENCE,
        ) as resp:
            # What comes back is late by the way back too.
            return await _judge(resp, call, start - manner.one_way)
    except (aiohttp.ClientError, TimeoutError):
        return tally.Ended('', '?', tally.End.lost)


def _headers(call: workloads.Offered, manner: Manner) -> dict[str, str]:
    customer = call.kind.customer
    headers = {'X-Deadline-Ms': str(call.kind.deadline_ms)}
    if manner.keys:
        headers['Authorization'] = f'Bearer example-key-of-{customer}'
    else:
        headers['X-Customer'] = customer
    if call.kind.x_kind:
        headers['X-Kind'] = call.kind.x_kind
    if call.kind.once:
        headers['X-Idempotent'] = 'false'
        headers['Idempotency-Key'] = f'act-{call.number}'
    return headers


def _body(call: workloads.Offered) -> bytes | None:
    if call.kind.method == 'GET':
        return None
    if call.kind.path:
        return call.prompt.encode()
    return json.dumps(workloads.body(call)).encode()


async def _judge(
    resp: aiohttp.ClientResponse,
    call: workloads.Offered,
    start: float,
) -> tally.Ended:
    loop = asyncio.get_running_loop()
    first = await resp.content.readany()
    first_ms = (loop.time() - start) * _MS
    body = first + await resp.read()
    request_id = resp.headers.get('X-Request-Id', '')
    tier = resp.headers.get('X-Tier', '?')
    error = answers.read_error(resp, body)
    if error is not None:
        return tally.Ended(
            request_id,
            tier,
            tally.End.refused,
            ran=error['ran'],
            code='{code} {type}'.format(**error),
        )
    end = tally.End.in_time
    if not _is_whole(call, request_id, body):
        end = tally.End.lost
    elif (loop.time() - start) * _MS > call.kind.deadline_ms:
        end = tally.End.late
    return tally.Ended(request_id, tier, end, first_ms)


def _is_whole(
    call: workloads.Offered,
    request_id: str,
    body: bytes,
) -> bool:
    """Check that an answer is this call's, from its first to its last token."""
    if call.kind.path:
        return bool(json.loads(body)['runs'])
    texts = [f'token{number} ' for number in range(call.max_tokens)]
    if not call.stream:
        answer = json.loads(body)
        content = answer['choices'][0]['message']['content']
        return request_id in answer['id'] and content == ''.join(texts)
    events = body.removesuffix(answers.DONE).split(b'\n\n')[:-1]
    chunks = [json.loads(event.removeprefix(b'data: ')) for event in events]
    said = [chunk['choices'][0]['delta']['content'] for chunk in chunks]
    mine = all(request_id in chunk['id'] for chunk in chunks)
    return body.endswith(answers.DONE) and mine and said == texts
