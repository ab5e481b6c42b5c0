"""Routing documents and the index that finds the route of a request.

See Also
========
geraniumweir.routing.tables, geraniumweir.routing.finding,
geraniumweir.routing.weights
"""
