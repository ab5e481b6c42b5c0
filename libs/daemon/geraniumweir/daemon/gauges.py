"""Reads an entry host's state for its gauges, when metrics are asked for."""

import collections

from geraniumweir.daemon import host as entry_host
from geraniumweir.observe import metricnames, metrics, traces


def register(
    meter: metrics.Metrics,
    host: entry_host.EntryHost,
    tracing: traces.Tracing,
) -> None:
    """Say how the gauges of a host are read.

    :param meter: of the host.
    """
    meter.gauge(metricnames.CONFIG_VERSION, lambda: host.in_force.version)
    # A host that stands alone is its own majority, and all the hosts it knows.
    meter.gauge(metricnames.CONFIG_SURE, lambda: 1)
    domain = host.cfg.failure_domain
    meter.gauge(metricnames.LIVE_HOSTS, lambda: {(domain,): 1})
    meter.gauge(metricnames.DRAINING, lambda: int(host.draining))
    meter.gauge(metricnames.OPEN_CALLS, lambda: len(host.path.in_flight))
    meter.gauge(metricnames.SPANS_DROPPED, tracing.dropped)
    meter.gauge(metricnames.SERVERS, lambda: _servers(host))


def _servers(host: entry_host.EntryHost) -> dict[metrics.Labels, float]:
    live = host.registry.live(host.timers.now())
    return dict(collections.Counter((server.pool,) for server in live))
