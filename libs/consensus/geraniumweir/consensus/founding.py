"""The first entry of a log, made once by one of the first recorders.

The founder is the one with the lowest host id, and it founds only when each of
the first recorders has answered that it holds nothing. So a recorder whose
folder was emptied can't found a second log beside the first: one of the others
holds entries, or can't be asked.
"""

import asyncio
import typing

from geraniumweir.common import ids
from geraniumweir.consensus import core, logevents, machines, members
from geraniumweir.store import entries
from geraniumweir.wire import errors as wire_errors
from geraniumweir.wire.gen.consensus import ttypes

First = typing.Mapping[ids.HostId, ids.Address]


async def found(this: core.Core, first: First) -> None:
    """Found the log if that is this recorder's part; return when it's not.

    :param first: the first recorders and their addresses.
    """
    own = this.env.cfg.host_id
    if not first or own != min(first):
        return
    told = False
    while this.is_blank():
        answers = [await _identify(this, host_id) for host_id in first]
        if all(answer and answer.blank for answer in answers):
            await _write_first(this, first, answers)
            return
        for host_id, answer in zip(first, answers):
            if answer and not answer.blank and not told:
                this.env.report(logevents.MUST_BE_ADDED, host=host_id)
                told = True
        await asyncio.sleep(this.env.cfg.heartbeat)


async def _identify(
    this: core.Core,
    host_id: ids.HostId,
) -> ttypes.Identified | None:
    if host_id == this.env.cfg.host_id:
        return identified(this)
    try:
        return await this.env.peers.call(
            host_id,
            ttypes.Identify(),
            this.env.cfg.election_max,
        )
    except wire_errors.PeerError:
        return None


def identified(this: core.Core) -> ttypes.Identified:
    """Tell who this recorder is."""
    return ttypes.Identified(this.identity, this.is_blank())


async def _write_first(
    this: core.Core,
    first: First,
    answers: typing.Sequence[ttypes.Identified | None],
) -> None:
    recorders = tuple(
        members.Member(answer.identity, host_id, str(first[host_id]))
        for host_id, answer in zip(first, answers)
        if answer is not None
    )
    founded = members.Members(this.identity, recorders)
    # Nobody may have voted in this term, so that no two logs share it.
    term = max(this.term, 1)
    kind = machines.Kind.members
    if not this.is_blank():
        return
    this.append([entries.Entry(1, term, kind, members.encode(founded))])
    await this.folder.log.sync()
    this.env.report(logevents.FOUNDED, recorders=list(first))
