"""HTTP to backend servers.

See Also
========
geraniumweir.backends.calls, geraniumweir.backends.streams,
geraniumweir.backends.bodies, geraniumweir.backends.identity,
geraniumweir.backends.prompts, geraniumweir.backends.sockets,
geraniumweir.backends.surplus
"""
