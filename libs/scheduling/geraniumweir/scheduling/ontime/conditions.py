"""Notices backend servers that are down, hang or fail, from what they do.

Reports and health checks say little of it: a server can be silent to control
hosts and work, or answer checks and hang. So a server is judged by its own
answers. One that couldn't be reached, or broke off, rests for a moment that
doubles with each repeat, then gets one request at a time until one ends well.
"""

import dataclasses

# The first rest, in seconds: a connection that was lost on the way is no
# reason to leave a server out for long; a restart takes seconds.
_FIRST_REST = 0.25
# A server that came back is tried again within this, in seconds.
_LONGEST_REST = 4.0
_GROWTH = 2
# Requests that break off on a sound server are rare; two in a row aren't.
_BREAKS_IN_ROW = 2
# Share of answers that were failures of the server itself, by a decaying
# mean over about ten answers.
_FAILURE_WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class Condition:
    """What is thought of one server.

    :ivar until: end of its rest, in seconds.
    :ivar rested_at: when its last rest began; what was sent before says
        nothing about it any more.
    :ivar trusted: it may get as many requests as it has slots.
    :ivar failing: share of answers that were failures, lately.
    """

    until: float = float('-inf')
    rested_at: float = float('-inf')
    trusted: bool = True
    failing: float = 0
    _rest: float = _FIRST_REST
    _breaks: int = 0

    def most(self, slots: int, now: float) -> int:
        """Give how many requests it may run.

        >>> tired = Condition()
        >>> tired.unreachable(10)
        >>> tired.most(8, 10.1), tired.most(8, 11)
        (0, 1)
        >>> tired.good()
        >>> tired.most(8, 11)
        8
        """
        if now < self.until:
            return 0
        return slots if self.trusted else 1

    def expected(self, slots: int, now: float) -> int:
        """Give how many requests it is thought to run before long.

        A first short rest is no reason to send callers away.
        """
        if now - self.rested_at < _FIRST_REST * _GROWTH:
            return slots
        return max(self.most(slots, now), 1)

    def unreachable(self, now: float) -> None:
        """Take that it couldn't be reached or turned a request away."""
        self._start_rest(now)

    def broke_off(self, now: float) -> None:
        """Take that an answer broke off or never came."""
        self._breaks += 1
        if self._breaks >= _BREAKS_IN_ROW:
            self._start_rest(now)

    def answered(self, *, well: bool) -> None:
        """Take a whole answer; it may be a failure of its application."""
        missing = float(not well) - self.failing
        self.failing += missing * _FAILURE_WEIGHT
        self.good()

    def good(self) -> None:
        """Take a sign that it works."""
        self.trusted = True
        self._breaks = 0
        self._rest = _FIRST_REST
        self.until = float('-inf')

    def _start_rest(self, now: float) -> None:
        if now < self.until:
            return
        self.trusted = False
        self.rested_at = now
        self.until = now + self._rest
        self._rest = min(self._rest * _GROWTH, _LONGEST_REST)
