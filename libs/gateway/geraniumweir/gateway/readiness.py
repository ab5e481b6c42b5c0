"""Tells whoever spreads callers over entry hosts whether this one is ready.

A host is ready as soon as it has a document and knows a server; it stays so
when it is cut off, as it goes on serving what it can.
"""

import typing

from aiohttp import web
from geraniumweir.common import eventlog
from geraniumweir.gateway import admission, logevents

_READY = 200
_NOT_READY = 503


class Readiness:
    """Answers probes."""

    def __init__(
        self,
        get_document_state: typing.Callable[[], admission.DocumentState],
    ) -> None:
        """Ask what is known at the time of each probe."""
        self._get_document_state = get_document_state
        self._leaving = False
        self._logged_reason = ''

    def leave(self) -> None:
        """Be ready no more."""
        self._leaving = True

    def server(self) -> web.Server:
        """Make the HTTP server for probes."""
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
