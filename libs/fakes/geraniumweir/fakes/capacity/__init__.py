"""Works out docs/CAPACITY.md from measured slopes.

:mod:`letter` holds the size asked for, :mod:`figures` the slopes, the other
modules the sums; :mod:`page` fills in the tables, so that page and figures
can't part.
"""
