"""How a host counts quotas when it begins to coordinate."""

import asyncio

from geraniumweir.common import ids, timers, virtual
from geraniumweir.control import coordination, enrolments, roster
from geraniumweir.routing import finding, tables
from geraniumweir.scheduling import channel
from geraniumweir.wire import memory
from reactivex import subject

_NAME = ids.CustomerName('customer')
_SECONDS = 8
_QUOTA = tables.Quota(100, burst=0, in_tokens=True, plain_cost=0)
_WHOLE = _QUOTA.per_second * _SECONDS


class _View:
    """Sees whatever the test says; the coordinator here."""

    def __init__(self) -> None:
        self.changes: subject.Subject[None] = subject.Subject()

    def live(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        """List this host."""
        return [ids.HostId('here')]

    def owners(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        """List nobody."""
        return []


def _parts(view: _View) -> coordination.Parts:
    layer = memory.MemoryNetwork().join(
        ids.HostId('here'),
        ids.Address('10.0.0.1', 1),
    )
    index = finding.Index(
        tables.Document(
            version=ids.Version(1),
            customers=(tables.Customer(_NAME, ('key',), quota=_QUOTA),),
        ),
    )
    known = enrolments.Enrolments(ids.HostId('here'), 3)
    return coordination.Parts(
        link=channel.Channel(layer),
        view=view,
        roster=roster.Roster(known, lambda: index),
        index=lambda: index,
        share=lambda: 1,
        shares_slots=False,
        quota_seconds=_SECONDS,
    )


def test_what_another_granted_counts_as_used() -> None:
    """A host that coordinates again doesn't go by its old windows."""

    async def work() -> None:
        view, clock = _View(), timers.TimerService()
        counted = coordination.count_quotas(_parts(view), clock)
        assert counted.take(_NAME, _WHOLE / 2, clock.now())
        await asyncio.sleep(_SECONDS + 1)
        view.changes.on_next(None)
        assert counted.take(_NAME, _WHOLE / 2, clock.now())
        await asyncio.sleep(_SECONDS + 1)
        assert not counted.take(_NAME, _WHOLE / 2, clock.now())

    virtual.run(work())
