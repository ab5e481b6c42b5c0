"""Short notices that every host hears of, such as quarantined fingerprints.

The bytes are opaque here. A notice is sent on at once by whoever first hears
of it; fingerprints of all notices travel in heartbeats and digests, so that a
host that missed one asks for it. A notice counts for a time and is gone.
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
_EXPIRY_SLACK_SECONDS = 2.0
_MS_PER_SECOND = 1000
_ID_MASK = 0x7FFFFFFFFFFFFFFF
_HASH_MASK = 0x7FFFFFFF


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """Opaque bytes that count until a time on this host's clock."""

    notice_id: int
    payload: bytes
    expires_at: float


class NoticeStore:
    """The notices that count at the moment."""

    def __init__(self) -> None:
        """Start empty."""
        self._active: dict[int, Notice] = {}
        self._arrivals: subject.Subject[Notice] = subject.Subject()

    @property
    def arrivals(self) -> reactivex.Observable[Notice]:
        """Give the stream of notices that are new to this host."""
        return self._arrivals

    def add(self, payload: bytes, seconds: float, now: float) -> Notice | None:
        """Put up a notice.

        :param seconds: how long it counts from now.
        :returns: the notice where it is new here or counts clearly longer
            than before, else None.
        :raises errors.NoticeError: when it is too large.
        """
        if len(payload) > MAX_PAYLOAD:
            raise errors.NoticeError(
                f'a notice of {len(payload)} bytes; at most {MAX_PAYLOAD}',
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
        """List the notices that count, by id, and drop the others."""
        expired = [
            notice.notice_id
            for notice in self._active.values()
            if notice.expires_at <= now
        ]
        for notice_id in expired:
            self._active.pop(notice_id)
        return sorted(self._active.values(), key=_key)

    def fingerprint(self, now: float) -> int | None:
        """Give a fingerprint of what counts, or None where nothing does.

        Notices about to end are left out, as hosts don't drop them at the
        same instant.
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
    """Turn notices into a message, with the time they still count."""
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
    """Put up the notices of a message.

    :returns: those that were new here.
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
