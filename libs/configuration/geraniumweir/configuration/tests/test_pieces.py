"""Reading only what changed gives the same as reading the whole."""

import dataclasses
import typing

import hypothesis
import pytest
from geraniumweir.configuration import document, errors, pieces, reading
from hypothesis import strategies

_Outcome = document.Document | list[errors.Fault]
_CUSTOMER = '[[customer]]\nname = "c{0}"\nshare = {0}\n'
_RULE = (
    '[[rule]]\nname = "r{0}"\nwhen = {{ customer = ["c{0}"] }}\n'
    'then = {{ route = "p1", tier = 1 }}\n'
)
_SECTIONS = (
    '[[rule]]\nname = "s{0}"\n[rule.when]\npath = "/v1/*"\n'
    '[rule.then]\nroute = "p{0}"\n'
)
_DIGEST = 'a' * 64
_KEYED = '[[customer]]\nname = "{0}"\nkey_sha256 = "{1}"\n'
_POOL = '[[pool]]\nname = "p{0}"\n'
_BLOCKS = (
    _CUSTOMER,
    _KEYED.format('d{0}', _DIGEST),
    _RULE,
    _SECTIONS,
    _POOL,
    '  [[pool]] # kept\nname = "p{0}"\nkind = "service"\n\n',
    '[[server]]\nid = "v{0}"\ndrain = true\n# [[server]]\n',
    '[[server]]\nid = "[[pool]]{0}"\n',
)
_UNUSUAL = (
    '[[customer]]\nname = """\n[[pool]]"""\n',
    "[[server]]\nid = 'a'\nnote = '''\n[[pool]]\nname = \"n\"\n'''\n",
    '[[rule]]\nname = "o"\nthen = { refuse = "no" }\n[[ pool ]]\nname = "i"\n',
    '[["pool"]]\nname = "quoted"\n',
    '[pool]\nname = "single"\n',
    '[pool.inner]\nname = "dotted"\n',
    '[[rule.when]]\npath = "/v1/*"\n',
    '[customer.more]\nshare = 1\n',
    'share = 1\n',
    'pool = [{ name = "inline" }]\n',
    '[[pool]]\nname = [\n[[pool]]\n]\n',
    '[[pool]]\nname = "p1"\nextra = 1\n',
    '[[customer]]\nshare = 1\n',
    _KEYED.format('k', _DIGEST),
    '[[customer]]\nname = "half \ud800"\n',
    '[[pol]]\nname = "x"\n',
    '[[pool]]\r\nname = "p9"\r\n',
    '# only a remark\n',
    '[[pool]]\nname = "open\n',
    '[[pool]] [[pool]]\n',
    '[[pool]]\nname = "no break at the end"',
)
_numbers = strategies.integers(1, 4)
_usual = strategies.builds(
    str.format, strategies.sampled_from(_BLOCKS), _numbers
)
_any = _usual | _usual | strategies.sampled_from(_UNUSUAL)


@dataclasses.dataclass(frozen=True, slots=True)
class _Edit:
    """Replaces some blocks from a place on by others."""

    place: int
    removed: int
    added: list[str]


_edits = strategies.builds(
    _Edit,
    strategies.integers(0, 12),
    strategies.integers(0, 2),
    strategies.lists(_any, max_size=2),
)


def _edited(blocks: list[str], edit: _Edit) -> list[str]:
    end = edit.place + edit.removed
    return [*blocks[: edit.place], *edit.added, *blocks[end:]]


def _outcome(
    read: typing.Callable[[str], document.Document],
    text: str,
) -> _Outcome:
    try:
        return read(text)
    except errors.DocumentError as exc:
        return list(exc.faults)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    strategies.lists(_usual, max_size=10),
    strategies.lists(_edits, min_size=1, max_size=5),
)
def test_edits_read_as_the_whole(
    blocks: list[str],
    edits: list[_Edit],
) -> None:
    """Documents, faults and their lines, one edit after the other."""
    reading.forget()
    for edit in edits:
        text = ''.join(blocks)
        assert _outcome(reading.read, text) == _outcome(
            reading.read_whole,
            text,
        )
        blocks = _edited(blocks, edit)


@pytest.mark.parametrize('unusual', _UNUSUAL)
def test_unusual_text_reads_as_the_whole(unusual: str) -> None:
    """Before, between and behind tables that were read already."""
    usual = [block.format(1) for block in (_CUSTOMER, _RULE, _SECTIONS, _POOL)]
    reading.forget()
    reading.read(''.join(usual))
    for place in range(len(usual) + 1):
        text = ''.join((*usual[:place], unusual, *usual[place:]))
        expected = _outcome(reading.read_whole, text)
        assert _outcome(reading.read, text) == expected


class _Seen:
    """Notes what is read."""

    def __init__(self) -> None:
        self.texts: list[str] = []

    def read(self, text: str) -> pieces.Piece:
        self.texts.append(text)
        return pieces.Piece(text, 'pool', text, None)


def test_only_what_changed_is_read() -> None:
    """And nothing of the two documents read last is read again."""
    seen = _Seen()
    kept = pieces.Pieces()
    texts = [f'[[pool]]\nname = "{number}"\n' for number in range(5)]
    for chosen in (texts[:3], texts[1:4], texts[:1], texts[:4]):
        kept.read(''.join(chosen), seen.read)
    assert seen.texts == texts[:4]
    kept.read(texts[0], seen.read)
    kept.read(texts[0], seen.read)
    # Two documents later the others are forgotten.
    kept.read(texts[1], seen.read)
    assert seen.texts == [*texts[:4], texts[1]]


def test_read_tables_are_taken_over() -> None:
    """A change of one customer leaves all others as they were."""
    before = ''.join(_CUSTOMER.format(number) for number in range(1, 9))
    first = reading.read(before)
    after = reading.read(before.replace('share = 4', 'share = 40'))
    taken = [
        old is new
        for old, new in zip(first.customers, after.customers, strict=True)
    ]
    assert taken.count(False) == 1
    assert after.customers[3].share == 40
