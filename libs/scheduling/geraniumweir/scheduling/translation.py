"""Conversion between the values of :mod:`requests` and the thrift structs.

Times on a host's clock are sent as durations; unsigned hashes are sent as
thrift's signed integers.
"""

import math
import time
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import requests, stream_origins
from geraniumweir.wire import framing
from geraniumweir.wire.gen.scheduling import ttypes

_BITS = 64
_RANGE = 1 << _BITS
_SIGN_BIT = _RANGE >> 1
# The message has a byte for it.
_MIN_RANK = -128
_MAX_RANK = 127


def pack_ask(
    slot_request: requests.SlotRequest, attempt: int, now: float
) -> ttypes.Ask:
    """Return the message of a slot request."""
    return ttypes.Ask(
        request_id=slot_request.request_id,
        owner=slot_request.owner,
        pool=slot_request.pool,
        customer=slot_request.customer,
        rule=slot_request.rule,
        tier=int(slot_request.tier),
        time_left=float(slot_request.deadline - now),
        model=slot_request.model,
        prompt_tokens=slot_request.prompt_tokens,
        max_tokens=slot_request.max_tokens,
        blocks=[signed(block) for block in slot_request.blocks],
        parts=[signed(part) for part in slot_request.parts] or None,
        fingerprint=signed(slot_request.fingerprint),
        idempotent=slot_request.idempotent,
        share=float(slot_request.share),
        max_running=slot_request.max_running,
        max_waiting=slot_request.max_waiting,
        attempt=attempt,
        rate_per_s=slot_request.rate_per_s,
        streams=slot_request.streams,
        quota_cost=float(slot_request.quota_cost)
        if slot_request.quota_cost
        else None,
        target_left=_remaining(slot_request.target, now),
        rank=min(max(slot_request.rank, _MIN_RANK), _MAX_RANK),
        likely_tokens=slot_request.likely_tokens,
        patience_left=_remaining(slot_request.patience, now),
        gap=None if math.isinf(slot_request.gap) else float(slot_request.gap),
        failure_domain=slot_request.failure_domain,
        sending=slot_request.sending.value,
        version=slot_request.version,
    )


def unpack_ask(message: ttypes.Ask, now: float) -> requests.SlotRequest:
    """Read the message of a slot request.

    :raises ValueError: when there is no such tier or sending.
    """
    return requests.SlotRequest(
        request_id=ids.RequestId(message.request_id),
        owner=ids.HostId(message.owner),
        pool=ids.PoolName(message.pool),
        customer=ids.CustomerName(message.customer),
        rule=ids.RuleName(message.rule),
        tier=ids.Tier(message.tier),
        deadline=now + message.time_left,
        model=message.model,
        prompt_tokens=message.prompt_tokens,
        max_tokens=message.max_tokens,
        blocks=block_hashes(message.blocks),
        parts=prompt_parts(message.parts or ()),
        fingerprint=ids.Fingerprint(unsigned(message.fingerprint)),
        idempotent=message.idempotent,
        share=message.share,
        max_running=message.max_running,
        max_waiting=message.max_waiting,
        rate_per_s=message.rate_per_s,
        streams=message.streams is not False,
        quota_cost=message.quota_cost or 0,
        target=_time_at(message.target_left, now),
        rank=message.rank or 0,
        likely_tokens=message.likely_tokens or 0,
        patience=_time_at(message.patience_left, now),
        gap=math.inf if message.gap is None else message.gap,
        failure_domain=ids.FailureDomain(message.failure_domain or ''),
        sending=requests.Sending(message.sending or 'first'),
        version=_version(message.version),
    )


def _version(text: str | None) -> ids.SoftwareVersion | None:
    return None if text is None else ids.SoftwareVersion(text)


def _remaining(ends_at: float, now: float) -> float | None:
    return None if math.isinf(ends_at) else float(ends_at - now)


def _time_at(remaining: float | None, now: float) -> float:
    return math.inf if remaining is None else now + remaining


def pack_grant(grant: requests.Grant) -> ttypes.Grant:
    """Return the message of a grant."""
    return ttypes.Grant(
        grant.server_id,
        grant.incarnation,
        str(grant.address),
        grant.version or None,
    )


def pack_denial(denial: requests.Denial) -> ttypes.Denial:
    """Return the message of a denial."""
    return ttypes.Denial(
        denial.reason.value, min(denial.retry_after_ms, framing.MAX_INT32)
    )


def unpack_answer(
    request_id: ids.RequestId,
    answer: ttypes.AskReply | ttypes.Answer,
) -> requests.Grant | requests.Denial | None:
    """Read a grant or denial; None while the slot request waits.

    :raises ValueError: when an address or a reason is malformed.
    """
    if answer.grant is not None:
        return _unpack_grant(request_id, answer.grant)
    if answer.denial is None:
        return None
    return requests.Denial(
        request_id,
        requests.DenialReason(answer.denial.reason),
        answer.denial.retry_after_ms,
    )


