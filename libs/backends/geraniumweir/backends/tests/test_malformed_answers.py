"""Answers whose head or framing no server should send are none."""

import pytest
from geraniumweir.backends import errors
from geraniumweir.backends.tests import raw_answers

_FIELDS = b'Signed: yes\r\nId: r1\r\n'
_BODY = b'Content-Length: 5\r\n\r\nhello'
_STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
_CONTROLS = [bytes((number,)) for number in (*range(0x21), 0x7F)]
_CHUNKS = b'5\r\nhello\r\n0\r\n\r\n'
# Names of fields, each with its value and the body behind the head.
_NAMES = {
    b'X-Name': (b'v', b'hello'),
    b'Content-Length': (b'5', b'hello, and more'),
    b'Transfer-Encoding': (b'chunked', _CHUNKS),
}


@pytest.fixture(autouse=True, params=list(raw_answers.PARSERS))
def _parser(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Read answers with one of the library's parsers."""
    raw_answers.use_parser(request.param, monkeypatch)


def _with_status(status: str) -> bytes:
    line = f'HTTP/1.1 {status} Text\r\n'.encode()
    return b''.join((line, _FIELDS, _BODY))


@pytest.mark.parametrize(
    'status', ['000', '001', '099', '101', '600', '700', '999']
)
def test_status_out_of_range_is_no_answer(status: str) -> None:
    """It was an answer like any other."""
    got = raw_answers.read(_with_status(status))
    assert isinstance(got, errors.BrokenError)


@pytest.mark.parametrize('status', ['000', '099', '101'])
def test_answer_behind_a_status_out_of_range_is_not_read(status: str) -> None:
    """Only interim answers come before another one."""
    first = f'HTTP/1.1 {status} Text\r\n\r\n'.encode()
    got = raw_answers.read(b''.join((first, _with_status('200'))))
    assert isinstance(got, errors.BrokenError)


@pytest.mark.parametrize('status', ['200', '299', '300', '418', '500', '599'])
def test_status_in_range_is_an_answer(status: str) -> None:
    """Also where it has no registered meaning."""
    got = raw_answers.read(_with_status(status))
    assert got == (int(status), b'hello')


def _with_names(name: bytes, inserted: bytes) -> list[bytes]:
    """List answers in which one name has some more bytes.

    They are at its begin, within it or at its end; the line is the first or the
    last, without and with the length of the body.
    """
    text, body = _NAMES[name]
    middle = len(name) // 2
    names = (
        b''.join((inserted, name)),
        b''.join((name[:middle], inserted, name[middle:])),
        b''.join((name, inserted)),
    )
    lines = [b'%b: %b\r\n' % (one, text) for one in names]
    length = b'Content-Length: %d\r\n' % len(body)
    orders = [
        order for line in lines for order in ((line, _FIELDS), (_FIELDS, line))
    ]
    heads = [b''.join((_STATUS_LINE, *order)) for order in orders]
    return [
        b''.join((head, framing, b'\r\n', body))
        for head in heads
        for framing in (b'', length)
    ]


def _taken(answers: list[bytes]) -> list[object]:
    """List what was taken for an answer, with its bytes."""
    sent = [raw_answers.Sent(answer) for answer in answers]
    found = raw_answers.read_all(sent)
    return [
        (answer, got)
        for answer, got in zip(answers, found, strict=True)
        if not isinstance(got, errors.BrokenError)
    ]


@pytest.mark.parametrize('name', list(_NAMES))
def test_name_with_a_blank_or_a_control_byte_is_no_answer(name: bytes) -> None:
    """Its line was passed on, or the body was another than the server's."""
    answers = [
        answer
        for inserted in _CONTROLS
        for answer in _with_names(name, inserted)
    ]
    assert not _taken(answers)


@pytest.mark.parametrize(
    'line',
    [
        b'no colon',
        b': no name',
        b'X-Name: a\rb',
        b'X-Name: a\r',
        b'X-Name: a\x00b',
        b'X-Name: a\x01b',
        b'X-Name: a\x7fb',
        b'X-Name: a\nb',
        b'X-Name: a\r\n b',
        b'X-Name: a\r\n\tContent-Length: 3',
        b'X-Name: a\n',
    ],
)
def test_malformed_line_of_a_head_is_no_answer(line: bytes) -> None:
    """What a head means depends on who reads such a line."""
    before = (_STATUS_LINE, line, b'\r\n', _FIELDS, _BODY)
    behind = (_STATUS_LINE, _FIELDS, line, b'\r\n', _BODY)
    assert not _taken([b''.join(before), b''.join(behind)])


@pytest.mark.parametrize(
    'line',
    [
        b'HTTP/1.1  200 OK',
        b'HTTP/1.1\t200 OK',
        b'HTTP/1.1 200\tOK',
        b'HTTP/1.1 200 O\x00K',
        b'HTTP/1.1 200 O\rK',
        b'HTTP/0.9 200 OK',
        b'HTTP/1.2 200 OK',
        b'HTTP/2.0 200 OK',
        b'RTSP/1.0 200 OK',
        b' HTTP/1.1 200 OK',
        b'\r\nHTTP/1.1 200 OK',
    ],
)
def test_malformed_status_line_is_no_answer(line: bytes) -> None:
    """One of the two parsers took each of them."""
    assert not _taken([b''.join((line, b'\r\n', _FIELDS, _BODY))])


@pytest.mark.parametrize(
    'line',
    [
        b'X-Name:',
        b'X-Name:v',
        b'X-Name: \t v \t',
        b'X-Name: a: b',
        b'X-Name: \xc3\xa9\xff',
        b"!#$%&'*+-.^_`|~09azAZ: v",
    ],
)
def test_well_formed_lines_are_an_answer(line: bytes) -> None:
    """RFC 9110, section 5, has more of them than servers use."""
    answer = b''.join((_STATUS_LINE, _FIELDS, line, b'\r\n', _BODY))
    assert raw_answers.read(answer) == (200, b'hello')


@pytest.mark.parametrize(
    'line', [b'HTTP/1.1 200', b'HTTP/1.1 200 ', b'HTTP/1.0 200 \xc3\xa9 ok']
)
def test_reason_may_be_missing_or_any_text(line: bytes) -> None:
    """No server is refused for it."""
    answer = b''.join((line, b'\r\n', _FIELDS, _BODY))
    assert raw_answers.read(answer) == (200, b'hello')


def test_head_that_comes_byte_by_byte_is_checked() -> None:
    """Each line is known at its last byte only."""
    good = b''.join((_STATUS_LINE, _FIELDS, _BODY))
    bad = b''.join((_STATUS_LINE, _FIELDS, b'X Y: v\r\n', _BODY))
    sent = [raw_answers.Sent(answer, bytewise=True) for answer in (good, bad)]
    found = raw_answers.read_all(sent)
    assert found[0] == (200, b'hello')
    assert isinstance(found[1], errors.BrokenError)


@pytest.mark.parametrize(
    'coding',
    [
        b'gzip',
        b'gzip, chunked',
        b'chunked, gzip',
        b'chunked, chunked',
        b'chunked\r\nTransfer-Encoding: chunked',
        b'unknown',
        b'xchunked',
        b'',
    ],
)
def test_answer_in_an_unknown_transfer_coding_is_none(coding: bytes) -> None:
    """Its body was passed on as it came, without the name of the coding."""
    line = b'Transfer-Encoding: %b\r\n\r\n' % coding
    assert not _taken([b''.join((_STATUS_LINE, _FIELDS, line, _CHUNKS))])


def test_identity_is_no_coding() -> None:
    """The body is as it came, and ends with its connection."""
    line = b'Transfer-Encoding: identity\r\n\r\n'
    answer = b''.join((_STATUS_LINE, _FIELDS, line, b'hello'))
    assert raw_answers.read(answer) == (200, b'hello')


@pytest.mark.parametrize('second', [b'5', b'3'])
def test_answer_with_two_lengths_is_none(second: bytes) -> None:
    """One of the two parsers took the first."""
    line = b'Content-Length: %b\r\n' % second
    assert not _taken([b''.join((_STATUS_LINE, _FIELDS, line, _BODY))])


@pytest.mark.parametrize('coding', [b'chunked', b'Chunked', b'CHUNKED'])
def test_chunks_are_an_answer(coding: bytes) -> None:
    """The name of a coding is case-insensitive."""
    line = b'Transfer-Encoding: %b\r\n\r\n' % coding
    answer = b''.join((_STATUS_LINE, _FIELDS, line, _CHUNKS))
    assert raw_answers.read(answer) == (200, b'hello')


@pytest.mark.parametrize(
    'chunks',
    [
        b'+5\r\nhello\r\n0\r\n\r\n',
        b'0x5\r\nhello\r\n0\r\n\r\n',
        b'\r\nhello\r\n0\r\n\r\n',
        b'5\r\nhelloworld\r\n0\r\n\r\n',
        b'5\r\nhello\r\nx\r\n\r\n',
        b'5\r\nhello\r\n0\r\nX Y: v\r\n\r\n',
        b'fffffffffffffffffff\r\nhello\r\n0\r\n\r\n',
    ],
)
def test_malformed_chunk_ends_an_answer_at_once(chunks: bytes) -> None:
    """Its reader waited for the rest until its own time limit."""
    framing = b'Transfer-Encoding: chunked\r\n\r\n'
    answer = b''.join((_STATUS_LINE, _FIELDS, framing, chunks))
    got = raw_answers.read(answer)
    assert isinstance(got, errors.CutShortError)
