"""Reads the reports of backend servers: load and cache events.

Reports arrive late, repeated, out of order and with gaps; they are forwarded
as they are, with their age. A server's clock differs from this host's by an
unknown offset. So of all reports of one incarnation, the one with the smallest
difference between arrival and measurement counts as age 0, and the age of the
others is relative to it.
"""

import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import requests

_MAX_AGE_SECONDS = 3600.0

Payload = typing.Mapping[str, typing.Any]


class ClockOffsets:
    """Smallest difference seen between this host's and each server's clock.

    >>> offsets = ClockOffsets()
    >>> server = ids.ServerId('a')
    >>> offsets.age(server, measured_at=1000.0, now=10.0)
    0.0
    >>> offsets.age(server, measured_at=1001.0, now=13.0)
    2.0
    """

    def __init__(self) -> None:
        """Initialize without offsets."""
        self._min_offsets: dict[ids.ServerId, float] = {}

    def age(
        self,
        server_id: ids.ServerId,
        measured_at: float,
        now: float,
    ) -> float:
        """Return the age of a measurement in seconds, at most one hour.

        :param measured_at: time on the server's clock, in seconds.
        :param now: time of arrival on this host's clock, in seconds.
        """
        offset = now - measured_at
        min_offset = min(self._min_offsets.get(server_id, offset), offset)
        self._min_offsets[server_id] = min_offset
        return min(offset - min_offset, _MAX_AGE_SECONDS)

    def discard(self, server_id: ids.ServerId) -> None:
        """Discard the offset of a server that restarted."""
        self._min_offsets.pop(server_id, None)


def read_load(
    payload: Payload,
    offsets: ClockOffsets,
    now: float,
) -> requests.LoadReport | None:
    """Return the load in a report.

    :param now: time of arrival, in seconds.
    :returns: None where the report has no load.
    :raises ValueError: when a field is missing or wrong.
    """
    if 'running' not in payload:
        return None
    try:
        server_id = ids.ServerId(str(payload['server_id']))
        measured_at = float(payload.get('measured_at', now))
        return requests.LoadReport(
            server_id,
            int(payload['running']),
            int(payload.get('waiting', 0)),
            int(payload.get('kv_used', 0)),
            offsets.age(server_id, measured_at, now),
        )
    except (KeyError, TypeError) as exc:
        raise ValueError(f'no load: {exc!r}') from exc


def read_cache_events(payload: Payload) -> requests.CacheEvents | None:
    """Return the cache events in a report.

    :returns: None where the report has none.
    :raises ValueError: when a field is missing or wrong.
    """
    if 'sequence' not in payload:
        return None
    try:
        return requests.CacheEvents(
            ids.ServerId(str(payload['server_id'])),
            ids.Incarnation(int(payload.get('incarnation', 0))),
            int(payload['sequence']),
            _hashes(payload, 'stored'),
            _hashes(payload, 'evicted'),
        )
    except (KeyError, TypeError) as exc:
        raise ValueError(f'no cache events: {exc!r}') from exc


def _hashes(payload: Payload, key: str) -> tuple[ids.BlockHash, ...]:
    return tuple(ids.BlockHash(int(text)) for text in payload.get(key, ()))
