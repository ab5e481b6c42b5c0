"""Pool leader with servers defined by a test, in virtual time."""

import asyncio
import dataclasses
import itertools
import typing

from geraniumweir.common import ids
from geraniumweir.membership import servers
from geraniumweir.scheduling import deadline_leader
from geraniumweir.scheduling import requests, settings

POOL = ids.PoolName('pool')
HOST = ids.HostId('host')

Answer = requests.Grant | requests.Denial


def engine(name: str, **fields: typing.Any) -> servers.Announcement:
    """Return the announcement of an engine."""
    known: dict[str, typing.Any] = {
        'incarnation': ids.Incarnation(1),
        'address': ids.Address('127.0.0.1', 1),
        'kind': 'engine',
        'pool': POOL,
        'failure_domain': ids.FailureDomain('domain'),
        'models': ('advisor',),
        'slots': 1,
        'can_cancel': True,
    }
    return servers.Announcement(
        server_id=ids.ServerId(name),
        **(known | fields),
    )


class Scene:
    """Pool leader, its servers and the requests sent to it."""

    def __init__(
        self,
        *live: servers.Announcement,
        **cfg: typing.Any,
    ) -> None:
        """Initialize a leader on the running loop.

        :param cfg: fields of the leader's settings.
        """
        self.loop = asyncio.get_running_loop()
        self.live = list(live)
        self.preempts: list[requests.Preempt] = []
        self.leader = deadline_leader.DeadlinePoolLeader(
            settings.LeaderSettings(POOL, **cfg),
            self.loop.time,
            lambda: self.live,
            self.preempts.append,
        )
        self.numbers = itertools.count(1)

    def make(
        self, wait: float = 60, **fields: typing.Any
    ) -> requests.SlotRequest:
        """Return a slot request that is due in some seconds."""
        number = next(self.numbers)
        known: dict[str, typing.Any] = {
            'request_id': ids.RequestId(f'request-{number}'),
            'customer': ids.CustomerName('customer'),
            'rule': ids.RuleName('rule'),
            'tier': ids.Tier.normal,
            'model': 'advisor',
            'prompt_tokens': 100,
            'streams': False,
            'fingerprint': ids.Fingerprint(number),
        }
        return requests.SlotRequest(
            owner=HOST,
            pool=POOL,
            deadline=self.loop.time() + wait,
            **(known | fields),
        )

    async def start(
        self,
        wait: float = 60,
        **fields: typing.Any,
    ) -> asyncio.Task[Answer]:
        """Send a slot request and let the leader process it."""
        task = asyncio.create_task(
            self.leader.request_slot(self.make(wait, **fields))
        )
        await asyncio.sleep(0)
        return task

    async def grant(
        self,
        wait: float = 60,
        **fields: typing.Any,
    ) -> requests.Grant:
        """Send a slot request that must be granted at once."""
        answer = await (await self.start(wait, **fields))
        assert isinstance(answer, requests.Grant), answer
        return answer

    def end(
        self,
        grant: requests.Grant,
        outcome: requests.Outcome = requests.Outcome.done,
        **fields: typing.Any,
    ) -> None:
        """Release a grant."""
        release = requests.Release(grant.request_id, outcome, **fields)
        self.leader.release(release)

    def change(self, name: str, **fields: typing.Any) -> None:
        """Change the announcement of a server."""
        self.live = [
            dataclasses.replace(server, **fields)
            if server.server_id == name
            else server
            for server in self.live
        ]


async def granted(task: asyncio.Task[Answer]) -> requests.Grant:
    """Return the answer, which must be a grant."""
    answer = await task
    assert isinstance(answer, requests.Grant), answer
    return answer


async def denied(task: asyncio.Task[Answer]) -> requests.DenialReason:
    """Return the reason of the answer, which must be a denial."""
    answer = await task
    assert isinstance(answer, requests.Denial), answer
    return answer.reason
