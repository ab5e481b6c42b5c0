"""The bench of decisions: policies against an engine model, in virtual time.

See Also
========
geraniumweir.fakes.bench.main, geraniumweir.fakes.bench.scenarios,
geraniumweir.fakes.bench.engine_model, geraniumweir.fakes.bench.driver,
geraniumweir.fakes.bench.baselines, geraniumweir.fakes.bench.figures,
geraniumweir.fakes.bench.oracle, geraniumweir.fakes.bench.bounds
"""
