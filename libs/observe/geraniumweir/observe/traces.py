"""A span for each hop of a request, by OpenTelemetry.

An entry host begins a :class:`Trace` when a call arrives and opens a hop for
each step. The caller's ``traceparent`` is carried on: in from the call's
headers, out to the backend server and to a pool leader on another host, so
spans of several hosts make one tree. Without a trace file nothing is
recorded, but ``traceparent`` is still passed on.

Finished spans wait in a bounded queue for a thread that appends them to the
trace file; when the queue is full spans are dropped and counted, and the
request goes on.

References
==========
.. [1] W3C, "Trace Context", https://www.w3.org/TR/trace-context/
.. [2] OpenTelemetry, "Tracing SDK",
   https://opentelemetry.io/docs/specs/otel/trace/sdk/
.. [3] B. Sigelman et al., "Dapper, a Large-Scale Distributed Systems Tracing
   Infrastructure", Google Technical Report dapper-2010-1, 2010.
"""

import contextlib
import dataclasses
import enum
import typing

from geraniumweir.common import ids
from geraniumweir.observe import tracefile
from opentelemetry import context as otel_context
from opentelemetry import trace as otel
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk
from opentelemetry.sdk.trace import export, sampling
from opentelemetry.trace.propagation import tracecontext

Attribute = str | int | float | bool

TRACEPARENT = 'traceparent'
_CARRIED = (TRACEPARENT, 'tracestate')
_QUEUE_SPANS = 8192
_BATCH_SPANS = 512
_FLUSH_MS = 200
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


class Span:
    """An open hop."""

    __slots__ = ('_span', 'context')

    def __init__(
        self,
        span: otel.Span,
        parent: otel_context.Context,
    ) -> None:
        """Take over a started span.

        :param parent: what the span was started in.
        """
        self._span = span
        self.context = parent
        if span.get_span_context().is_valid:
            self.context = otel.set_span_in_context(span, parent)

    @property
    def recording(self) -> bool:
        """Whether attributes are worth making."""
        return self._span.is_recording()

    @property
    def trace_id(self) -> str:
        """Hex id of the whole trace."""
        return otel.format_trace_id(self._span.get_span_context().trace_id)

    def note(self, **attributes: Attribute) -> None:
        """Add attributes, such as ``server`` or ``tier``."""
        if self._span.is_recording():
            self._span.set_attributes(attributes)

    def fail(self, code: str) -> None:
        """Mark the hop as failed.

        :param code: from docs/ERRORS.md.
        """
        if self._span.is_recording():
            self._span.set_status(otel.Status(otel.StatusCode.ERROR, code))

    def finish(self) -> None:
        """End the hop; once."""
        self._span.end()

    def headers(self) -> dict[str, str]:
        """Give the headers that carry the trace on from this hop."""
        carrier: dict[str, str] = {}
        _propagator.inject(carrier, self.context)
        return carrier


class Trace:
    """One request's part on one host: its first hop and those inside it."""

    __slots__ = ('_tracer', 'root', '_request_id')

    def __init__(
        self,
        tracer: otel.Tracer,
        root: Span,
        request_id: ids.RequestId,
    ) -> None:
        """Hold the first hop; made by :meth:`Tracing.begin`."""
        self._tracer = tracer
        self.root = root
        self._request_id = request_id

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
        if not outer.recording:
            return outer_only(outer)
        return _start(
            self._tracer, hop, outer.context, self._request_id, attributes
        )

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
    >>> trace.root.headers()['traceparent'] == parent
    True
    """

    def __init__(self, cfg: TraceSettings) -> None:
        """Open the trace file, if there is one.

        :param cfg: says which.
        :raises OSError: when the file can't be written.
        """
        self._exporter: tracefile.Exporter | None = None
        self._processor: export.BatchSpanProcessor | None = None
        self._ended = _Counter()
        self._tracer: otel.Tracer = otel.NoOpTracer()
        if cfg.path is not None:
            self._exporter = tracefile.Exporter(cfg.path)
            self._tracer = self._make_tracer(cfg, self._exporter)

    def begin(
        self,
        request_id: ids.RequestId,
        headers: typing.Mapping[str, str],
        hop: Hop = Hop.caller,
        **attributes: Attribute,
    ) -> Trace:
        """Start this host's part of a request's trace.

        :param headers: of the call, or the carrier that a peer's message
            held; names in any case, as in aiohttp's headers.
        :param hop: what this host does.
        """
        carrier = _carrier(headers)
        parent = _propagator.extract(carrier, otel_context.Context())
        root = _start(self._tracer, hop, parent, request_id, attributes)
        return Trace(self._tracer, root, request_id)

    def flush(self) -> None:
        """Bring every finished span into the file; blocks for the write."""
        if self._processor is not None:
            self._processor.force_flush()

    def dropped(self) -> int:
        """Count spans lost since the start, up to the last flush."""
        if self._exporter is None:
            return 0
        waiting = self._ended.count - self._exporter.written
        return max(0, waiting - _QUEUE_SPANS)

    def close(self) -> None:
        """Flush and close the file."""
        if self._processor is not None:
            self._processor.shutdown()

    def _make_tracer(
        self,
        cfg: TraceSettings,
        exporter: tracefile.Exporter,
    ) -> otel.Tracer:
        self._processor = export.BatchSpanProcessor(
            exporter,
            max_queue_size=_QUEUE_SPANS,
            schedule_delay_millis=_FLUSH_MS,
            max_export_batch_size=_BATCH_SPANS,
        )
        provider = sdk.TracerProvider(
            sampler=sampling.ParentBasedTraceIdRatio(cfg.sample),
            resource=resources.Resource({tracefile.HOST: cfg.host}),
            shutdown_on_exit=False,
        )
        provider.add_span_processor(self._ended)
        provider.add_span_processor(self._processor)
        return provider.get_tracer('geraniumweir')


class _Counter(sdk.SpanProcessor):
    """Counts spans that ended."""

    def __init__(self) -> None:
        self.count = 0

    def on_end(self, _span: sdk.ReadableSpan) -> None:
        self.count += 1


def outer_only(outer: Span) -> Span:
    """Stand in for a hop that isn't recorded: it carries the trace on."""
    return Span(otel.INVALID_SPAN, outer.context)


def _start(
    tracer: otel.Tracer,
    hop: Hop,
    parent: otel_context.Context,
    request_id: ids.RequestId,
    attributes: dict[str, Attribute],
) -> Span:
    span = tracer.start_span(
        hop.value,
        context=parent,
        attributes={tracefile.REQUEST: request_id, **attributes},
    )
    return Span(span, parent)


def _carrier(headers: typing.Mapping[str, str]) -> dict[str, str]:
    found = {name: headers.get(name) for name in _CARRIED}
    return {name: text for name, text in found.items() if text is not None}
