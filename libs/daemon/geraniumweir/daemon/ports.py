"""What the path of a call needs of the rest, as narrow protocols.

The entry host composes real parts behind them; tests put small ones there.
"""

import contextlib
import typing

from geraniumweir.common import ids
from geraniumweir.observe import traces


class Tracer(typing.Protocol):
    """Takes the spans of calls."""

    def begin(
        self,
        request_id: ids.RequestId,
        traceparent: str | None,
    ) -> str | None:
        """Open a call's trace.

        :param traceparent: as the caller sent it.
        :returns: the ``traceparent`` to send on, or None for the caller's.
        """

    def span(
        self,
        request_id: ids.RequestId,
        hop: traces.Hop,
    ) -> contextlib.AbstractContextManager[typing.Any]:
        """Time a part of a call's path."""

    def mark(
        self, request_id: ids.RequestId, hop: traces.Hop, note: str
    ) -> None:
        """Note a moment of a call's path."""


class NoTracer:
    """A tracer that keeps nothing."""

    def begin(
        self,
        _request_id: ids.RequestId,
        _traceparent: str | None,
    ) -> str | None:
        """Leave the caller's ``traceparent`` as it is."""

    def span(
        self,
        _request_id: ids.RequestId,
        _hop: traces.Hop,
    ) -> contextlib.AbstractContextManager[typing.Any]:
        """Time nothing."""
        return contextlib.nullcontext()

    def mark(
        self,
        _request_id: ids.RequestId,
        _hop: traces.Hop,
        _note: str,
    ) -> None:
        """Note nothing."""
