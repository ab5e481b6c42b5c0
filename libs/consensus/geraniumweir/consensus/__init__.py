"""A replicated log that uses the Raft consensus algorithm.

Each replica of the log is a
:class:`geraniumweir.consensus.recorder.Recorder`; every other host accesses
the log through :class:`geraniumweir.consensus.client.LogClient`. Commands are
opaque to the log: the state machine given to the recorder interprets them.

References
==========
.. [1] D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus
   Algorithm", USENIX ATC 2014.
.. [2] D. Ongaro, "Consensus: Bridging Theory and Practice", PhD thesis,
   Stanford University, 2014.

See Also
========
geraniumweir.consensus.recorder, geraniumweir.consensus.client,
geraniumweir.consensus.settings, geraniumweir.consensus.errors
"""
