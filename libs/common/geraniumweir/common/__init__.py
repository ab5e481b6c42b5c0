"""What every library of the workspace shares.

Ids are :class:`typing.NewType` so that a customer's name can't be passed where
a pool's is meant; errors carry a code from one catalogue; time comes from a
timer service, so that tests can run in virtual time.

See Also
========
geraniumweir.common.ids, geraniumweir.common.errors,
geraniumweir.common.timers, geraniumweir.common.logevents
"""
