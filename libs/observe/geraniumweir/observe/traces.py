"""A span for each hop of a request, by W3C trace context.

An entry host begins a :class:`Trace` when a call arrives and opens a hop for
each step. The caller's ``traceparent`` is carried on: in from the call's
headers, out to the backend server and to a pool leader on another host, so
spans of several hosts make one tree. Without a trace file nothing is
recorded, but ``traceparent`` is still passed on.

Context is read by OpenTelemetry's API. Spans are our own small class:
docs/design/observe.md has the cost of the SDK's beside it.

References
==========
.. [1] W3C, "Trace Context", https://www.w3.org/TR/trace-context/
.. [2] OpenTelemetry, "Tracing API",
   https://opentelemetry.io/docs/specs/otel/trace/api/
.. [3] B. Sigelman et al., "Dapper, a Large-Scale Distributed Systems Tracing
   Infrastructure", Google Technical Report dapper-2010-1, 2010.
"""

import contextlib
import dataclasses
import enum
import random
import time
import typing

from geraniumweir.common import ids
from geraniumweir.observe import spanqueue, tracefile
from opentelemetry import context as otel_context
from opentelemetry import trace as otel
from opentelemetry.trace.propagation import tracecontext

Attribute = str | int | float | bool

TRACEPARENT = 'traceparent'
TRACESTATE = 'tracestate'
_TRACE_BITS = 128
_SPAN_BITS = 64
_propagator = tracecontext.TraceContextTextMapPropagator()


class Hop(enum.Enum):
    """The steps of a request's path.

    ``caller`` is the whole call; ``rule``, ``claim``, ``queue`` and
    ``dispatch`` are inside it; ``grant`` is the pool leader's part of
    ``queue``; ``first_token`` and ``end`` are the two parts of ``dispatch``:
    up to the first token, and from there to the last.
    """

    caller = 'caller'
    rule = 'rule'
    claim = 'claim'
    queue = 'queue'
    grant = 'grant'
    dispatch = 'dispatch'
    first_token = 'first token'
    end = 'end'


@dataclasses.dataclass(frozen=True, slots=True)
class TraceSettings:
    """How a host traces.

    :ivar path: the trace file, or None to record nothing.
    :ivar sample: share of calls recorded, 0 to 1, where the caller doesn't
        say; a caller's ``sampled`` flag goes before it.
    """

    host: ids.HostId
    path: str | None = None
    sample: float = 1


@dataclasses.dataclass(slots=True)
class Span:
    """An open hop; one that isn't recorded only carries the trace on.

    :ivar sink: takes the span when it ends, or None to record nothing.
    """

    name: str
    request_id: ids.RequestId
    trace: int
    span: int
    parent: int
    state: str
    sink: spanqueue.SpanQueue | None
    attributes: dict[str, Attribute]
    error: str = ''
    ended: bool = False
    start_ns: int = dataclasses.field(default_factory=time.time_ns)

    @property
    def recording(self) -> bool:
        """Whether attributes are worth making."""
        return self.sink is not None

    @property
    def trace_id(self) -> str:
        """Hex id of the whole trace."""
        return otel.format_trace_id(self.trace)

    def note(self, **attributes: Attribute) -> None:
        """Add attributes, such as ``server`` or ``tier``."""
        if self.sink is not None:
            self.attributes.update(attributes)

    def fail(self, code: str) -> None:
        """Mark the hop as failed.

        :param code: from docs/ERRORS.md.
        """
        self.error = code

    def finish(self) -> None:
        """End the hop; what comes after the first time does nothing."""
        sink = self.sink
        if sink is None or self.ended:
            return
        self.ended = True
        sink.put(
            tracefile.SpanRecord(
                trace_id=self.trace_id,
                span_id=otel.format_span_id(self.span),
                parent_id=otel.format_span_id(self.parent),
                name=self.name,
                host=sink.host,
                request_id=self.request_id,
                start_ns=self.start_ns,
                end_ns=time.time_ns(),
                error=self.error,
                attributes=self.attributes,
            ),
        )

    def headers(self) -> dict[str, str]:
        """Give the headers that carry the trace on from this hop."""
        if not self.trace:
            return {}
        trace = otel.format_trace_id(self.trace)
        span = otel.format_span_id(self.span)
        sampled = int(self.sink is not None)
        carried = {TRACEPARENT: f'00-{trace}-{span}-0{sampled}'}
        if self.state:
            carried[TRACESTATE] = self.state
        return carried


