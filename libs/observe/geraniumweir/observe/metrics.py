"""Counters, gauges and latencies of one entry host, for Prometheus.

Latencies go into hdrhistograms of two significant digits, so a quantile is
within one in a hundred whatever the spread. Quantiles are over the last one
to two windows, count and sum since the start.

References
==========
.. [1] G. Tene, "HdrHistogram: A High Dynamic Range Histogram",
   http://hdrhistogram.org
.. [2] Prometheus, "Exposition formats",
   https://prometheus.io/docs/instrumenting/exposition_formats/
"""

import collections
import time
import typing

import prometheus_client
from geraniumweir.observe import metricnames
from hdrh import histogram
from prometheus_client import metrics_core

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
Labels = tuple[str, ...]
Reading = float | typing.Mapping[Labels, float]

_MICROSECONDS = 1_000_000
_SECONDS_IN_HOUR = 3600
_LONGEST_MICROSECONDS = _SECONDS_IN_HOUR * _MICROSECONDS
_DIGITS = 2
_PERCENT = 100
_WINDOW_SECONDS = 60.0
_QUANTILES = (0.5, 0.9, 0.99, 0.999)


class Metrics:
    """What one entry host counts.

    >>> meter = Metrics()
    >>> meter.count(metricnames.DISPATCHES, 'lm-advisori')
    >>> 'dispatches_total{pool="lm-advisori"} 1.0' in meter.exposition()
    True
    """

    def __init__(
        self,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        """Start at zero.

        :param clock: gives seconds; moves the windows of the quantiles.
        """
        self._clock = clock
        self._counts: dict[metricnames.Metric, collections.Counter[Labels]] = (
            collections.defaultdict(collections.Counter)
        )
        self._latencies: dict[metricnames.Metric, dict[Labels, _Latency]] = (
            collections.defaultdict(dict)
        )
        self._gauges: dict[
            metricnames.Metric, typing.Callable[[], Reading]
        ] = {}
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(_Collector(self.families))

    def count(
        self,
        metric: metricnames.Metric,
        *labels: str,
        amount: int = 1,
    ) -> None:
        """Add to a counter.

        :param metric: of kind counter.
        :param labels: values in the order of the metric's label names.
        """
        self._counts[metric][labels] += amount

    def observe(
        self,
        metric: metricnames.Metric,
        seconds: float,
        *labels: str,
    ) -> None:
        """Record a latency.

        :param metric: of kind latency.
        :param labels: values in the order of the metric's label names.
        """
        series = self._latencies[metric]
        latency = series.get(labels)
        if latency is None:
            latency = _Latency()
            series[labels] = latency
        latency.record(seconds, self._clock())

    def gauge(
        self,
        metric: metricnames.Metric,
        read: typing.Callable[[], Reading],
    ) -> None:
        """Say how a gauge is read; called when the metrics are asked for.

        :param read: gives a number, or a number for each tuple of labels.
        """
        self._gauges[metric] = read

    def total(self, metric: metricnames.Metric, *labels: str) -> int:
        """Give a counter's value."""
        return self._counts[metric][labels]

    def exposition(self) -> str:
        """Write everything as Prometheus text."""
        return prometheus_client.generate_latest(self._registry).decode()

    def families(self) -> typing.Iterator[metrics_core.Metric]:
        """Give every metric the way prometheus_client takes it."""
        for counter, counts in self._counts.items():
            yield _counter(counter, counts)
        for gauge, read in self._gauges.items():
            yield _gauge(gauge, read())
        for latency, series in self._latencies.items():
            yield _summary(latency, series, self._clock())


class _Collector:
    """What prometheus_client's registry asks."""

    def __init__(
        self,
        families: typing.Callable[[], typing.Iterator[metrics_core.Metric]],
    ) -> None:
        self._families = families

    def collect(self) -> typing.Iterator[metrics_core.Metric]:
        return self._families()


class _Latency:
    """Two windows of a latency, and its count and sum since the start."""

    __slots__ = ('count', 'sum', '_current', '_last', '_began')

    def __init__(self) -> None:
        self.count = 0
        self.sum = float(0)
        self._current = _histogram()
        self._last = _histogram()
        self._began = float(0)

    def record(self, seconds: float, now: float) -> None:
        self._turn(now)
        self.count += 1
        self.sum += seconds
        microseconds = max(1, int(seconds * _MICROSECONDS))
        self._current.record_value(min(microseconds, _LONGEST_MICROSECONDS))

    def quantiles(self, now: float) -> dict[float, float]:
        self._turn(now)
        both = _histogram()
        both.add(self._current)
        both.add(self._last)
        if not both.get_total_count():
            return {}
        return {
            part: both.get_value_at_percentile(part * _PERCENT) / _MICROSECONDS
            for part in _QUANTILES
        }

    def _turn(self, now: float) -> None:
        age = now - self._began
        if age < _WINDOW_SECONDS:
            return
        emptied = self._last
        emptied.reset()
        self._last = self._current
        self._current = emptied
        if age >= 2 * _WINDOW_SECONDS:
            self._last.reset()
        self._began = now


def _histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, _LONGEST_MICROSECONDS, _DIGITS)


def _counter(
    metric: metricnames.Metric,
    counts: typing.Mapping[Labels, int],
) -> metrics_core.Metric:
    family = metrics_core.CounterMetricFamily(
        metric.name, metric.meaning, labels=metric.labels
    )
    for labels, amount in sorted(counts.items()):
        family.add_metric(labels, amount)
    return family


def _gauge(
    metric: metricnames.Metric,
    reading: Reading,
) -> metrics_core.Metric:
    family = metrics_core.GaugeMetricFamily(
        metric.name, metric.meaning, labels=metric.labels
    )
    by_labels = reading if isinstance(reading, dict) else {(): reading}
    for labels, level in sorted(by_labels.items()):
        family.add_metric(labels, level)
    return family


def _summary(
    metric: metricnames.Metric,
    series: typing.Mapping[Labels, _Latency],
    now: float,
) -> metrics_core.Metric:
    family = metrics_core.SummaryMetricFamily(
        metric.name, metric.meaning, labels=metric.labels
    )
    for labels, latency in sorted(series.items()):
        family.add_metric(labels, latency.count, latency.sum)
        named = dict(zip(metric.labels, labels))
        for part, seconds in latency.quantiles(now).items():
            with_part = {**named, 'quantile': str(part)}
            family.add_sample(metric.name, with_part, seconds)
    return family
