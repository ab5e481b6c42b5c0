"""The operators' tool, geraniumctl.

See Also
========
geraniumweir.ctl.main
"""
