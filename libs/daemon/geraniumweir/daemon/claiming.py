"""Claims, by which a non-idempotent request runs at most once.

Such a request is claimed by its customer and ``Idempotency-Key`` before it is
dispatched; without a claim it is not dispatched. A repeat gets the state of
the first request.

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
    """No claim can be made, as no majority of the recorders answers."""

    code = 'GW-7110'


class Claim(enum.Enum):
    """Answer to a claim: granted, or the state of the first request."""

    granted = 'granted'
    done = 'done'
    running = 'running'
    unknown = 'unknown'
    mismatch = 'mismatch'


class Ending(enum.Enum):
    """Outcome of a claimed request; ``not_run`` releases the claim."""

    done = 'done'
    unknown = 'unknown'
    not_run = 'not_run'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """Key of a claim.

    :ivar key: the caller's ``Idempotency-Key``.
    """

    customer: ids.CustomerName
    key: str


class Claims(typing.Protocol):
    """Protocol for making claims and recording their outcome."""

    async def claim(
        self,
        key: ClaimKey,
        request_id: ids.RequestId,
        fingerprint: ids.Fingerprint,
    ) -> Claim:
        """Claim a request.

        :param fingerprint: fingerprint of its content; a different one under
            the same key is a mismatch.
        :raises ClaimsUnavailableError: when no claim can be made.
        """

    async def finish(
        self,
        key: ClaimKey,
        request_id: ids.RequestId,
        ending: Ending,
    ) -> None:
        """Store the outcome of a claimed request.

        :raises ClaimsUnavailableError: when it can't be stored; the claim
            then stays recorded as running.
        """


@dataclasses.dataclass(slots=True)
class _ClaimRecord:
    request_id: ids.RequestId
    fingerprint: ids.Fingerprint
    state: Claim


class LocalClaims:
    """Claims of a standalone host, kept in memory.

    The oldest ended claims are evicted above a limit; running ones never are.
    """

    def __init__(self, max_claims: int = _MAX_CLAIMS) -> None:
        """Initialize without claims.

        :param max_claims: number of claims above which ended ones are
            evicted.
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
        """Claim a request; see :class:`Claims`."""
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
        """Store the outcome; see :class:`Claims`."""
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
