"""Broadcast of notices; see :mod:`geraniumweir.membership.notices`.

The origin sends a notice to every host of its domain. A delegate that
originates a notice, or receives it for the first time, sends it to the
delegates of the other domains; where the sender is in another domain, also to
every host of its own.
"""

from geraniumweir.common import ids
from geraniumweir.membership import delegates, members, notices, shared_state
from geraniumweir.wire.gen.membership import ttypes


class Dissemination:
    """Sender, forwarder and receiver of notices."""

    def __init__(self, shared: shared_state.SharedState) -> None:
        """Register the handlers."""
        self._shared = shared
        shared.peers.handle(ttypes.NoticesRequest, self._on_request)
        shared.peers.handle(ttypes.Notices, self._on_notices)

    def broadcast(self, payload: bytes, seconds: float) -> None:
        """Send a notice to every host.

        :param payload: opaque; at most ``notices.MAX_PAYLOAD`` bytes.
        :param seconds: time until the notice expires.
        :raises errors.NoticeError: when the payload is too large.
        """
        notice = self._shared.notices.add(payload, seconds, self._shared.now())
        if notice is None:
            return
        self._send_to_domain([notice])
        if self._shared.is_delegate():
            self._send_to_other_domains([notice])

    async def _on_request(
        self,
        sender: ids.HostId,
        message: ttypes.NoticesRequest,
    ) -> None:
        now = self._shared.now()
        active = self._shared.notices.active(now)
        self._shared.peers.send(sender, notices.write(active, now))

    async def _on_notices(
        self,
        sender: ids.HostId,
        message: ttypes.Notices,
    ) -> None:
        store = self._shared.notices
        added = notices.read(message, store, self._shared.now())
        if not added or not self._shared.is_delegate():
            return
        if self._shared.members.member(sender) is None:
            self._send_to_domain(added)
        self._send_to_other_domains(added)

    def _send_to_domain(self, added: list[notices.Notice]) -> None:
        message = notices.write(added, self._shared.now())
        view_states = (members.State.live, members.State.suspected)
        for host in self._shared.members.others(*view_states):
            self._shared.peers.send(host.host_id, message)

    def _send_to_other_domains(self, added: list[notices.Notice]) -> None:
        message = notices.write(added, self._shared.now())
        for domain in self._shared.outside.domains():
            live = self._shared.outside.live(domain)
            for host in delegates.delegates(live):
                self._shared.peers.send(host.host_id, message)
