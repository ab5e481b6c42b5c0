"""What callers and backend servers are told of what can't be read."""

import hashlib
import typing

import pytest
from geraniumweir.fakes import inprocess
from geraniumweir.fakes.tests import bed

_DIGEST = hashlib.sha256(b'secret').hexdigest()
_RULES = f"""
[[customer]]
name = "keyed"
key_sha256 = "{_DIGEST}"
{inprocess.RULES}"""


async def _refused(
    field: bed.Bed,
    body: bytes,
    headers: typing.Mapping[str, str],
) -> tuple[int, str, str]:
    url = field.entry.url('/v1/chat/completions')
    async with field.session.post(url, data=body, headers=headers) as resp:
        error = (await resp.json())['error']
        assert error['ran'] == resp.headers['X-Ran'] == 'no'
        return resp.status, error['code'], error['message']


@pytest.mark.parametrize(
    ('headers', 'told'),
    [
        ({}, 'the call names no customer; send Authorization'),
        ({'X-Customer': 'nobody'}, "no customer 'nobody' without a key; send"),
        ({'X-Customer': 'keyed'}, "no customer 'keyed' without a key; send"),
        ({'Authorization': 'Bearer wrong'}, 'no customer has this key'),
    ],
)
def test_unknown_customer_is_told_how_to_be_known(
    headers: dict[str, str],
    told: str,
) -> None:
    """The words don't tell whether a customer with a key is there."""

    async def scenario(field: bed.Bed) -> None:
        status, code, message = await _refused(field, b'{}', headers)
        assert (status, code) == (401, 'GW-1102')
        assert told in message

    bed.run(scenario, _RULES)


@pytest.mark.parametrize('deadline', ['0', '-1', '1.5', 'soon', ''])
def test_deadline_that_is_none_is_refused(deadline: str) -> None:
    """It is named, with what is accepted."""

    async def scenario(field: bed.Bed) -> None:
        headers = {'X-Customer': 'liceo-volta', 'X-Deadline-Ms': deadline}
        status, code, message = await _refused(field, b'{}', headers)
        assert (status, code) == (400, 'GW-1101')
        assert f'X-Deadline-Ms {deadline!r}' in message
        assert 'from 1 up' in message

    bed.run(scenario)


@pytest.mark.parametrize('body', [b'', b'not json', b'[1]', b'\xff\xfe'])
def test_body_that_is_no_json_object_is_refused(body: bytes) -> None:
    """The message says so, whatever the bytes are."""

    async def scenario(field: bed.Bed) -> None:
        headers = {'X-Customer': 'liceo-volta'}
        status, code, message = await _refused(field, body, headers)
        assert (status, code) == (400, 'GW-1101')
        assert 'JSON' in message

    bed.run(scenario)


def test_announcement_that_is_no_json_is_told_so() -> None:
    """The backend server's operator can tell what is wrong."""

    async def scenario(field: bed.Bed) -> None:
        url = f'http://{field.entry.host.cfg.backend_address}/v1/announce'
        async with field.session.post(url, data=b'x') as resp:
            assert resp.status == 400
            error = (await resp.json())['error']
            assert 'the body is not JSON' in error['message']

    bed.run(scenario)
