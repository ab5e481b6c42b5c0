"""Serves callers by the routes of a document.

See Also
========
geraniumweir.gateway.serving, geraniumweir.gateway.forwarding,
geraniumweir.gateway.codec
"""
