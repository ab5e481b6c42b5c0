"""Short notices broadcast to every host, such as quarantined fingerprints.

The payload is opaque here. Delegates forward a notice as soon as they first
receive it (:mod:`geraniumweir.membership.dissemination`). Heartbeats and
digests carry a fingerprint of all active notices, so that a host that missed
one requests it. A notice expires after its time.
"""

import dataclasses

import reactivex
import xxhash
from geraniumweir.membership import errors
from geraniumweir.wire.gen.membership import ttypes
from reactivex import subject

MAX_PAYLOAD = 256
MAX_ACTIVE = 1024
MAX_SECONDS = 3600.0
MAX_IN_MESSAGE = 256
# Expiry times of one notice differ between hosts by less than this.
_EXPIRY_SLACK_SECONDS = 2.0
_MS_PER_SECOND = 1000
_ID_MASK = 0x7FFFFFFFFFFFFFFF
_HASH_MASK = 0x7FFFFFFF


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """A payload with its expiry.

    :ivar expires_at: in seconds on this host's clock.
    """

    notice_id: int
    payload: bytes
    expires_at: float


class NoticeStore:
    """Store of the active notices."""

    def __init__(self) -> None:
        """Initialize without notices."""
        self._active: dict[int, Notice] = {}
        self._arrivals: subject.Subject[Notice] = subject.Subject()

    @property
    def arrivals(self) -> reactivex.Observable[Notice]:
        """Return the stream of notices that are new to this host."""
        return self._arrivals

    def add(self, payload: bytes, seconds: float, now: float) -> Notice | None:
        """Add a notice or extend an active one.

        :param seconds: time until it expires.
        :returns: the notice where it is new here or was extended by at least
            the slack between hosts' expiry times, else None.
        :raises errors.NoticeError: when the payload is too large.
        """
        if len(payload) > MAX_PAYLOAD:
            raise errors.NoticeError(
                f'notice has {len(payload)} bytes; the limit is {MAX_PAYLOAD}',
            )
        notice_id = xxhash.xxh3_64_intdigest(payload) & _ID_MASK
        expires_at = now + min(seconds, MAX_SECONDS)
        known = self._active.get(notice_id)
        if seconds <= 0 or (
            known and expires_at < known.expires_at + _EXPIRY_SLACK_SECONDS
        ):
            return None
        notice = Notice(notice_id, payload, expires_at)
        self._active[notice_id] = notice
        self._evict()
        if known is None:
            self._arrivals.on_next(notice)
        return notice

    def active(self, now: float) -> list[Notice]:
        """Remove expired notices; return the active ones, sorted by id."""
        expired = [
            notice.notice_id
            for notice in self._active.values()
            if notice.expires_at <= now
        ]
        for notice_id in expired:
            self._active.pop(notice_id)
        return sorted(self._active.values(), key=_key)

    def fingerprint(self, now: float) -> int | None:
        """Return a fingerprint of the active notices, None without any.

        Notices about to expire are left out, as they don't expire at the same
        instant on all hosts.
        """
        mixed = 0
        for notice in self.active(now):
            if notice.expires_at - now > _EXPIRY_SLACK_SECONDS:
                mixed ^= notice.notice_id
        return mixed & _HASH_MASK or None

    def _evict(self) -> None:
        if len(self._active) > MAX_ACTIVE:
            first = min(self._active.values(), key=_expiry)
            self._active.pop(first.notice_id)


def write(notices: list[Notice], now: float) -> ttypes.Notices:
    """Return a message with notices and the time left of each."""
    return ttypes.Notices(
        [
            ttypes.Notice(
                notice.notice_id,
                notice.payload,
                int((notice.expires_at - now) * _MS_PER_SECOND),
            )
            for notice in notices[:MAX_IN_MESSAGE]
        ],
    )


def read(
    message: ttypes.Notices,
    store: NoticeStore,
    now: float,
) -> list[Notice]:
    """Add the notices of a message to a store.

    :returns: those that were new here or extended.
    """
    added = [
        store.add(bytes(entry.payload), entry.left_ms / _MS_PER_SECOND, now)
        for entry in message.notices[:MAX_IN_MESSAGE]
    ]
    return [notice for notice in added if notice is not None]


def _key(notice: Notice) -> int:
    return notice.notice_id


def _expiry(notice: Notice) -> float:
    return notice.expires_at
