"""A pool leader for requests whose first token is due at a target time.

:mod:`geraniumweir.scheduling.deadline_leader` serves what can end before
its deadline.
    This package serves first tokens before their targets: a response is worth
    most if its first token comes in time, less afterwards, and nothing once the
    caller has left.

See Also
========
geraniumweir.scheduling.ontime.leader, geraniumweir.scheduling.ontime.ordering,
geraniumweir.scheduling.ontime.placing
"""
