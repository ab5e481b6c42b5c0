"""Errors of the durable files."""

from geraniumweir.common import errors


class StoreError(errors.GeraniumweirError):
    """The data folder can't be used."""

    code = 'GW-5001'


class StoreFailedError(StoreError):
    """A write or a sync failed; the folder takes nothing any more.

    After a failing fsync the kernel may have dropped the data and marked it
    clean, so a later fsync that succeeds proves nothing [1]_.

    References
    ==========
    .. [1] A. Rebello et al., "Can Applications Recover from fsync
       Failures?", USENIX ATC 2020.
    """

    code = 'GW-5002'


class CorruptError(StoreError):
    """A file holds what can't have been written in order."""

    code = 'GW-5003'

    def __init__(self, name: str, offset: int, reason: str) -> None:
        """Name the place.

        :param name: the file in the data folder.
        :param offset: in bytes from its start.
        :param reason: what is wrong there.
        """
        super().__init__(f'{name} at byte {offset}: {reason}')
        self.name = name
        self.offset = offset


class FolderInUseError(StoreError):
    """Another process holds the data folder."""

    code = 'GW-5004'


class FormatError(StoreError):
    """The data folder was written by a version that this one can't read."""

    code = 'GW-5005'
