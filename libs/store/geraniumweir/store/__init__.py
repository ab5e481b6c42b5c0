"""Durable files of one recorder: log segments, snapshots, vote, identity.

All files lie flat in one data folder that one process holds at a time.
Nothing counts before it is synced, and after the first failing write or sync
the folder never says yes again.

See Also
========
geraniumweir.store.folder, geraniumweir.store.log,
geraniumweir.store.snapshots, geraniumweir.store.disk
"""
