"""Times in pings, by which a control host knows when one was sent.

The clocks of hosts are not compared: a ping has the time of the answerer's last
answer, by its own clock, and how long ago that came.
"""

from geraniumweir.common import ids
from geraniumweir.wire import framing
from geraniumweir.wire.gen.control import ttypes

_MS = 1000


class PingTimes:
    """The last answers of control hosts, as an entry host has them.

    >>> some = PingTimes()
    >>> some.record(ids.HostId('c'), ttypes.Pong(stamp=7000), 1)
    >>> ping = ttypes.Ping()
    >>> some.fill(ids.HostId('c'), ping, 1.25)
    >>> sent_at(ping)
    7.25
    """

    def __init__(self) -> None:
        """Initialize without answers."""
        self._answers: dict[ids.HostId, tuple[int, float]] = {}

    def record(
        self, host_id: ids.HostId, pong: ttypes.Pong, now: float
    ) -> None:
        """Record an answer.

        :param now: in seconds.
        """
        if pong.stamp is not None:
            self._answers[host_id] = (pong.stamp, now)

    def fill(self, host_id: ids.HostId, ping: ttypes.Ping, now: float) -> None:
        """Add the times to a ping that is about to be sent.

        None are added where the last answer is weeks old.
        """
        answer = self._answers.get(host_id)
        if answer is not None:
            stamped, received_at = answer
            since_ms = int((now - received_at) * _MS)
            if since_ms <= framing.MAX_INT32:
                ping.stamp = stamped
                ping.since_ms = since_ms


def stamp(now: float) -> int:
    """Return the time of an answer.

    :param now: in seconds.
    """
    return int(now * _MS)


def sent_at(ping: ttypes.Ping) -> float | None:
    """Return when a ping was sent at the earliest, by the answerer's clock.

    :returns: in seconds; None if it answers nothing.
    """
    if ping.stamp is None or ping.since_ms is None:
        return None
    return (ping.stamp + ping.since_ms) / _MS
