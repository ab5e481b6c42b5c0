"""A pool leader for requests whose first token is due at a target time.

Where :mod:`geraniumweir.scheduling.deadline_leader` serves what can end before
its deadline, this one serves first tokens before their targets: a request is
worth most until then, less afterwards, and nothing once its caller has left.

See Also
========
geraniumweir.scheduling.ontime.leader, geraniumweir.scheduling.ontime.ordering,
geraniumweir.scheduling.ontime.placing
"""
