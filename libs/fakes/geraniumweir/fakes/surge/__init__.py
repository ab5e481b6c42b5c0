"""Bursts and a change of coordinators on a large pool, in virtual time.

Hundreds of entry hosts ask one coordinator for the slots of some tens of
engines of unlike speed. Callers leave when nothing comes for long, and come
back once when they are refused. The coordinator can freeze: entry hosts then
turn to a new one that knows nothing, each at its own moment, and hand over
what they have. The real pool leader decides; the engines are the bench's.

``shapes`` has what can be played, ``callers`` who comes, ``playing`` plays it.
Run with ``python -m geraniumweir.fakes.surge.main``.
"""
