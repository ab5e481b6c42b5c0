"""Routes as ordered rules, and the index that finds the first match.

See Also
========
geraniumweir.routing.tables, geraniumweir.routing.finding
"""
