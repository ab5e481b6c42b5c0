"""Plays rollouts of good and bad versions on one pool, in virtual time.

See Also
========
geraniumweir.fakes.rollouts.playing, geraniumweir.fakes.rollouts.versions,
geraniumweir.fakes.rollouts.thresholds
"""
