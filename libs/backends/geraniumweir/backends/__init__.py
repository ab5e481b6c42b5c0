"""HTTP to backend servers.

See Also
========
geraniumweir.backends.calls
"""
