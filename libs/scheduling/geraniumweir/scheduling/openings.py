"""Open servers, which may get one more request, by class.

Two orders are kept for each class: by the predicted end of a request of
ordinary size, and by free KV cache room. A few of the first and the one with
most room are candidates, so a choice costs O(log n) in servers, and room is
found wherever there is any.
"""

import typing

import sortedcontainers
from geraniumweir.common import ids

_MAX_LISTED = 3

_Class = typing.TypeVar('_Class', bound=typing.Hashable)
_Place = tuple[_Class, float, float]


class Openings(typing.Generic[_Class]):
    """Open servers by class, score and room.

    >>> openings = Openings()
    >>> openings.set(ids.ServerId('a'), 'fast', 2.0, 10)
    >>> openings.set(ids.ServerId('b'), 'fast', 1.0, 5)
    >>> openings.best('fast')
    ['b', 'a', 'a']
    """

    def __init__(self) -> None:
        """Initialize without servers."""
        self._scores: dict[_Class, sortedcontainers.SortedList] = {}
        self._rooms: dict[_Class, sortedcontainers.SortedList] = {}
        self._places: dict[ids.ServerId, _Place[_Class]] = {}

    def set(
        self,
        server_id: ids.ServerId,
        server_class: _Class,
        score: float,
        room: float,
    ) -> None:
        """Set the class, score and room of a server.

        :param score: seconds; the least is the best.
        :param room: free KV cache tokens.
        """
        place = (server_class, score, room)
        if self._places.get(server_id) == place:
            return
        self.discard(server_id)
        self._places[server_id] = place
        by_score = self._scores.setdefault(
            server_class,
            sortedcontainers.SortedList(),
        )
        by_score.add((score, server_id))
        by_room = self._rooms.setdefault(
            server_class,
            sortedcontainers.SortedList(),
        )
        by_room.add((room, server_id))

    def discard(self, server_id: ids.ServerId) -> None:
        """Remove a server if it is present."""
        place = self._places.pop(server_id, None)
        if place is None:
            return
        server_class, score, room = place
        self._scores[server_class].remove((score, server_id))
        self._rooms[server_class].remove((room, server_id))

    def has(self, server_id: ids.ServerId) -> bool:
        """Return whether a server may get one more request."""
        return server_id in self._places

    def best(self, server_class: _Class) -> list[ids.ServerId]:
        """Return a few servers of a class to evaluate.

        :returns: those predicted to finish soonest, then the one with most
            room.
        """
        by_score = self._scores.get(server_class)
        if not by_score:
            return []
        found = [server_id for _, server_id in by_score[:_MAX_LISTED]]
        found.append(self._rooms[server_class][-1][1])
        return found

    def classes(self) -> list[_Class]:
        """List the classes with an open server."""
        return [kind for kind, servers in self._scores.items() if servers]
