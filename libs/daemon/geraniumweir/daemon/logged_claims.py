"""Claims stored in the replicated log.

Adapts the log's claimer to the protocol :class:`claiming.Claims`.

See Also
========
geraniumweir.configuration.claims, geraniumweir.daemon.claiming
"""

from geraniumweir.common import ids
from geraniumweir.configuration import claims, claimtable, errors
from geraniumweir.daemon import claiming

# Longer than any request may run.
_TTL_SECONDS = 1800.0


class LoggedClaims:
    """Claims that are valid across all entry hosts."""

    def __init__(self, claimer: claims.Claimer) -> None:
        """Initialize from the claimer of this entry host.

        :param claimer: proposes claims to the log.
        """
        self._claimer = claimer

    async def claim(
        self,
        key: claiming.ClaimKey,
        request_id: ids.RequestId,
        fingerprint: ids.Fingerprint,
    ) -> claiming.Claim:
        """Claim a request; see :class:`claiming.Claims`."""
        try:
            answer = await self._claimer.claim(
                _call(key, request_id, fingerprint),
            )
        except errors.KeyReusedError:
            return claiming.Claim.mismatch
        except errors.ClaimError as exc:
            raise claiming.ClaimsUnavailableError(exc.message) from exc
        match answer:
            case claims.Held(state=state):
                return claiming.Claim[state.name]
            case claims.Granted():
                return claiming.Claim.granted

    async def finish(
        self,
        key: claiming.ClaimKey,
        request_id: ids.RequestId,
        ending: claiming.Ending,
    ) -> None:
        """Propose the outcome to the log without waiting for it."""
        call = _call(key, request_id, ids.Fingerprint(0))
        self._claimer.finish(call, claimtable.Outcome[ending.name])


def _call(
    key: claiming.ClaimKey,
    request_id: ids.RequestId,
    fingerprint: ids.Fingerprint,
) -> claims.Call:
    return claims.Call(
        key.customer,
        key.key,
        request_id,
        fingerprint,
        _TTL_SECONDS,
    )
