"""One replicated log on the recorders, in the manner of Raft.

Each recorder is a :class:`geraniumweir.consensus.recorder.Recorder`; every
other host reaches the log by :class:`geraniumweir.consensus.client.LogClient`.
What a command means is the matter of the state machine given to the recorder.

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
