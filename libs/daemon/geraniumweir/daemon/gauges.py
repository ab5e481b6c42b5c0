"""Registers an entry host's gauges, which are read when metrics are."""

import collections
import operator
import typing

from geraniumweir.consensus import core, serving
from geraniumweir.daemon import host as entry_host
from geraniumweir.daemon import joined as joining
from geraniumweir.observe import metricnames, metrics, traces
from geraniumweir.scheduling import requests

_Count = typing.Callable[[requests.TierWait], int]
_WAITING: _Count = operator.attrgetter('waiting')
_RUNNING: _Count = operator.attrgetter('running')


def register(
    meter: metrics.Metrics,
    host: entry_host.EntryHost,
    tracing: traces.Tracing,
) -> None:
    """Register the gauges of a host.

    :param meter: metrics of the host.
    """
    meter.gauge(metricnames.CONFIG_VERSION, lambda: host.in_force.version)
    # A standalone host is its own majority and the only live host.
    meter.gauge(metricnames.CONFIG_SURE, lambda: int(host.sure))
    domain = host.cfg.failure_domain
    meter.gauge(metricnames.LIVE_HOSTS, lambda: {(domain,): 1})
    meter.gauge(metricnames.DRAINING, lambda: int(host.draining))
    meter.gauge(metricnames.OPEN_CALLS, lambda: len(host.path.in_flight))
    meter.gauge(metricnames.SPANS_DROPPED, tracing.dropped)
    meter.gauge(metricnames.SERVERS, lambda: _servers(host))
    meter.gauge(
        metricnames.WAITING,
        lambda: _by_tier(host, _WAITING),
    )
    meter.gauge(
        metricnames.RUNNING,
        lambda: _by_tier(host, _RUNNING),
    )


def register_joined(meter: metrics.Metrics, joined: joining.Joined) -> None:
    """Register the gauges of a host that cooperates with others.

    :param meter: metrics of the host, with the gauges of :func:`register`.
    """
    follower = joined.follower
    meter.gauge(metricnames.CONFIG_SURE, lambda: int(not follower.unsure))
    meter.gauge(
        metricnames.CONFIG_HEARD, lambda: _age_gauge(follower.sure_age())
    )
    # A failure domain without live hosts stays in the gauge, as 0.
    seen: set[metrics.Labels] = set()
    meter.gauge(metricnames.LIVE_HOSTS, lambda: _live(joined, seen))
    if joined.recording is None:
        return
    local_recorder = joined.recording.recorder
    meter.gauge(
        metricnames.LOG_ROLE, lambda: _roles(local_recorder.status().role)
    )
    meter.gauge(
        metricnames.LOG_UNAPPLIED,
        lambda: (
            local_recorder.status().commit - local_recorder.status().applied
        ),
    )
    meter.gauge(metricnames.LOG_LAG, lambda: _lags(local_recorder.status()))


def _age_gauge(age: float | None) -> dict[metrics.Labels, float]:
    return {} if age is None else {(): age}


def _live(
    joined: joining.Joined,
    seen: set[metrics.Labels],
) -> dict[metrics.Labels, float]:
    live = joined.members.all_live()
    counted = collections.Counter((one.failure_domain,) for one in live)
    seen.update(counted)
    return {labels: counted[labels] for labels in seen}


def _roles(now: core.Role) -> dict[metrics.Labels, float]:
    return {(role.value,): int(role is now) for role in core.Role}


def _lags(seen: serving.Status) -> dict[metrics.Labels, float]:
    if seen.role is not core.Role.leader:
        return {}
    return {
        (row.member.host_id,): max(seen.last_index - row.match_index, 0)
        for row in seen.recorders
    }


def _by_tier(
    host: entry_host.EntryHost,
    count: _Count,
) -> dict[metrics.Labels, float]:
    found: dict[metrics.Labels, float] = {}
    for pool in host.leads():
        leader = host.led(pool)
        if leader is None:
            continue
        for wait in leader.summary().waits:
            found[pool, str(int(wait.tier))] = count(wait)
    return found


def _servers(host: entry_host.EntryHost) -> dict[metrics.Labels, float]:
    live = host.registry.live(host.timers.now())
    return dict(collections.Counter((server.pool,) for server in live))
