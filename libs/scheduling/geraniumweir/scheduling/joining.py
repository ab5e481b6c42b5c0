"""Callers that wait for the same answer, and the end of the last of them."""

import asyncio
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import requests, views


class Waiting(typing.Protocol):
    """Request in a leader's queue.

    :ivar joined: number of callers that wait for the same answer.
    """

    slot_request: requests.SlotRequest
    fut: asyncio.Future[requests.Grant | requests.Denial]
    joined: int


class Running(typing.Protocol):
    """Request that a leader granted."""

    grant: requests.Grant


async def wait_for_answer(
    leader: views.Scheduler,
    waiting: Waiting,
    running: typing.Mapping[ids.RequestId, Running],
) -> requests.Grant | requests.Denial:
    """Wait for the answer; withdraw the request with its last caller.

    :param running: requests that the leader granted, by id.
    """
    waiting.joined += 1
    try:
        return await asyncio.shield(waiting.fut)
    except asyncio.CancelledError:
        waiting.joined -= 1
        if not waiting.joined:
            granted = running.get(waiting.slot_request.request_id)
            _abandon(leader, waiting, granted)
        raise


def _abandon(
    leader: views.Scheduler,
    waiting: Waiting,
    granted: Running | None,
) -> None:
    request_id = waiting.slot_request.request_id
    leader.withdraw(request_id)
    if granted is not None and granted.grant is waiting.fut.result():
        given_up = requests.Outcome.given_up
        leader.release(requests.Release(request_id, given_up))