def pack_open(
    grant: requests.OpenGrant,
    attempt: int,
    now: float,
) -> ttypes.OpenGrant:
    """Return the message of a grant in use."""
    return ttypes.OpenGrant(
        pack_ask(grant.slot_request, attempt, now),
        pack_grant(grant.grant),
        float(grant.age),
        grant.first_token,
        grant.output_tokens,
    )


def unpack_open(
    message: ttypes.OpenGrant,
    now: float,
) -> requests.OpenGrant:
    """Read the message of a grant in use."""
    slot_request = unpack_ask(message.ask, now)
    return requests.OpenGrant(
        slot_request,
        _unpack_grant(slot_request.request_id, message.grant),
        message.age,
        message.first_token,
        message.output_tokens,
    )


def pack_release(
    pool: ids.PoolName,
    release: requests.Release,
    attempt: int,
) -> ttypes.Release:
    """Return the message of a release."""
    return ttypes.Release(
        pool=pool,
        request_id=release.request_id,
        attempt=attempt,
        outcome=release.outcome.value,
        first_token=release.first_token,
        output_tokens=release.output_tokens,
        seconds=float(release.seconds),
        usual_gap=float(release.usual_gap) or None,
        longest_gap=float(release.longest_gap) or None,
    )


def unpack_release(message: ttypes.Release) -> requests.Release:
    """Read the message of a release."""
    return requests.Release(
        ids.RequestId(message.request_id),
        requests.Outcome(message.outcome),
        message.first_token,
        message.output_tokens,
        message.seconds,
        message.usual_gap or 0,
        message.longest_gap or 0,
    )


def pack_progress(
    pool: ids.PoolName, progress: requests.Progress
) -> ttypes.Progress:
    """Return the message of progress."""
    return ttypes.Progress(
        pool,
        progress.request_id,
        progress.first_token,
        progress.output_tokens,
        progress.begin and _pack_begin(progress.begin),
    )


def unpack_progress(message: ttypes.Progress) -> requests.Progress:
    """Read the message of progress."""
    return requests.Progress(
        ids.RequestId(message.request_id),
        message.first_token,
        message.output_tokens,
        message.begin
        and _unpack_begin(ids.PoolName(message.pool), message.begin),
    )


def _pack_begin(
    begin: stream_origins.StreamBegin,
) -> ttypes.StreamBegin | None:
    origin = begin.origin
    if origin.start is None:
        return None
    return ttypes.StreamBegin(
        signed(begin.key),
        *origin.start,
        origin.version,
        float(begin.seconds),
        None if begin.content is None else signed(begin.content),
        None if begin.customer is None else signed(begin.customer),
    )


def _unpack_begin(
    pool: ids.PoolName,
    message: ttypes.StreamBegin,
) -> stream_origins.StreamBegin:
    return stream_origins.StreamBegin(
        ids.StreamKey(unsigned(message.key)),
        stream_origins.StreamOrigin(
            pool,
            ids.SoftwareVersion(message.version),
            (
                ids.ServerId(message.server_id),
                ids.Incarnation(message.incarnation),
            ),
            time.time(),
        ),
        message.left,
        None
        if message.content is None
        else ids.StreamKey(unsigned(message.content)),
        None
        if message.customer is None
        else ids.CustomerKey(unsigned(message.customer)),
    )


def _unpack_grant(
    request_id: ids.RequestId,
    message: ttypes.Grant,
) -> requests.Grant:
    return requests.Grant(
        request_id,
        ids.ServerId(message.server_id),
        ids.Incarnation(message.incarnation),
        ids.parse_address(message.address),
        ids.SoftwareVersion(message.version or ''),
    )


def signed(number: int) -> int:
    """Convert an unsigned number of 64 bits to thrift's ``i64``.

    >>> unsigned(signed(2**64 - 1)) == 2**64 - 1
    True
    """
    return number - _RANGE if number >= _SIGN_BIT else number


def unsigned(number: int) -> int:
    """Convert a number of thrift's ``i64`` back; see :func:`signed`."""
    return number % _RANGE


def block_hashes(numbers: typing.Iterable[int]) -> tuple[ids.BlockHash, ...]:
    """Read hashes of prompt blocks."""
    return tuple(ids.BlockHash(unsigned(number)) for number in numbers)


def prompt_parts(parts: typing.Iterable[int]) -> tuple[ids.PromptPart, ...]:
    """Read hashes of prompt parts."""
    return tuple(ids.PromptPart(unsigned(part)) for part in parts)
