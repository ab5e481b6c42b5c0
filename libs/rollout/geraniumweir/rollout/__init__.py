"""Moves a pool's traffic to a new version of its backend servers.

Decisions only: no network, no clock of its own. A pool's coordinator asks a
guide how much the new version may get and tells it what came of that.

See Also
========
geraniumweir.rollout.orders, geraniumweir.rollout.controller,
geraniumweir.rollout.detection, geraniumweir.rollout.schedule
"""
