"""The spans of calls, for the path of a call to report its hops to.

The path names a hop when it passes it; here hops become spans of one tree. A
grant stands below its queue; the first token and the end stand below the
dispatch, as the two parts of it.
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
    """The trace of one call in flight.

    :ivar opened: the newest span of each hop.
    :ivar part_started_ns: when the running part of the dispatch began.
    """

    trace: traces.Trace
    opened: dict[traces.Hop, traces.Span]
    part_started_ns: int = 0


class RequestTracer:
    """Implements the path's tracer by :mod:`geraniumweir.observe.traces`."""

    def __init__(self, tracing: traces.Tracing) -> None:
        """Start with no call in flight.

        :param tracing: of the host.
        """
        self._tracing = tracing
        self._request_traces: dict[ids.RequestId, _RequestTrace] = {}

    def begin(
        self,
        request_id: ids.RequestId,
        traceparent: str | None,
    ) -> str | None:
        """Open a call's trace; the span of the caller's hop must follow.

        :param traceparent: as the caller sent it.
        :returns: the ``traceparent`` to send on, or None for the caller's.
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
        """Time a hop; the caller's hop ends the call's trace."""
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
        """Note a moment of a call's path.

        :param note: the backend server, or how the call ended.
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
