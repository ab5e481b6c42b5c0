"""Durable files of one recorder: log segments, snapshots, vote, identity.

All files lie directly in one data folder, which one process locks at a time.
Nothing is acknowledged before it is synced, and after the first failed write
or sync the folder accepts no operation any more.

See Also
========
geraniumweir.store.folder, geraniumweir.store.log,
geraniumweir.store.snapshots, geraniumweir.store.disk
"""
