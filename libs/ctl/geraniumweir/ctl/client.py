"""HTTP to an entry host's operator address."""

import dataclasses
import http
import typing

import aiohttp
from geraniumweir.common import errors


class RefusedError(errors.GeraniumweirError):
    """The system refused a command."""

    code = 'GW-1301'


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of the configuration.

    :ivar base: the version it was made from.
    :ivar change_id: makes a repeat of the change idempotent.
    """

    base: int
    change_id: str
    document: str


async def put_config(address: str, change: Change) -> int:
    """Send a change.

    :param address: IP:PORT of an entry host.
    :returns: the new version.
    :raises RefusedError: when the change is not accepted.
    """
    payload = dataclasses.asdict(change)
    answer = await _request('PUT', address, '/v1/config', payload)
    return int(answer['version'])


async def get_config(address: str) -> dict[str, typing.Any]:
    """Fetch what is in force.

    :param address: IP:PORT of an entry host.
    """
    return await _request('GET', address, '/v1/config', None)


async def _request(
    method: str,
    address: str,
    path: str,
    payload: dict[str, typing.Any] | None,
) -> dict[str, typing.Any]:
    async with aiohttp.ClientSession() as session:
        url = f'http://{address}{path}'
        async with session.request(method, url, json=payload) as resp:
            answer = await resp.json()
            if resp.status != http.HTTPStatus.OK:
                raise RefusedError(answer['error']['message'])
            return dict(answer)
