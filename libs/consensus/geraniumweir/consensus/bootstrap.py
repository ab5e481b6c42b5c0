"""Bootstrap of a log by one of its initial recorders.

Only the recorder with the lowest host id writes the first entry, and only
after each of the initial recorders has answered that its log is empty. So a
recorder whose folder was emptied can't bootstrap a second log: one of the
others has entries or can't be reached.
"""

import asyncio
import typing

from geraniumweir.common import ids
from geraniumweir.consensus import core, logevents, machines, members
from geraniumweir.store import entries
from geraniumweir.wire import errors as wire_errors
from geraniumweir.wire.gen.consensus import ttypes

InitialRecorders = typing.Mapping[ids.HostId, ids.Address]


async def bootstrap_log(this: core.Core, first: InitialRecorders) -> None:
    """Write the first entry of a new log, if that is up to this recorder.

    Returns when it is not, or no longer.

    :param first: addresses of the initial recorders, by host.
    """
    own = this.env.cfg.host_id
    if not first or own != min(first):
        return
    reported = False
    while is_blank(this):
        answers = [await _identify(this, host_id) for host_id in first]
        if all(answer and answer.blank for answer in answers):
            await _write_first_entry(this, first, answers)
            return
        reported = reported or _report_existing_log(this, first, answers)
        await asyncio.sleep(this.env.cfg.heartbeat)


def is_blank(this: core.Core) -> bool:
    """Return whether this recorder's log is empty."""
    return this.folder.log.last.index == 0


def identified(this: core.Core) -> ttypes.Identified:
    """Return the answer to an identify message."""
    return ttypes.Identified(this.identity, is_blank(this))


def _report_existing_log(
    this: core.Core,
    first: InitialRecorders,
    answers: typing.Sequence[ttypes.Identified | None],
) -> bool:
    for host_id, answer in zip(first, answers):
        if answer and not answer.blank:
            this.env.report(logevents.MUST_BE_ADDED, host=host_id)
            return True
    return False


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


async def _write_first_entry(
    this: core.Core,
    first: InitialRecorders,
    answers: typing.Sequence[ttypes.Identified | None],
) -> None:
    recorders = tuple(
        members.Member(answer.identity, host_id, str(first[host_id]))
        for host_id, answer in zip(first, answers)
        if answer is not None
    )
    initial = members.Members(this.identity, recorders)
    if not is_blank(this):
        return
    this.enter_term(1, 'founds the log')
    first_entry = entries.Entry(
        1,
        this.term,
        machines.Kind.members,
        members.encode(initial),
    )
    this.append([first_entry])
    await this.folder.vote_store.wait_durable()
    await this.folder.log.sync()
    this.env.report(logevents.BOOTSTRAPPED, recorders=list(first))
