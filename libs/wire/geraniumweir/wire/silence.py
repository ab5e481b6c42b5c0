"""Decides whether a connection has stopped delivering.

An open connection may lose all packets while new ones work: a firewall forgot
it, or its path was cut and the kernel's next retransmission is seconds away.
Load: one decision for each message and each call that times out, up to some
thousand a second on a coordinator of hundreds of hosts.
"""

# A lost packet is sent again after 0.2 s, and its answer takes milliseconds.
SILENCE_SECONDS = 0.5


class SilenceDetector:
    """Detects that calls on one connection are not answered.

    A slow handler is no sign of it: any received bytes count.

    :ivar is_silent: whether a call timed out after such a silence.
    """

    def __init__(self) -> None:
        """Initialize for a connection on which nothing was sent."""
        self.is_silent = False
        self._waits_since: float | None = None
        self._received_at = float('-inf')

    def call_sent(self, now: float) -> None:
        """Record a call.

        :param now: in seconds.
        """
        if self._waits_since is None:
            self._waits_since = now

    def received(self, now: float) -> bool:
        """Record bytes; return whether the connection was taken for silent.

        :param now: in seconds.
        """
        was_silent = self.is_silent
        self.is_silent = False
        self._waits_since = None
        self._received_at = now
        return was_silent

    def call_timed_out(self, sent_at: float, now: float) -> None:
        """Decide after a call without an answer.

        :param sent_at: when that call was sent, in seconds.
        :param now: in seconds.

        >>> detector = SilenceDetector()
        >>> detector.call_sent(1.0)
        >>> detector.call_timed_out(1.0, 1.4)
        >>> detector.is_silent
        False
        >>> detector.call_timed_out(1.2, 1.6)
        >>> detector.is_silent, detector.received(1.7), detector.is_silent
        (True, True, False)
        """
        since = max(sent_at, self._received_at)
        if self._waits_since is not None:
            since = min(since, self._waits_since)
        self.is_silent = self.is_silent or now - since >= SILENCE_SECONDS
