"""Slot requests and their answers as messages."""

from geraniumweir.common import ids
from geraniumweir.scheduling import limits, requests, translation
from geraniumweir.wire import framing
from geraniumweir.wire.gen.scheduling import ttypes

_KEY = 'pool', 'rule'
_LIMITS = limits.Limits(rate_per_s=1e-9)


# The denial couldn't be sent, so that the caller got no answer of the rule.
def test_denial_by_a_tiny_rate_can_be_sent() -> None:
    """The wait of 31 years is cut to what the message holds."""
    limiter = limits.Limiter()
    first, second = (ids.RequestId(name) for name in 'ab')
    limiter.arrive(first, _KEY, _LIMITS, 0)
    breach = limiter.arrive(second, _KEY, _LIMITS, 0)
    assert breach is not None
    denial = requests.Denial(
        second, requests.DenialReason.rule_limit, breach.retry_after_ms
    )
    sent = framing.encode(translation.pack_denial(denial))
    assert framing.decode(ttypes.Denial, sent).retry_after_ms == 2**31 - 1
