"""Rows that show the recorders to operators."""

import asyncio
import typing

from geraniumweir.common import ids
from geraniumweir.consensus import client, errors
from geraniumweir.daemon import operations
from geraniumweir.wire.gen.consensus import ttypes

_TIMEOUT_SECONDS = 1.0


async def rows(
    log: client.LogClient,
    known: typing.Sequence[ids.HostId],
) -> list[operations.RecorderRow]:
    """Return the recorders, as their leader sees them.

    Where the leader doesn't answer, the view of the recorder with the highest
    term is returned.

    :param known: ids of the recorders to query.
    :raises operations.NoMajorityError: when none answers.
    """
    replies = await asyncio.gather(
        *(_request_status(log, one) for one in known)
    )
    answers = [answer for answer in replies if answer is not None]
    if not answers:
        raise operations.NoMajorityError('no recorder answers', ids.Ran.no)
    # Prefer the leader's own view, then the highest term.
    found = max(answers, key=lambda one: (one.role == 'leader', one.term))
    return [_row(found, one) for one in found.recorders]


async def _request_status(
    log: client.LogClient,
    host_id: ids.HostId,
) -> ttypes.StatusAnswer | None:
    try:
        return await log.status(host_id, _TIMEOUT_SECONDS)
    except errors.ConsensusError:
        return None


def _row(
    found: ttypes.StatusAnswer,
    one: ttypes.RecorderStatus,
) -> operations.RecorderRow:
    return operations.RecorderRow(
        ids.HostId(one.recorder.host_id),
        one.recorder.address,
        one.recorder.voter,
        leader=one.recorder.host_id == found.leader,
        match_index=one.match_index,
    )