class Trace:
    """One request's part on one host: its first hop and those inside it."""

    __slots__ = ('root',)

    def __init__(self, root: Span) -> None:
        """Hold the first hop; made by :meth:`Tracing.begin`."""
        self.root = root

    def open(
        self,
        hop: Hop,
        parent: Span | None = None,
        **attributes: Attribute,
    ) -> Span:
        """Open a hop that ends elsewhere; ``finish`` must be called on it.

        :param parent: by default the first hop.
        """
        outer = parent or self.root
        if outer.sink is None:
            return outer
        return Span(
            hop.value,
            outer.request_id,
            outer.trace,
            random.getrandbits(_SPAN_BITS) or 1,
            outer.span,
            outer.state,
            outer.sink,
            attributes,
        )

    def since(
        self,
        start_ns: int,
        hop: Hop,
        parent: Span | None = None,
        **attributes: Attribute,
    ) -> None:
        """Record a hop that ends now.

        :param start_ns: wall clock, in nanoseconds since 1970.
        :param parent: by default the first hop.
        """
        span = self.open(hop, parent, **attributes)
        if span.recording:
            span.start_ns = start_ns
            span.finish()

    @contextlib.contextmanager
    def hop(
        self,
        hop: Hop,
        parent: Span | None = None,
        **attributes: Attribute,
    ) -> typing.Iterator[Span]:
        """Open a hop for a block; an error that leaves it marks it failed.

        :param parent: by default the first hop.
        """
        span = self.open(hop, parent, **attributes)
        try:
            yield span
        except BaseException as exc:
            span.fail(getattr(exc, 'code', type(exc).__name__))
            raise
        finally:
            span.finish()


class Tracing:
    """The tracer of one host.

    >>> tracing = Tracing(TraceSettings(ids.HostId('entry-1')))
    >>> parent = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'
    >>> trace = tracing.begin(ids.RequestId('r'), {'traceparent': parent})
    >>> trace.root.trace_id
    '0af7651916cd43dd8448eb211c80319c'
    """

    def __init__(self, cfg: TraceSettings) -> None:
        """Open the trace file, if there is one.

        :param cfg: says which.
        :raises OSError: when the file can't be written.
        """
        self._sample = cfg.sample
        self._sink: spanqueue.SpanQueue | None = None
        if cfg.path is not None:
            writer = tracefile.Writer(cfg.path)
            self._sink = spanqueue.SpanQueue(cfg.host, writer)

    def begin(
        self,
        request_id: ids.RequestId,
        headers: typing.Mapping[str, str],
        hop: Hop = Hop.caller,
        **attributes: Attribute,
    ) -> Trace:
        """Start this host's part of a request's trace.

        :param headers: of the call, or the carrier that a peer's message
            held; aiohttp's headers, or names in lower case.
        :param hop: what this host does.
        """
        parent = _parent(headers)
        sink = self._sink
        if sink is not None and not self._sampled(parent):
            sink = None
        trace = parent.trace_id
        span = parent.span_id
        if self._sink is not None:
            trace = trace or random.getrandbits(_TRACE_BITS) or 1
            span = random.getrandbits(_SPAN_BITS) or 1
        return Trace(
            Span(
                hop.value,
                request_id,
                trace,
                span,
                parent.span_id,
                parent.trace_state.to_header(),
                sink,
                attributes,
            ),
        )

    def flush(self) -> None:
        """Bring every ended span into the file; blocks for the write."""
        if self._sink is not None:
            self._sink.flush()

    def dropped(self) -> int:
        """Count spans lost since the start: queue full or disk refusing."""
        if self._sink is None:
            return 0
        return self._sink.dropped

    def close(self) -> None:
        """Flush and close the file."""
        if self._sink is not None:
            self._sink.close()

    def _sampled(self, parent: otel.SpanContext) -> bool:
        if parent.is_valid:
            return bool(parent.trace_flags.sampled)
        return random.random() < self._sample


def _parent(headers: typing.Mapping[str, str]) -> otel.SpanContext:
    traceparent = headers.get(TRACEPARENT)
    if traceparent is None:
        return otel.INVALID_SPAN_CONTEXT
    carrier = {TRACEPARENT: traceparent}
    tracestate = headers.get(TRACESTATE)
    if tracestate is not None:
        carrier[TRACESTATE] = tracestate
    found = _propagator.extract(carrier, otel_context.Context())
    return otel.get_current_span(found).get_span_context()
