"""Registration of the handlers for messages of other hosts."""

import functools
import typing

from geraniumweir.common import ids
from geraniumweir.consensus import (
    bootstrap,
    core,
    errors,
    following,
    leadership_transfer,
    serving,
    voting,
)
from geraniumweir.store import errors as store_errors
from geraniumweir.wire import peers
from geraniumweir.wire.gen.consensus import ttypes

_Handler = typing.Callable[
    [core.Core, typing.Any],
    typing.Awaitable[typing.Any],
]


def register(this: core.Core) -> None:
    """Register the handlers for all messages to a recorder."""
    for message_type, handler in _HANDLERS.items():
        this.env.peers.handle(
            message_type,
            functools.partial(_guarded, this, handler),
        )


async def _guarded(
    this: core.Core,
    handler: _Handler,
    _sender: ids.HostId,
    message: peers.Message,
) -> peers.Message | None:
    try:
        return await handler(this, message)
    except (store_errors.StoreError, errors.UnsafeError) as exc:
        this.fail(exc)
        raise errors.RecorderFailedError(exc.message) from exc


async def _identify(
    this: core.Core,
    _ask: ttypes.Identify,
) -> ttypes.Identified:
    this.check_not_failed()
    return bootstrap.identified(this)


_HANDLERS: typing.Mapping[type, _Handler] = {
    ttypes.AskVote: voting.answer_vote,
    ttypes.AppendEntries: following.handle_append_entries,
    ttypes.SnapshotPiece: following.handle_snapshot_piece,
    ttypes.CampaignNow: leadership_transfer.handle_campaign_now,
    ttypes.Identify: _identify,
    ttypes.Propose: serving.answer_propose,
    ttypes.AskBarrier: serving.answer_barrier,
    ttypes.ChangeRecorders: serving.answer_change,
    ttypes.ReadEntries: serving.answer_entries,
    ttypes.FetchSnapshot: serving.answer_snapshot,
    ttypes.AskStatus: serving.answer_status,
}
