"""Cluster membership: live entry hosts and leased backend servers.

See Also
========
geraniumweir.membership.membership
geraniumweir.membership.hosts
geraniumweir.membership.servers
geraniumweir.membership.poolsummaries
"""
