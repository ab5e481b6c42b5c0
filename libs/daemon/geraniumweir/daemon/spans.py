"""Records the hops of a request as spans of one trace.

The span of a grant is a child of its queue span. The first token and the end
are children of the dispatch span and divide it into two parts.
"""

import contextlib
import dataclasses
import time
import typing

from geraniumweir.common import ids
from geraniumweir.observe import traces

_DONE = 'done'


@dataclasses.dataclass(slots=True)
class _RequestTrace:
    """The trace of a request in flight.

    :ivar opened: the newest span of each hop.
    :ivar part_started_ns: start of the current part of the dispatch, in ns
        since 1970.
    """

    trace: traces.Trace
    opened: dict[traces.Hop, traces.Span]
    part_started_ns: int = 0


class RequestTracer:
    """Tracer of the request path over :mod:`geraniumweir.observe.traces`."""

    def __init__(self, tracing: traces.Tracing) -> None:
        """Initialize without traces.

        :param tracing: tracing of the host.
        """
        self._tracing = tracing
        self._request_traces: dict[ids.RequestId, _RequestTrace] = {}

    def begin(
        self,
        request_id: ids.RequestId,
        traceparent: str | None,
    ) -> str | None:
        """Begin a request's trace; the span of the caller's hop must follow.

        :param traceparent: the caller's ``traceparent``, or None.
        :returns: the ``traceparent`` to forward, or None for the caller's.
        """
        headers = {}
        if traceparent is not None:
            headers[traces.TRACEPARENT] = traceparent
        trace = self._tracing.begin(request_id, headers)
        if trace.root.recording:
            self._request_traces[request_id] = _RequestTrace(trace, {})
        return trace.root.headers().get(traces.TRACEPARENT)

    @contextlib.contextmanager
    def span(
        self,
        request_id: ids.RequestId,
        hop: traces.Hop,
    ) -> typing.Iterator[None]:
        """Record a hop; the end of the caller's hop ends the trace."""
        request_trace = self._request_traces.get(request_id)
        if request_trace is None:
            yield
            return
        if hop is traces.Hop.caller:
            with contextlib.ExitStack() as stack:
                stack.callback(self._request_traces.pop, request_id, None)
                stack.callback(request_trace.trace.root.finish)
                yield
            return
        request_trace.part_started_ns = time.time_ns()
        with request_trace.trace.hop(hop) as span:
            request_trace.opened[hop] = span
            yield

    def mark(
        self,
        request_id: ids.RequestId,
        hop: traces.Hop,
        note: str,
    ) -> None:
        """Record an event of a request.

        :param note: the backend server, or the outcome of the request.
        """
        request_trace = self._request_traces.get(request_id)
        if request_trace is None:
            return
        now = time.time_ns()
        opened = request_trace.opened
        if hop is traces.Hop.grant:
            queue = opened.get(traces.Hop.queue)
            request_trace.trace.since(now, hop, queue, server=note)
        else:
            dispatch = opened.get(traces.Hop.dispatch)
            request_trace.trace.since(
                request_trace.part_started_ns or now, hop, dispatch, note=note
            )
            request_trace.part_started_ns = now
