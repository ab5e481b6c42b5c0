"""Parsers for the values of settings; each error says what is accepted.

>>> [str(address) for address in addresses('10.0.0.1:7404, 10.0.0.2:7404')]
['10.0.0.1:7404', '10.0.0.2:7404']
"""

import os
import pathlib
import re
import typing

from geraniumweir.common import ids

Read = typing.TypeVar('Read')

_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
_RECORDER_COUNTS = frozenset((1, 3, 5, 7))


def name(text: str) -> str:
    """Return the name of a host, failure domain or region.

    :raises ValueError: when it is not a valid name.

    >>> name('gent-hal-a')
    'gent-hal-a'
    """
    if _NAME.fullmatch(text) is None:
        raise ValueError(
            f'{text!r} is not 1 to 64 letters, digits, dots, hyphens or '
            'underscores, the first a letter or digit',
        )
    return text


def seconds(text: str) -> float:
    """Return a duration in seconds.

    :raises ValueError: when it is not a finite number from 0 up.

    >>> seconds('2.5')
    2.5
    """
    return _number(text, float('inf'), 'a number of seconds from 0 up')


def milliseconds(text: str) -> float:
    """Return a duration in milliseconds.

    :raises ValueError: when it is not a number from 0 to 1000.

    >>> milliseconds('0.5')
    0.5
    """
    return _number(text, 1000, 'a number of ms from 0 to 1000')


def share(text: str) -> float:
    """Return a share.

    :raises ValueError: when it is not a number from 0 to 1.

    >>> share('0.01')
    0.01
    """
    return _number(text, 1, 'a number from 0 to 1')


def path(text: str) -> str:
    """Return the path of a file or folder.

    :raises ValueError: when it is empty.
    """
    if not text.strip():
        raise ValueError(f'{text!r} is not a path')
    return text


def addresses(text: str) -> tuple[ids.Address, ...]:
    """Return a list of addresses; an empty text is an empty list.

    :raises ValueError: naming the part that is not an address.
    """
    return tuple(ids.parse_address(part) for part in _parts(text))


def recorders(text: str) -> dict[ids.HostId, ids.Address]:
    """Return the first recorders.

    :raises ValueError: naming the invalid part.

    >>> list(recorders('entry-1=10.0.0.1:7404'))
    ['entry-1']
    """
    found: dict[ids.HostId, ids.Address] = {}
    for part in _parts(text):
        host, sign, address = part.partition('=')
        if not sign:
            raise ValueError(f'{part!r} is not ID=IP:PORT')
        host_id = ids.HostId(name(host.strip()))
        if host_id in found:
            raise ValueError(f'{host_id!r} is listed twice in {text!r}')
        found[host_id] = ids.parse_address(address.strip())
    if found and len(found) not in _RECORDER_COUNTS:
        raise ValueError(f'{text!r} names {len(found)}, not 1, 3, 5 or 7')
    if len(set(found.values())) < len(found):
        raise ValueError(f'{text!r} gives two recorders one address')
    return found


def folder_fault(folder: str) -> str | None:
    """Create a folder where it is missing.

    :returns: why it can't be used, or None.
    """
    try:
        pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    except OSError as exc:
        return f'{folder!r} is a folder that can not be created: {exc.strerror}'
    if not os.access(folder, os.R_OK | os.W_OK | os.X_OK):
        return f'{folder!r} is not a writable folder'
    return None


def file_fault(file: str) -> str | None:
    """Try to open a file for appending.

    :returns: why it can't be used, or None.
    """
    try:
        pathlib.Path(file).open('ab').close()
    except OSError as exc:
        return f'{file!r} is not a writable file: {exc.strerror}'
    return None


def _parts(text: str) -> list[str]:
    return [part.strip() for part in text.split(',') if part.strip()]


def _number(text: str, top: float, accepted: str) -> float:
    try:
        number = float(text)
    except ValueError:
        raise ValueError(f'{text!r} is not {accepted}') from None
    if not 0 <= number <= top or number == float('inf'):
        raise ValueError(f'{text!r} is not {accepted}')
    return number
