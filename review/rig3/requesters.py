"""Requesters on loopback, each attempt on a connection of its own."""

import asyncio
import dataclasses
import random

import rig


@dataclasses.dataclass
class Answer:
    """What a requester got; status 0 is no answer."""

    status: int
    headers: dict
    body: bytes
    whole: bool
    seconds: float


class Requester:
    """Sends requests with new ids, and records them."""

    def __init__(self, record, host_name='ficu95.example'):
        self.record = record
        self.host_name = host_name
        self.answers = {}
        self.sent_at = {}

    async def send(
        self,
        entry,
        path,
        key,
        *,
        method='POST',
        headers=(),
        body=b'x' * 40,
        seconds=10.0,
        request_id=None,
        leave_after=None,
    ):
        request_id = request_id or f'{random.randrange(16**16):016x}'
        self.sent_at[request_id] = self.record.now()
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {self.host_name}',
            f'X-Geraniumweir-Request-Id: {request_id}',
            f'X-Geraniumweir-Deadline-Ms: {int(seconds * 1000)}',
            f'Api-Key: {key}',
            f'Content-Length: {len(body)}',
            *headers,
        ]
        self.record(f'send {request_id} to {entry.name} {method} {path}')
        status, found, parts, whole = 0, {}, [], False
        writer = None
        try:
            async with asyncio.timeout(leave_after or seconds):
                reader, writer = await asyncio.open_connection(*entry.front)
                writer.write('\r\n'.join([*lines, '', '']).encode() + body)
                status, found = await rig.read_head(reader)
                async for part in rig.chunks(reader, found):
                    parts.append(part)
                whole = True
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if writer is not None:
                writer.close()
        took = self.record.now() - self.sent_at[request_id]
        answer = Answer(status, found, b''.join(parts), whole, took)
        self.answers[request_id] = answer
        said = found.get('x-geraniumweir-server-stamp', '-')
        self.record(
            f'answer {request_id} {status} whole {whole} stamp {said}'
            f' {len(answer.body)} bytes after {took:.3f}'
        )
        return request_id, answer
