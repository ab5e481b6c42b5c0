"""Until when a request may wait at its entry host without a grant.

Load: a coordinator that is frozen, lost or too busy to answer, and thousands of
requests that wait for it. A request without a word from its pool leader is
refused while its caller can still use the refusal. One that a live leader has
in its queue goes on waiting for as long as it can be served: near its limit the
leader is asked again, and each answer that it is still queued extends the wait.

All times are in seconds on the loop's clock.
"""

import dataclasses
import math

from geraniumweir.scheduling import requests

# A second attempt needs as much time as the first one had.
_ATTEMPT_FRACTION = 0.5
# A refusal arrives within this time even if its packet is lost once (first
# retransmission 0.2 s).
_REFUSAL_SECONDS = 0.25
# Even a request that is granted at once gets no answer within this time.
_LAST_GRANT_SECONDS = 0.1
# The same as a fraction of the time left, for short time limits.
_LAST_GRANT_FRACTION = 0.1
# Longest wait for the leader's answer whether it still has the request; the
# same as for a ping of the coordinator.
_CONFIRM_SECONDS = 0.4
# An answer that the request is queued extends its wait by this time: the leader
# is asked again every 0.3 to 0.4 s.
_CONFIRMED_SECONDS = 0.7
# From a coordinator's last answer until the next one grants: the longest
# silence before an election (1.0 s), the votes, and the entry hosts' search (a
# ping period and a missed answer, 0.8 s).
_REPLACED_SECONDS = 2.0
# Shortest time after which a refused caller should retry.
_MIN_RETRY_SECONDS = 0.2
_MS = 1000


@dataclasses.dataclass(slots=True)
class Wait:
    """Wait of one slot request, at one leader or several in succession.

    :ivar started_at: when the slot was requested.
    :ivar no_answer_at: when it is refused unless a live leader has it.
    :ivar ends_at: when it is refused in any case.
    :ivar deadline: when the complete response is due.
    :ivar queued_at: when a leader last answered that it is queued.
    """

    started_at: float
    no_answer_at: float
    ends_at: float
    deadline: float
    queued_at: float = -math.inf

    def refuse_at(self) -> float:
        """Return when the request is refused unless something arrives.

        >>> wait = Wait(0, no_answer_at=1, ends_at=1.8, deadline=2)
        >>> wait.refuse_at()
        1
        >>> wait.queued_at = 0.75
        >>> wait.refuse_at()
        1.45
        """
        extended = max(self.no_answer_at, self.queued_at + _CONFIRMED_SECONDS)
        return min(extended, self.ends_at)

    def confirm_at(self) -> float:
        """Return when the leader is asked whether it still has the request."""
        return self.refuse_at() - _CONFIRM_SECONDS

    def needs_confirmation(self) -> bool:
        """Return whether an answer of the leader can extend the wait."""
        return self.refuse_at() < self.ends_at

    def denial_at(
        self, slot_request: requests.SlotRequest, now: float
    ) -> requests.Denial:
        """Return the denial at the end of the wait.

        Its reason is ``too_late`` if a live leader had the request in its queue
        until now, and ``no_answer`` otherwise.
        """
        is_queued = now - self.queued_at < _CONFIRMED_SECONDS
        if is_queued:
            too_late = requests.DenialReason.too_late
            return requests.Denial(slot_request.request_id, too_late)
        return self.no_answer(slot_request, now)

    def no_answer(
        self, slot_request: requests.SlotRequest, now: float
    ) -> requests.Denial:
        """Return the denial of a request that no leader answered."""
        return requests.Denial(
            slot_request.request_id,
            requests.DenialReason.no_answer,
            math.ceil(self._retry_seconds(now) * _MS),
        )

    def _retry_seconds(self, now: float) -> float:
        """Return the seconds until another coordinator is available.

        At most half of the time left, so that the retry can be served. Callers
        don't return all at once, as each one's time starts with its request.
        """
        last_answer_at = max(self.started_at, self.queued_at)
        replaced_in = last_answer_at + _REPLACED_SECONDS - now
        remaining = max(self.deadline - now, 0)
        return min(
            max(replaced_in, _MIN_RETRY_SECONDS), remaining * _ATTEMPT_FRACTION
        )


def begin(slot_request: requests.SlotRequest, now: float) -> Wait:
    """Return the wait of a slot request that starts now.

    A stream whose caller is still connected after its patience is treated as
    one of unknown patience.

    >>> from geraniumweir.common import ids
    >>> plain = requests.SlotRequest(
    ...     ids.RequestId('r'),
    ...     ids.HostId('h'),
    ...     ids.PoolName('p'),
    ...     ids.CustomerName('c'),
    ...     ids.RuleName('u'),
    ...     ids.Tier.normal,
    ...     deadline=1.5,
    ...     streams=False,
    ... )
    >>> begin(plain, 0).no_answer_at, begin(plain, 0).ends_at
    (0.75, 1.4)
    >>> stream = dataclasses.replace(plain, deadline=12, patience=3.25)
    >>> begin(stream, 0).no_answer_at, begin(stream, 0).ends_at
    (3.0, 3.15)
    """
    remaining = max(slot_request.deadline - now, 0)
    margin = min(_LAST_GRANT_SECONDS, remaining * _LAST_GRANT_FRACTION)
    leaves_at = slot_request.patience
    if leaves_at - _REFUSAL_SECONDS <= now:
        leaves_at = math.inf
    ends_at = min(slot_request.deadline, leaves_at) - margin
    no_answer_at = min(
        now + remaining * _ATTEMPT_FRACTION, leaves_at - _REFUSAL_SECONDS
    )
    return Wait(now, min(no_answer_at, ends_at), ends_at, slot_request.deadline)
