"""Watches the version in force on every host of a system."""

import asyncio
import contextlib
import dataclasses
import typing

from geraniumweir.fakes import system

_PERIOD_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class GoneBack:
    """A version that was followed by an older one on the same host."""

    host_id: str
    before: int
    after: int


@dataclasses.dataclass(slots=True)
class Watch:
    """What was seen.

    :ivar newest: the newest version seen, by host.
    """

    newest: dict[str, int] = dataclasses.field(default_factory=dict)
    gone_back: list[GoneBack] = dataclasses.field(default_factory=list)

    def note(self, host_id: str, version: int | None) -> None:
        """Take what a host says; None where it's silent."""
        if version is None:
            return
        before = self.newest.get(host_id, 0)
        if version < before:
            self.gone_back.append(GoneBack(host_id, before, version))
        self.newest[host_id] = version


@contextlib.asynccontextmanager
async def versions(made: system.System) -> typing.AsyncIterator[Watch]:
    """Watch until the block ends; a stopped host delays no other."""
    watch = Watch()
    tasks = [
        asyncio.create_task(_follow(made, host_id, watch))
        for host_id in made.plans
    ]
    try:
        yield watch
    finally:
        for task in tasks:
            task.cancel()


async def _follow(made: system.System, host_id: str, watch: Watch) -> None:
    while True:
        watch.note(host_id, await made.version(host_id))
        await asyncio.sleep(_PERIOD_SECONDS)
