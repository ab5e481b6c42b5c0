"""Answers readiness probes of the load balancer before the entry hosts.

A host is ready once it has a routing document. It stays ready while it is
partitioned, because it still serves requests.
"""

import typing

from aiohttp import web
from geraniumweir.common import eventlog
from geraniumweir.gateway import admission, logevents

_READY = 200
_NOT_READY = 503


class Readiness:
    """Readiness of this host and its HTTP handler."""

    def __init__(
        self,
        get_document_state: typing.Callable[[], admission.DocumentState],
    ) -> None:
        """Initialize with the source of the document state."""
        self._get_document_state = get_document_state
        self._leaving = False
        self._logged_reason = ''

    def leave(self) -> None:
        """Stop being ready."""
        self._leaving = True

    def server(self) -> web.Server:
        """Return the HTTP server for probes."""
        return web.Server(self._handle, access_log=None)

    async def _handle(self, _req: web.BaseRequest) -> web.Response:
        reason = self._reason()
        if reason != self._logged_reason:
            self._logged_reason = reason
            eventlog.emit(
                logevents.READY,
                ready=reason == 'serving',
                reason=reason,
            )
        status = _READY if reason == 'serving' else _NOT_READY
        return web.Response(status=status, text=reason)

    def _reason(self) -> str:
        if self._leaving:
            return 'leaving'
        if self._get_document_state().index is None:
            return 'no document yet'
        return 'serving'
