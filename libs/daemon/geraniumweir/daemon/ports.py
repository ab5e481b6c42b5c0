"""Protocols that the request path uses for tracing.

The entry host provides the real implementation, tests a small one.
"""

import contextlib
import typing

from geraniumweir.common import ids
from geraniumweir.observe import traces


class Tracer(typing.Protocol):
    """Protocol for recording the spans of requests."""

    def begin(
        self,
        request_id: ids.RequestId,
        traceparent: str | None,
    ) -> str | None:
        """Begin the trace of a request.

        :param traceparent: the caller's ``traceparent``, or None.
        :returns: the ``traceparent`` to forward, or None for the caller's.
        """

    def span(
        self,
        request_id: ids.RequestId,
        hop: traces.Hop,
    ) -> contextlib.AbstractContextManager[typing.Any]:
        """Record a hop of a request as a span around the block."""

    def mark(
        self, request_id: ids.RequestId, hop: traces.Hop, note: str
    ) -> None:
        """Record an event of a request."""


class NoTracer:
    """A tracer that records nothing."""

    def begin(
        self,
        _request_id: ids.RequestId,
        _traceparent: str | None,
    ) -> str | None:
        """Return None: the caller's ``traceparent`` is forwarded."""

    def span(
        self,
        _request_id: ids.RequestId,
        _hop: traces.Hop,
    ) -> contextlib.AbstractContextManager[typing.Any]:
        """Record nothing."""
        return contextlib.nullcontext()

    def mark(
        self,
        _request_id: ids.RequestId,
        _hop: traces.Hop,
        _note: str,
    ) -> None:
        """Record nothing."""
