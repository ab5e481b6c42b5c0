"""Answers that end within their head or body are never taken for whole."""

import itertools

import pytest
from geraniumweir.backends import errors
from geraniumweir.backends.tests import raw_answers

_HEAD = b'Signed: yes\r\nId: r1\r\nContent-Type: text/plain\r\n'
_INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
_OK = b'HTTP/1.1 200 OK\r\n'
_FULL = b'HTTP/1.1 503 Full\r\nNot-Run: yes\r\n'
_LENGTH = b'Content-Length: 5\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n'
_BODY = b'\r\nhello'

_ANSWERS = {
    'length': b''.join((_OK, _HEAD, _LENGTH, _BODY)),
    'length first': b''.join((_OK, _LENGTH, _HEAD, _BODY)),
    'no body': b''.join((_OK, _HEAD, b'Content-Length: 0\r\n\r\n')),
    'chunks': b''.join((_OK, _HEAD, _CHUNKED, b'\r\n')),
    'trailer': b''.join((_OK, _HEAD, _CHUNKED, b'Sum: 1\r\n\r\n')),
    'interim': b''.join((_INTERIM, _INTERIM, _OK, _HEAD, _LENGTH, _BODY)),
    'rejection': b''.join((_FULL, _HEAD, b'Content-Length: 0\r\n\r\n')),
    'rejection with a body': b''.join((_FULL, _HEAD, _LENGTH, _BODY)),
    'failure': b''.join((b'HTTP/1.1 500 Failed\r\n', _HEAD, _LENGTH, _BODY)),
}
# Not all parsers read these.
_ODD_ANSWERS = {
    'folded': b''.join((_OK, b'Long: a\r\n b\r\n', _HEAD, _LENGTH, _BODY)),
    'bare line feeds': _ANSWERS['length'].replace(b'\r\n', b'\n'),
}
# Ends with its connection, so that only its head shows where it was cut.
_UNFRAMED = b''.join((_OK, _HEAD, b'\r\n'))


@pytest.fixture(name='parser', params=list(raw_answers.PARSERS))
def _parser(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> str:
    """Read answers with one of the library's parsers."""
    name = str(request.param)
    raw_answers.use_parser(name, monkeypatch)
    return name


def _cuts(answer: bytes, last: int) -> list[raw_answers.Sent]:
    """List all ways to cut an answer before some byte."""
    flags = (False, True)
    return [
        raw_answers.Sent(answer, *rest)
        for rest in itertools.product(range(last), flags, flags)
    ]


@pytest.mark.parametrize('kind', [*_ANSWERS, *_ODD_ANSWERS])
@pytest.mark.usefixtures('parser')
def test_answer_that_is_cut_at_any_byte_is_not_whole(kind: str) -> None:
    """A head that stopped was forwarded as an answer with an empty body."""
    answer = {**_ANSWERS, **_ODD_ANSWERS}[kind]
    cuts = _cuts(answer, len(answer))
    found = raw_answers.read_all(cuts)
    taken = [
        (cut, one)
        for cut, one in zip(cuts, found, strict=True)
        if not isinstance(one, errors.AnswerError)
    ]
    assert not taken
    assert not any(isinstance(one, errors.NotSentError) for one in found)


@pytest.mark.usefixtures('parser')
def test_head_without_a_length_that_is_cut_is_not_whole() -> None:
    """Its end shows only with the empty line."""
    found = raw_answers.read_all(_cuts(_UNFRAMED, len(_UNFRAMED)))
    assert all(isinstance(one, errors.BrokenError) for one in found)


@pytest.mark.parametrize('kind', list(_ANSWERS))
@pytest.mark.usefixtures('parser')
def test_answers_are_whole_with_their_last_byte(kind: str) -> None:
    """The cuts before are no fault of the answers themselves."""
    answer = _ANSWERS[kind]
    found = raw_answers.read_all(
        [raw_answers.Sent(answer, apart=apart) for apart in (False, True)]
    )
    assert not any(isinstance(one, errors.AnswerError) for one in found)
