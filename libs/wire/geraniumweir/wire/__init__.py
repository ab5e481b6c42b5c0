"""Messages between entry hosts and the connections that carry them.

Messages are thrift structs; the IDL lies in ``libs/wire/idl`` and the
generated code in :mod:`geraniumweir.wire.gen`. Parts talk through the narrow
interface :class:`geraniumweir.wire.peers.Peers`.

See Also
========
geraniumweir.wire.peers, geraniumweir.wire.memory
"""
