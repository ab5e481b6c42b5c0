"""The entry host daemon, geraniumweird.

See Also
========
geraniumweir.daemon.main, geraniumweir.daemon.host
"""
