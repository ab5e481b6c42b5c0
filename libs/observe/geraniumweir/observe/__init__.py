"""What operators see of a running host: logs, metrics and traces.

Nothing here decides anything: a host serves the same with all of it off.

See Also
========
geraniumweir.observe.logs, geraniumweir.observe.metrics,
geraniumweir.observe.metricnames, geraniumweir.observe.traces,
geraniumweir.observe.spanqueue, geraniumweir.observe.tracefile
"""
