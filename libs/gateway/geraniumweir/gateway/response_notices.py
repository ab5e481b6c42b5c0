"""Records what backend servers say of themselves in the heads of responses."""

from geraniumweir.common import eventlog, ids, timers
from geraniumweir.gateway import codec, logevents
from geraniumweir.scheduling import notices


class NoticeRecorder:
    """Recorder of the notices that this host receives."""

    def __init__(
        self,
        host_id: ids.HostId,
        server_notices: notices.Notices,
        clock: timers.TimerService,
    ) -> None:
        """Record into this host's notices.

        :param host_id: of this host.
        """
        self._host_id = host_id
        self._server_notices = server_notices
        self._clock = clock

    def record(
        self,
        start: notices.ServerIncarnation,
        sent_at: float,
        head: codec.ResponseHead,
    ) -> None:
        """Record the notices in the head of a server's response.

        :param sent_at: when the request was sent, in seconds.
        """
        server_id, incarnation = start
        for content in head.said:
            if isinstance(content, notices.Unreadable):
                eventlog.emit(
                    logevents.NOTICE_UNREADABLE,
                    server=server_id,
                    said=content.said,
                )
                continue
            self._server_notices.apply(
                notices.Notice(
                    server_id,
                    incarnation,
                    content,
                    self._host_id,
                    sent_at,
                    self._clock.now(),
                ),
            )
