"""Fake backend servers, and the benches and the demo that use them.

See Also
========
geraniumweir.fakes.engine, geraniumweir.fakes.service,
geraniumweir.fakes.demo, geraniumweir.fakes.bench_path
"""
