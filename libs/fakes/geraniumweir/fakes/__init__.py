"""Fake backend servers, and the benches and the demo that use them.

See Also
========
geraniumweir.fakes.engine, geraniumweir.fakes.demo
"""
