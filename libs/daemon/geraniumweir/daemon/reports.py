"""What backend servers report: their load and their cache's events.

Reports come late, repeated, out of order and with gaps; all of it is handed
on as it is, with its age. A server's clock is not ours: of all reports of one
incarnation the one that came soonest after its measuring counts as fresh, and
the age of the others is told against it.
"""

import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import requests

_MAX_AGE_SECONDS = 3600.0

Payload = typing.Mapping[str, typing.Any]


class ClockOffsets:
    """How far the clocks of servers are from ours, at least.

    >>> offsets = ClockOffsets()
    >>> server = ids.ServerId('a')
    >>> offsets.age(server, measured_at=1000.0, now=10.0)
    0.0
    >>> offsets.age(server, measured_at=1001.0, now=13.0)
    2.0
    """

    def __init__(self) -> None:
        """Start knowing none."""
        self._min_offsets: dict[ids.ServerId, float] = {}

    def age(
        self,
        server_id: ids.ServerId,
        measured_at: float,
        now: float,
    ) -> float:
        """Tell how old a measurement is.

        :param measured_at: on the server's clock, in seconds.
        :param now: on ours, in seconds.
        """
        offset = now - measured_at
        min_offset = min(self._min_offsets.get(server_id, offset), offset)
        self._min_offsets[server_id] = min_offset
        return min(offset - min_offset, _MAX_AGE_SECONDS)

    def discard(self, server_id: ids.ServerId) -> None:
        """Drop what is known of a server that started anew."""
        self._min_offsets.pop(server_id, None)


def read_load(
    payload: Payload,
    offsets: ClockOffsets,
    now: float,
) -> requests.LoadReport | None:
    """Read the load out of a report.

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
    """Read the cache's events out of a report.

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
