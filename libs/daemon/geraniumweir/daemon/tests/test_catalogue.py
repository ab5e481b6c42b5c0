"""Tests that the documented errors are those of the code."""

import importlib
import pathlib
import re
import typing

from geraniumweir.common import errors
from geraniumweir.daemon import catalogue

_ROOT = pathlib.Path(__file__).resolve().parents[5]
_ROW = re.compile(r'^\| (GW-\d{4}) \| (.*) \|$', re.MULTILINE)
_LITERAL = re.compile(r"'(GW-\d{4})'")


def _documented() -> dict[str, list[str]]:
    text = (_ROOT / 'docs' / 'ERRORS.md').read_text()
    rows = _ROW.findall(text)
    assert len({code for code, _ in rows}) == len(rows)
    return {code: cells.split(' | ') for code, cells in rows}


def _modules() -> list[pathlib.Path]:
    return [
        path
        for path in (
            *_ROOT.glob('libs/*/geraniumweir/*/**/*.py'),
            *_ROOT.glob('platform/geraniumweir/*/**/*.py'),
        )
        if {'tests', 'gen', '__main__.py'}.isdisjoint(path.parts)
    ]


def _import_everything() -> None:
    """Import every module, so that all error classes are defined."""
    for path in _modules():
        parts = path.relative_to(_ROOT).with_suffix('').parts
        parts = parts[parts.index('geraniumweir') :]
        importlib.import_module('.'.join(parts).removesuffix('.__init__'))


def _classes(root: type) -> typing.Iterator[type]:
    yield root
    for found in root.__subclasses__():
        yield from _classes(found)


def test_refusals_are_documented_as_they_are() -> None:
    """Code, status and kind of each refusal are in the page."""
    found = _documented()
    entries = {entry.code: entry for entry in catalogue.ENTRIES}
    assert len(entries) == len(catalogue.ENTRIES)
    refused = {code for code, cells in found.items() if cells[0].isdigit()}
    assert refused == set(entries)
    for code, entry in entries.items():
        assert found[code][:2] == [str(int(entry.status)), entry.kind]


def test_every_error_has_its_own_documented_code() -> None:
    """No two error classes share a code, and each code is in the page."""
    _import_everything()
    codes: dict[str, str] = {}
    for found in _classes(errors.GeraniumweirError):
        if '.tests.' in found.__module__:
            continue
        assert found.__dict__.get('code', '') not in codes, found
        if 'code' in found.__dict__:
            codes[found.code] = found.__name__
    assert set(codes) <= set(_documented())


def test_page_and_code_name_the_same_codes() -> None:
    """Each code in a module is in the page, and the page has no others."""
    named = {
        code
        for path in _modules()
        for code in _LITERAL.findall(path.read_text())
    }
    assert named == set(_documented())
