"""Digests of enrolments by bucket, to find where two hosts differ.

Servers are assigned to buckets by a hash of their id; the digest of a bucket is
the XOR of its servers' hashes [1]_, so a change costs the same whatever the
number of servers. Two hosts that exchange their digests need to exchange only
the servers of buckets that differ, whatever they received from whom before.

References
==========
.. [1] M. Bellare, D. Micciancio, "A New Paradigm for Collision-Free Hashing:
   Incrementality at Reduced Cost", EUROCRYPT 1997.
"""

import array
import sys
import typing

import xxhash
from geraniumweir.common import ids

# With 3,000 servers a bucket has twelve, and all digests take a kilobyte.
NUMBER = 256
_DIGEST_BITS = 32
_DIGEST_MASK = (1 << _DIGEST_BITS) - 1
_ARRAY_TYPE: typing.Final = 'I'
_TOTAL_BYTES = NUMBER * _DIGEST_BITS // 8


def bucket_of(server_id: ids.ServerId) -> int:
    """Return the bucket of a server."""
    return xxhash.xxh3_64_intdigest(server_id.encode()) % NUMBER


def digest_of(content: str) -> int:
    """Return the digest of what hosts compare of a server."""
    return xxhash.xxh3_64_intdigest(content.encode()) & _DIGEST_MASK


class BucketDigests:
    """The digests of all buckets of one host.

    >>> some, other = BucketDigests(), BucketDigests()
    >>> some.toggle(3, digest_of('server 1'))
    >>> some.differing(other.to_bytes())
    [3]
    >>> other.toggle(3, digest_of('server 1'))
    >>> some.differing(other.to_bytes())
    []
    """

    def __init__(self) -> None:
        """Initialize without servers."""
        self._digests = array.array(_ARRAY_TYPE, bytes(_TOTAL_BYTES))

    def toggle(self, bucket: int, digest: int) -> None:
        """Add the digest of a server, or remove one that was added before."""
        self._digests[bucket] ^= digest

    def to_bytes(self) -> bytes:
        """Return the digests, as another host compares them."""
        return _little_endian(self._digests).tobytes()

    def differing(self, other: bytes) -> list[int]:
        """Return the buckets that differ from those of another host.

        :returns: all buckets if the other host's digests are unreadable.
        """
        if len(other) != _TOTAL_BYTES:
            return list(range(NUMBER))
        received = array.array(_ARRAY_TYPE)
        received.frombytes(other)
        pairs = zip(self._digests, _little_endian(received), strict=True)
        return [
            bucket
            for bucket, (own, others) in enumerate(pairs)
            if own != others
        ]


def _little_endian(digests: 'array.array[int]') -> 'array.array[int]':
    if sys.byteorder == 'little':
        return digests
    swapped = array.array(_ARRAY_TYPE, digests)
    swapped.byteswap()
    return swapped
