"""The data folder of an entry host.

It has two subfolders: ``log`` belongs to the recorder, ``followed`` holds the
configuration version that this host had in force last.
"""

import asyncio
import contextlib
import pathlib

from geraniumweir.common import errors, ids
from geraniumweir.configuration import recordings
from geraniumweir.daemon import settings
from geraniumweir.store import disk, wholefiles
from geraniumweir.store import errors as store_errors
from geraniumweir.wire import peers

_VERSION_FILE = 'version'


class VersionStoreError(errors.GeraniumweirError):
    """The version in force could not be written to the data folder."""

    code = 'GW-5201'


class VersionStore:
    """Storage of the last version in force; see :class:`holding.Shelf`."""

    def __init__(self, medium: disk.Disk) -> None:
        """Initialize over a folder."""
        self._medium = medium

    def load(self) -> tuple[ids.Version, str] | None:
        """Return the stored version and its text, or None."""
        kept = wholefiles.load(self._medium, _VERSION_FILE)
        if kept is None:
            return None
        version, _, text = kept.decode().partition('\n')
        return ids.Version(int(version)), text

    async def save(self, version: ids.Version, text: str) -> None:
        """Store a version; returns once it is synced.

        :raises VersionStoreError: when writing fails.
        """
        payload = f'{version}\n{text}'.encode()
        try:
            await asyncio.to_thread(
                wholefiles.replace,
                self._medium,
                _VERSION_FILE,
                payload,
            )
        except (OSError, store_errors.StoreError) as exc:
            raise VersionStoreError(str(exc)) from exc


def open_version_store(
    cfg: settings.Settings,
    stack: contextlib.AsyncExitStack,
) -> VersionStore | None:
    """Open the version store, on a host with a data folder.

    :returns: None on a host without one.
    :raises store_errors.StoreError: when the folder can't be used.
    """
    if cfg.data_folder is None:
        return None
    medium = disk.RealDisk(pathlib.Path(cfg.data_folder, 'followed'))
    stack.callback(medium.close)
    wholefiles.remove_drafts(medium)
    return VersionStore(medium)


async def start_recorder(
    cfg: settings.Settings,
    peer_layer: peers.Peers,
    stack: contextlib.AsyncExitStack,
) -> recordings.Recording | None:
    """Start the recorder of a host with a data folder.

    A recorder that isn't among the first ones waits until it is added.

    :returns: None on a host without a data folder.
    :raises store_errors.StoreError: when the folder can't be used.
    """
    if cfg.data_folder is None:
        return None
    place = recordings.Place(
        cfg.host_id,
        pathlib.Path(cfg.data_folder, 'log'),
        cfg.recorders,
    )
    running = recordings.opened(place, peer_layer)
    return await stack.enter_async_context(running)
