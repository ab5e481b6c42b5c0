"""Who is there: live entry hosts and leased backend servers.

See Also
========
geraniumweir.membership.servers
"""
