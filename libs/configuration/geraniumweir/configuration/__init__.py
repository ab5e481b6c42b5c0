"""The operators' configuration: its document, rules and checks.

A document is a TOML file with ordered rules. :mod:`reading` turns the text
into typed values and names each fault with its place; :mod:`matching` finds
the first rule that matches a request.

See Also
========
geraniumweir.configuration.document, geraniumweir.configuration.reading,
geraniumweir.configuration.matching
"""
