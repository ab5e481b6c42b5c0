"""Decides how a pool's traffic moves to a new version of its servers.

The package uses no network and no clock of its own. A pool leader asks the
rollout controller whether the new version may get a request, and reports the
answers of servers to it.

See Also
========
geraniumweir.rollout.orders, geraniumweir.rollout.controller,
geraniumweir.rollout.detection, geraniumweir.rollout.schedule
"""
