"""Tests of counters and latencies as Prometheus reads them."""

import random

from geraniumweir.observe import metricnames, metrics
from prometheus_client import parser


def _samples(meter: metrics.Metrics) -> dict[str, float]:
    families = parser.text_string_to_metric_families(meter.exposition())
    return {
        sample.name + str(sorted(sample.labels.items())): sample.value
        for family in families
        for sample in family.samples
    }


def test_quantiles_are_within_one_in_a_hundred() -> None:
    """The histogram agrees with sorting all values."""
    meter = metrics.Metrics(clock=lambda: 100)
    rng = random.Random(7)
    seconds = [rng.lognormvariate(-3, 2) for _ in range(5000)]
    for one in seconds:
        meter.observe(metricnames.QUEUE_SECONDS, one, 'lm-advisori', '0')
    labels = [('pool', 'lm-advisori'), ('quantile', '0.99'), ('tier', '0')]
    shown = _samples(meter)[metricnames.QUEUE_SECONDS.name + str(labels)]
    exact = sorted(seconds)[int(len(seconds) * 0.99) - 1]
    assert abs(shown - exact) < exact * 0.01


def test_old_latencies_leave_the_quantiles_but_not_the_count() -> None:
    """A slow hour doesn't hide behind a fast one."""
    now = [100.0]
    meter = metrics.Metrics(clock=lambda: now[0])
    meter.observe(metricnames.QUEUE_SECONDS, 50, 'p', '0')
    now[0] += 300
    meter.observe(metricnames.QUEUE_SECONDS, 0.001, 'p', '0')
    shown = _samples(meter)
    top = [('pool', 'p'), ('quantile', '0.999'), ('tier', '0')]
    series = [('pool', 'p'), ('tier', '0')]
    name = metricnames.QUEUE_SECONDS.name
    assert int(shown[name + str(top)]) == 0
    assert int(shown[f'{name}_count{series}']) == 2


def test_gauge_by_label_is_read_when_asked() -> None:
    """A gauge shows the state of the moment of asking."""
    meter = metrics.Metrics()
    state = {('p',): 1}
    meter.gauge(metricnames.SERVERS, lambda: state)
    state['q',] = 4
    shown = _samples(meter)
    assert int(shown[metricnames.SERVERS.name + str([('pool', 'q')])]) == 4
