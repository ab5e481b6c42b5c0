"""Slopes: what each part costs, by size, on one machine.

Each module measures one part with small stand-ins at four sizes or more and
prints its slopes as JSON; :mod:`main` runs all of them, a few at a time, and
writes one file, from which :mod:`geraniumweir.fakes.capacity` works out the
page of capacities. Processor time is that of the process, never wall time, so
figures stand on a busy machine too; counts are made in virtual time.
"""
