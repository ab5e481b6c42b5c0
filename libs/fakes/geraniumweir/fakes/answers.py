"""What an entry host answers to the fakes' callers."""

import json

import aiohttp

DONE = b'data: [DONE]\n\n'
_ERROR = b'event: error\ndata: '
_OK = 200


def read_error(
    resp: aiohttp.ClientResponse,
    body: bytes,
) -> dict[str, str] | None:
    """Read the error of a refusal, or of a stream that broke off.

    :returns: None where the answer says none.
    """
    if resp.status != _OK:
        return dict(json.loads(body)['error'])
    _, found, last = body.rpartition(_ERROR)
    return dict(json.loads(last)['error']) if found else None
