"""Pool leaders, which allocate the capacity of pools, and their clients.

See Also
========
geraniumweir.scheduling.requests, geraniumweir.scheduling.deadline_leader
"""
