"""HTTP to the operator addresses of entry hosts.

The addresses are tried in order: the next one where a host can't be reached,
or has no majority of the recorders. That is safe for changes too: each
carries an id that makes a repeat idempotent, or names a state to reach.
"""

import contextlib
import dataclasses
import http
import os
import typing

import aiohttp
from geraniumweir.common import ids
from geraniumweir.ctl import errors

Json = dict[str, typing.Any]

_CONNECT_SECONDS = 2.0
_REFUSALS = frozenset(
    (http.HTTPStatus.CONFLICT, http.HTTPStatus.SERVICE_UNAVAILABLE),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """One request to the operators' HTTP face."""

    method: str
    path: str
    payload: Json | None = None
    query: typing.Mapping[str, str] = dataclasses.field(default_factory=dict)


class Client:
    """Asks entry hosts; open for the length of one command."""

    def __init__(
        self,
        addresses: typing.Sequence[ids.Address],
        session: aiohttp.ClientSession,
    ) -> None:
        """Keep the addresses; :func:`opened` makes the session.

        :param addresses: tried in order.
        """
        self._addresses = addresses
        self._session = session

    async def ask(self, ask: Ask) -> Json:
        """Ask the first host that can answer.

        :raises errors.UnreachableError: when none can be reached.
        :raises errors.AnsweredError: with the system's refusal.
        """
        failure: errors.CtlError | None = None
        for address in self._addresses:
            try:
                return await self._ask_one(address, ask)
            except errors.UnreachableError as exc:
                failure = failure or exc
            except _NoMajorityError as exc:
                failure = exc
        raise failure or errors.UnreachableError('no operator address')

    async def ask_all(self, ask: Ask) -> list[Json]:
        """Ask every host and give the answers of those that have one.

        :raises errors.CtlError: of the last host, where none has.
        """
        answers = []
        failure: errors.CtlError | None = None
        for address in self._addresses:
            try:
                answers.append(await self._ask_one(address, ask))
            except errors.CtlError as exc:
                failure = exc
        if not answers and failure is not None:
            raise failure
        return answers

    async def get(self, path: str, **query: str) -> Json:
        """Fetch from the first host that can answer."""
        return await self.ask(Ask('GET', path, query=query))

    async def post(self, path: str, payload: Json) -> Json:
        """Send to the first host that can answer."""
        return await self.ask(Ask('POST', path, payload))

    async def _ask_one(self, address: ids.Address, ask: Ask) -> Json:
        request = self._session.request(
            ask.method,
            f'http://{address}{ask.path}',
            json=ask.payload,
            params=ask.query,
        )
        try:
            async with request as resp:
                return await _read(address, resp)
        except aiohttp.ClientConnectorError as exc:
            reason = os.strerror(exc.os_error.errno or 0)
            raise errors.UnreachableError(
                f'{address}: {reason}; --operator-address or '
                'GERANIUMWEIR_OPERATOR_ADDRESS says where the hosts are',
            ) from exc
        except (aiohttp.ClientError, TimeoutError) as exc:
            reason = str(exc) or type(exc).__name__
            raise errors.UnreachableError(f'{address}: {reason}') from exc


class _NoMajorityError(errors.RefusedError):
    """A host that can't reach a majority; another one may."""

    code = 'GW-1306'


@contextlib.asynccontextmanager
async def opened(
    addresses: typing.Sequence[ids.Address],
    timeout: float,
) -> typing.AsyncIterator[Client]:
    """Open a client.

    :param timeout: of one request to one host, in seconds.
    """
    limits = aiohttp.ClientTimeout(total=timeout, connect=_CONNECT_SECONDS)
    async with aiohttp.ClientSession(timeout=limits) as session:
        yield Client(addresses, session)


async def _read(address: ids.Address, resp: aiohttp.ClientResponse) -> Json:
    try:
        answer = await resp.json(content_type=None)
    except ValueError as exc:
        raise _no_entry_host(address) from exc
    if not isinstance(answer, dict):
        raise _no_entry_host(address)
    if resp.status == http.HTTPStatus.OK:
        return answer
    error = answer.get('error')
    if not isinstance(error, dict):
        raise _no_entry_host(address)
    raise _as_error(resp.status, error)


def _as_error(status: int, error: Json) -> errors.AnsweredError:
    code = str(error.get('code', ''))
    message = str(error.get('message', ''))
    if error.get('ran') == ids.Ran.unknown.value:
        message = f'{message} (it may have been accepted all the same)'
    if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        return _NoMajorityError(code, message)
    if status in _REFUSALS:
        return errors.RefusedError(code, message)
    return errors.AnsweredError(code, message)


def _no_entry_host(address: ids.Address) -> errors.AnswerError:
    return errors.AnswerError(f'{address}: what answers is no entry host')
