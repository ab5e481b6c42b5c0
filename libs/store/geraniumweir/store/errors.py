"""Errors of the data folder."""

from geraniumweir.common import errors


class StoreError(errors.GeraniumweirError):
    """The data folder can't be used."""

    code = 'GW-5001'


class StoreFailedError(StoreError):
    """A write or a sync failed; the folder accepts no operation any more.

    After a failing fsync the kernel may have dropped the data and marked it
    clean, so a later fsync that succeeds proves nothing [1]_.

    References
    ==========
    .. [1] A. Rebello et al., "Can Applications Recover from fsync
       Failures?", USENIX ATC 2020.
    """

    code = 'GW-5002'


class CorruptError(StoreError):
    """A file has content that no sequence of complete writes leaves."""

    code = 'GW-5003'

    def __init__(self, name: str, offset: int, reason: str) -> None:
        """Initialize with the location of the damage.

        :param name: name of the file in the data folder.
        :param offset: offset in the file, in bytes.
        :param reason: description of the damage.
        """
        super().__init__(f'{name} at byte {offset}: {reason}')
        self.name = name
        self.offset = offset


class FolderInUseError(StoreError):
    """Another process has locked the data folder."""

    code = 'GW-5004'


class FormatError(StoreError):
    """The data folder has a format that this version can't read."""

    code = 'GW-5005'
