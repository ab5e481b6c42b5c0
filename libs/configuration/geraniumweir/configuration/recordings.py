"""Opens the recorder of a host and the state machine that it drives."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import typing

from geraniumweir.common import eventlog, ids
from geraniumweir.configuration import state
from geraniumweir.consensus import bootstrap, core, recorder, settings
from geraniumweir.store import disk, folder, guard
from geraniumweir.wire import peers


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where a recorder lives.

    :ivar folder: its own, made when missing.
    :ivar first: the first recorders, empty where this one may not found a
        log.
    """

    host_id: ids.HostId
    folder: pathlib.Path
    first: bootstrap.InitialRecorders


class Recording:
    """The recorder of this host; see :class:`following.LocalRecorder`.

    :ivar recorder: its part in the replicated log.
    :ivar state: what the log amounts to here.
    """

    def __init__(
        self,
        keeper: recorder.Recorder,
        machine: state.SystemState,
    ) -> None:
        """Hold both together."""
        self.recorder = keeper
        self.state = machine

    def is_sure(self) -> bool:
        """Tell whether it has all that was committed a moment ago."""
        return self.recorder.is_current()


@contextlib.asynccontextmanager
async def opened(
    place: Place,
    peer_layer: peers.Peers,
) -> typing.AsyncIterator[Recording]:
    """Open a folder and run its recorder until the block ends.

    :raises geraniumweir.store.errors.StoreError: when the folder can't be
        used.
    """
    async with contextlib.AsyncExitStack() as stack:
        medium = disk.RealDisk(place.folder)
        stack.callback(medium.close)
        thread = guard.OneThread()
        # A disk that hangs would hold up the loop where the thread is joined.
        stack.push_async_callback(asyncio.to_thread, thread.close)
        found = await folder.open_folder(medium, thread)
        machine = state.SystemState()
        env = core.Environment(
            cfg=settings.Settings(place.host_id),
            peers=peer_layer,
            machine=machine,
            rng=random.Random(f'{place.host_id}/{found.identity}'),
            report=eventlog.emit,
        )
        keeper = recorder.Recorder(env, found, place.first)
        keeper.start()
        stack.push_async_callback(keeper.stop)
        yield Recording(keeper, machine)
