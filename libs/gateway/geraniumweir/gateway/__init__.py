"""Forwards callers' requests to backend servers by a routing document.

See Also
========
geraniumweir.gateway.serving, geraniumweir.gateway.forwarding,
geraniumweir.gateway.codec
"""
