"""Callers that judge what they get, and retry as careful callers do."""

import asyncio
import dataclasses
import json
import typing

import aiohttp
from geraniumweir.fakes import answers, system

_CHAT = '/v1/chat/completions'
_ORDER = '/services/van/orders'
_LONGEST_SECONDS = 25
_PATIENCE = aiohttp.ClientTimeout(total=_LONGEST_SECONDS)


@dataclasses.dataclass(frozen=True, slots=True)
class Got:
    """What one call came to.

    :ivar whole: a whole answer, and to this call.
    :ivar code: of a refusal, else empty.
    :ivar ran: what a refusal says, else empty.
    :ivar broken: the connection to the entry host broke.
    """

    host_id: str
    request_id: str = ''
    whole: bool = False
    code: str = ''
    ran: str = ''
    broken: bool = False

    @property
    def honest(self) -> bool:
        """Whether it is a whole answer or a refusal."""
        return self.whole or bool(self.code)


def question(
    text: str,
    tokens: int,
    **more: typing.Any,
) -> dict[str, typing.Any]:
    """Make the body of a streamed call to an engine."""
    return {
        'model': 'advisor',
        'messages': [{'role': 'user', 'content': text}],
        'stream': True,
        'max_tokens': tokens,
        **more,
    }


async def chat(
    made: system.System,
    host_id: str,
    body: dict[str, typing.Any],
) -> Got:
    """Send a streamed call and read it to its end."""
    headers = {'X-Customer': 'hal-a'}
    payload = json.dumps(body).encode()
    return await _send(made, host_id, _CHAT, headers, payload)


async def order(made: system.System, host_id: str, key: str) -> Got:
    """Send a van order that must run at most once."""
    headers = {'X-Customer': 'hal-a', 'Idempotency-Key': key}
    return await _send(made, host_id, _ORDER, headers, key.encode())


async def order_until_known(
    made: system.System,
    hosts: typing.Sequence[str],
    key: str,
    tries: int = 40,
) -> list[Got]:
    """Send an order at one host after another until one says that it ran.

    :returns: all that came of it.
    """
    all_got = []
    for number in range(tries):
        got = await order(made, hosts[number % len(hosts)], key)
        all_got.append(got)
        if got.whole or got.ran == 'yes':
            break
        await asyncio.sleep(0.1)
    return all_got


def lies(made: system.System, all_got: typing.Iterable[Got]) -> list[Got]:
    """List refusals that say ``ran: no`` of calls that ran."""
    seen = set(made.seen())
    return [
        got for got in all_got if got.ran == 'no' and got.request_id in seen
    ]


def doubled(made: system.System) -> list[str]:
    """List the requests that backend servers got more than once."""
    seen = made.seen()
    return sorted({one for one in seen if seen.count(one) > 1})


async def _send(
    made: system.System,
    host_id: str,
    path: str,
    headers: dict[str, str],
    payload: bytes,
) -> Got:
    url = 'http://{0}{1}'.format(
        made.plans[host_id].addresses['caller'],
        path,
    )
    try:
        async with made.session.post(
            url, data=payload, headers=headers, timeout=_PATIENCE
        ) as resp:
            return _judge(host_id, path, resp, await resp.read())
    except (aiohttp.ClientError, TimeoutError):
        return Got(host_id, broken=True)


def _judge(
    host_id: str,
    path: str,
    resp: aiohttp.ClientResponse,
    body: bytes,
) -> Got:
    request_id = resp.headers.get('X-Request-Id', '')
    error = answers.read_error(resp, body)
    if error is not None:
        return Got(host_id, request_id, code=error['code'], ran=error['ran'])
    whole = True
    if path == _CHAT:
        events = body.removesuffix(answers.DONE).split(b'\n\n')[:-1]
        mine = all(request_id.encode() in event for event in events)
        whole = body.endswith(answers.DONE) and mine
    return Got(host_id, request_id, whole=whole)
