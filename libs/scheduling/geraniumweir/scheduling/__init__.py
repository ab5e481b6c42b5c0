"""The pool leader: the one owner of a pool's capacity.

See Also
========
geraniumweir.scheduling.requests, geraniumweir.scheduling.deadline_leader
"""
