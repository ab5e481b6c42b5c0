"""Differences between two versions of a document, for sending.

Most changes touch one place, so the difference is what lies between the
longest common beginning and the longest common end. That is found with a
binary search over slice comparisons, a few memory compares for a document of
any size, and it is never longer than the new document.
"""

import zlib

from geraniumweir.configuration import errors
from geraniumweir.wire.gen.configuration import ttypes


def make(base: int, old: bytes, new: bytes) -> ttypes.Patch:
    """Give what turns the old bytes into the new ones.

    :param base: version of the old bytes, 0 for empty ones.

    >>> patch = make(1, b'share = 2', b'share = 30')
    >>> patch.head, patch.tail
    (8, 0)
    >>> apply(patch, b'share = 2')
    b'share = 30'
    """
    most = min(len(old), len(new))
    head = _common(old, new, most)
    tail = _common(_reversed(old), _reversed(new), most - head)
    middle = new[head : len(new) - tail]
    return ttypes.Patch(base, head, tail, zlib.compress(middle), crc(new))


def apply(patch: ttypes.Patch, old: bytes) -> bytes:
    """Turn the old bytes into the new ones.

    :raises errors.PatchError: when they aren't those it was made from.
    """
    try:
        middle = zlib.decompress(patch.middle)
    except zlib.error as exc:
        raise errors.PatchError(f'the middle is broken: {exc}') from exc
    tail = old[len(old) - patch.tail :]
    new = b''.join((old[: patch.head], middle, tail))
    if crc(new) != patch.checksum:
        raise errors.PatchError(f'made from another version {patch.base}')
    return new


def crc(text: bytes) -> int:
    """Give the checksum of a document."""
    return zlib.crc32(text)


def _reversed(text: bytes) -> bytes:
    turned = bytearray(text)
    turned.reverse()
    return bytes(turned)


def _common(one: bytes, other: bytes, most: int) -> int:
    """Count the bytes that two beginnings share, at most so many."""
    low = 0
    high = most
    while low < high:
        middle = (low + high + 1) // 2
        part = slice(low, middle)
        if one[part] == other[part]:
            low = middle
        else:
            high = middle - 1
    return low
