"""Claims: a non-idempotent call runs at most once.

Such a call is claimed by its customer and ``Idempotency-Key`` before it may
be dispatched. No claim, no dispatch. A repeat learns what became of the first.

References
==========
.. [1] J. Jena, S. Dalal, "The Idempotency-Key HTTP Header Field",
   draft-ietf-httpapi-idempotency-key-header.
"""

import collections
import dataclasses
import enum
import typing

from geraniumweir.common import errors, ids

_MAX_CLAIMS = 100000


class ClaimsUnavailableError(errors.GeraniumweirError):
    """No claim can be made now, for want of a majority."""

    code = 'GW-7110'


class Claim(enum.Enum):
    """The answer to a claim: granted, or what became of the first call."""

    granted = 'granted'
    done = 'done'
    running = 'running'
    unknown = 'unknown'
    mismatch = 'mismatch'


class Ending(enum.Enum):
    """How a claimed call ended; ``not_run`` gives the claim back."""

    done = 'done'
    unknown = 'unknown'
    not_run = 'not_run'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """What a claim is known by.

    :ivar key: the caller's ``Idempotency-Key``.
    """

    customer: ids.CustomerName
    key: str


class Claims(typing.Protocol):
    """Makes claims and ends them."""

    async def claim(
        self,
        key: ClaimKey,
        request_id: ids.RequestId,
        fingerprint: ids.Fingerprint,
    ) -> Claim:
        """Claim a call.

        :param fingerprint: of its content; another one under the same key
            is a mismatch.
        :raises ClaimsUnavailableError: when no claim can be made.
        """

    async def finish(
        self,
        key: ClaimKey,
        request_id: ids.RequestId,
        ending: Ending,
    ) -> None:
        """Store how a claimed call ended.

        :raises ClaimsUnavailableError: when it can't be stored; the call then
            goes on counting as running.
        """


@dataclasses.dataclass(slots=True)
class _ClaimRecord:
    request_id: ids.RequestId
    fingerprint: ids.Fingerprint
    state: Claim


class LocalClaims:
    """Claims of one host alone, kept in memory.

    It forgets the oldest ended ones when it holds too many; running ones are
    never forgotten.
    """

    def __init__(self, max_claims: int = _MAX_CLAIMS) -> None:
        """Start with no claims.

        :param max_claims: claims that are kept at a time.
        """
        self._records: collections.OrderedDict[ClaimKey, _ClaimRecord] = (
            collections.OrderedDict()
        )
        self._max_claims = max_claims

    async def claim(
        self,
        key: ClaimKey,
        request_id: ids.RequestId,
        fingerprint: ids.Fingerprint,
    ) -> Claim:
        """Claim a call; see :class:`Claims`."""
        known = self._records.get(key)
        if known is None:
            self._evict_ended()
            self._records[key] = _ClaimRecord(
                request_id, fingerprint, Claim.running
            )
            return Claim.granted
        if known.fingerprint != fingerprint:
            return Claim.mismatch
        return known.state

    async def finish(
        self,
        key: ClaimKey,
        request_id: ids.RequestId,
        ending: Ending,
    ) -> None:
        """End a claim; see :class:`Claims`."""
        known = self._records.get(key)
        if known is None or known.request_id != request_id:
            return
        match ending:
            case Ending.not_run:
                self._records.pop(key)
            case Ending.done:
                known.state = Claim.done
            case Ending.unknown:
                known.state = Claim.unknown

    def _evict_ended(self) -> None:
        for key, record in list(self._records.items()):
            if len(self._records) < self._max_claims:
                return
            if record.state is not Claim.running:
                self._records.pop(key)
