"""Connects a host to its metrics and its tracing."""

import asyncio
import contextlib
import dataclasses

from geraniumweir.daemon import gauges, meters, operations, spans
from geraniumweir.daemon import host as entry_host
from geraniumweir.observe import metrics, tracefile, traces


@dataclasses.dataclass(frozen=True, slots=True)
class Observed:
    """Metrics and tracing of a host."""

    meter: metrics.Metrics
    tracing: traces.Tracing

    async def trace(
        self,
        path: str | None,
        wanted: str,
    ) -> list[tracefile.SpanRecord]:
        """Return spans of the host's trace file, read off the event loop.

        :param path: path of the trace file, or None where there is none.
        :param wanted: request or trace id of the spans.
        :raises operations.UnavailableError: when there is no trace file.
        """
        if path is None:
            raise operations.UnavailableError('this host has no --trace-file')
        await asyncio.to_thread(self.tracing.flush)
        return await asyncio.to_thread(tracefile.find, path, wanted)


def observe(
    host: entry_host.EntryHost,
    stack: contextlib.AsyncExitStack,
) -> Observed:
    """Set a host's metrics and tracer.

    :param stack: closes the trace file at the end.
    :raises OSError: when the trace file can't be written.
    """
    cfg = host.cfg
    tracing = traces.Tracing(
        traces.TraceSettings(cfg.host_id, cfg.trace_file, cfg.trace_sample),
    )
    stack.callback(tracing.close)
    meter = metrics.Metrics(host.timers.now)
    gauges.register(meter, host, tracing)
    host.path.tracer = spans.RequestTracer(tracing)
    host.path.meter = meters.RequestMeter(meter)
    return Observed(meter, tracing)
