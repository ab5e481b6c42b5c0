"""Sends notices on at once; see :mod:`geraniumweir.membership.notices`.

Where a notice starts, it goes to every host of the domain. A delegate that
hears of one for the first time sends it to the delegates of the other
domains, and to its own domain where it came from outside.
"""

from geraniumweir.common import ids
from geraniumweir.membership import delegates, members, notices, shared_state
from geraniumweir.wire.gen.membership import ttypes


class Spreading:
    """Sends notices and takes them in."""

    def __init__(self, known: shared_state.SharedState) -> None:
        """Register the handlers."""
        self._known = known
        known.peers.handle(ttypes.NoticesRequest, self._on_request)
        known.peers.handle(ttypes.Notices, self._on_notices)

    def broadcast(self, payload: bytes, seconds: float) -> None:
        """Let every host hear of some bytes.

        :param payload: opaque; at most ``notices.MAX_PAYLOAD`` bytes.
        :param seconds: how long they count.
        :raises errors.NoticeError: when they are too many.
        """
        notice = self._known.notices.post(payload, seconds, self._known.now())
        if notice is None:
            return
        self._to_domain([notice])
        if self._known.is_delegate():
            self._to_outside([notice])

    async def _on_request(
        self,
        sender: ids.HostId,
        message: ttypes.NoticesRequest,
    ) -> None:
        now = self._known.now()
        active = self._known.notices.active(now)
        self._known.peers.send(sender, notices.write(active, now))

    async def _on_notices(
        self,
        sender: ids.HostId,
        message: ttypes.Notices,
    ) -> None:
        board = self._known.notices
        posted = notices.read(message, board, self._known.now())
        if not posted or not self._known.is_delegate():
            return
        if self._known.members.member(sender) is None:
            self._to_domain(posted)
        self._to_outside(posted)

    def _to_domain(self, posted: list[notices.Notice]) -> None:
        message = notices.write(posted, self._known.now())
        counted = (members.State.live, members.State.suspected)
        for host in self._known.members.others(*counted):
            self._known.peers.send(host.host_id, message)

    def _to_outside(self, posted: list[notices.Notice]) -> None:
        message = notices.write(posted, self._known.now())
        for domain in self._known.outside.domains():
            live = self._known.outside.live(domain)
            for host in delegates.delegates(live):
                self._known.peers.send(host.host_id, message)
