"""Notices backend servers that are down, full, hang or fail.

Reports and health checks say little of it: a server can be silent to control
hosts and work, or answer checks and hang. So a server is judged by its own
answers. One that can't be reached, or breaks off, rests for a moment that
doubles with each repeat, then gets one request at a time until one ends well.
One that turns requests away is full: it gets fewer at a time, and more again
with each answer, as a congestion window is cut and grows [1]_.

References
==========
.. [1] D.-M. Chiu, R. Jain, "Analysis of the Increase and Decrease Algorithms
   for Congestion Avoidance in Computer Networks", 1989.
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
# One connection that fails may be the path's fault or its host's.
_MISSES_IN_ROW = 2
# A server that is full keeps this part of what it had.
_CUT = 0.7
# One that turns away all that it gets takes a few cuts to be left alone.
_LEAST_LIMIT = 1
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
    :ivar limit: requests that it takes at a time, where it was full lately.
    """

    until: float = float('-inf')
    rested_at: float = float('-inf')
    trusted: bool = True
    failing: float = 0
    limit: float = float('inf')
    _rest: float = _FIRST_REST
    _breaks: int = 0
    _misses: int = 0
    _cut_at: float = float('-inf')

    def most(self, slots: int, now: float) -> int:
        """Give how many requests it may run.

        >>> tired = Condition()
        >>> tired.hung(10)
        True
        >>> tired.most(8, 10.1), tired.most(8, 11)
        (0, 1)
        >>> tired.good()
        >>> tired.most(8, 11)
        8
        """
        if now < self.until:
            return 0
        return self._allowed(slots) if self.trusted else 1

    def expected(self, slots: int, now: float) -> int:
        """Give how many requests it is thought to run before long.

        A first short rest is no reason to send callers away.
        """
        if now - self.rested_at < _FIRST_REST * _GROWTH:
            return self._allowed(slots)
        return max(self.most(slots, now), 1)

    def hung(self, now: float) -> bool:
        """Take that nothing came of all that it was sent.

        :returns: whether a rest begins.
        """
        return self._start_rest(now)

    def unreachable(self, now: float) -> bool:
        """Take that it couldn't be reached.

        :returns: whether a rest begins.
        """
        self._misses += 1
        if self.trusted and self._misses < _MISSES_IN_ROW:
            return False
        return self._start_rest(now)

    def turned_away(self, running: int, granted: float, now: float) -> bool:
        """Take that it was full.

        What was granted before the last cut says nothing of the present
        limit.

        :param running: requests that it has besides.
        :param granted: when the one that it turned away was, in seconds.
        :returns: whether a rest begins.
        """
        if granted < self._cut_at:
            return False
        self._cut_at = now
        if running < _LEAST_LIMIT or not self.trusted:
            return self._start_rest(now)
        self.limit = max(min(self.limit, running) * _CUT, _LEAST_LIMIT)
        return False

    def broke_off(self, now: float) -> bool:
        """Take that an answer broke off or never came.

        :returns: whether a rest begins.
        """
        self._breaks += 1
        return self._breaks >= _BREAKS_IN_ROW and self._start_rest(now)

    def answered(self, *, well: bool) -> None:
        """Take a whole answer; it may be a failure of its application."""
        missing = float(not well) - self.failing
        self.failing += missing * _FAILURE_WEIGHT
        self.limit += 1 / self.limit
        self.good()

    def good(self) -> None:
        """Take a sign that it works."""
        self.trusted = True
        self._breaks = 0
        self._misses = 0
        self._rest = _FIRST_REST
        self.until = float('-inf')

    def _allowed(self, slots: int) -> int:
        return int(min(slots, max(self.limit, _LEAST_LIMIT)))

    def _start_rest(self, now: float) -> bool:
        if now < self.until:
            return False
        self.trusted = False
        self.rested_at = now
        self.until = now + self._rest
        self._rest = min(self._rest * _GROWTH, _LONGEST_REST)
        return True
