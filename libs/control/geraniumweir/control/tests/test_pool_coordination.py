"""How a host counts quotas when it becomes the coordinator."""

import asyncio
import dataclasses
import types
import typing

from geraniumweir.common import ids, timers, virtual
from geraniumweir.control import (
    enrolments,
    host,
    pool_coordination,
    pool_servers,
    usage_codec,
)
from geraniumweir.routing import finding, tables
from geraniumweir.scheduling import (
    channel,
    recent_usage,
    remote,
    requests,
    retrybudget,
    views,
)
from geraniumweir.wire import memory
from geraniumweir.wire.gen.control import ttypes
from reactivex import subject

_NAME = ids.CustomerName('customer')
_POOL = ids.PoolName('pool')
_HERE = ids.HostId('here')
_OTHER = ids.HostId('other')
_ENTRY = ids.HostId('entry')
_SECONDS = 8
_QUOTA = tables.Quota(100, burst=0, in_tokens=True, plain_cost=0)
_WHOLE = _QUOTA.per_second * _SECONDS


class _View:
    """A host view whose coordinator the test sets; first this host."""

    def __init__(self) -> None:
        self.changes: subject.Subject[None] = subject.Subject()
        self.coordinator = _HERE

    def live(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        """Return the coordinator."""
        return [self.coordinator]

    def owners(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        """Return no host."""
        return []


def _parts(
    view: _View, layer: memory.MemoryPeers
) -> pool_coordination.Dependencies:
    index = finding.Index(
        tables.Document(
            version=ids.Version(1),
            customers=(tables.Customer(_NAME, ('key',), quota=_QUOTA),),
        ),
    )
    known = enrolments.Enrolments(_HERE, 3)
    return pool_coordination.Dependencies(
        link=channel.Channel(layer),
        view=view,
        pool_servers=pool_servers.PoolServers(known, lambda: index),
        index=lambda: index,
        share=lambda: 1,
        shares_slots=False,
        quota_seconds=_SECONDS,
        hosts=lambda: 1,
        budget=retrybudget.Budget(0, 1, 0),
        retries=retrybudget.Scope(lambda: True, lambda: 1),
    )


def _spent(amount: float) -> ttypes.Spent:
    """Return the report of an amount that was granted a second ago."""
    usage = recent_usage.RecentUsage(_SECONDS, {_NAME: {5: amount}})
    return usage_codec.pack(usage)


class _Bed:
    """A host that counts quotas, and an entry host that reports usage."""

    def __init__(self) -> None:
        self.view = _View()
        self.leads = True
        self.clock = timers.TimerService()
        network = memory.MemoryNetwork()
        here = ids.Address('10.0.0.1', 1)
        layer = network.join(_HERE, here)
        parts = dataclasses.replace(
            _parts(self.view, layer),
            budget=retrybudget.Budget(ratio=0, window=_SECONDS, slack=20),
            retries=retrybudget.Scope(lambda: self.leads, lambda: 1),
        )
        counting = pool_coordination.UsageAccounting(parts, self.clock)
        self.quotas = counting.quotas
        self.retries = counting.retries
        self._entry = network.join(_ENTRY, ids.Address('10.0.0.2', 1))
        self._entry.learn(_HERE, here)

    async def report_usage(self, amount: float) -> None:
        """Let the entry host report what it was granted."""
        self._entry.send(_HERE, _spent(amount))
        await asyncio.sleep(0.1)

    def retry(self) -> bool:
        """Return whether a retry is granted."""
        return self.retries.take(_POOL, self.clock.now())

    def coordinates(self, host: ids.HostId) -> None:
        """Make a host the coordinator."""
        self.view.coordinator = host
        self.view.changes.on_next(None)

    def takes(self, part: float) -> bool:
        """Return whether a part of the whole quota is granted."""
        return not self.quotas.take(_NAME, _WHOLE * part, self.clock.now())


def _run(work: typing.Callable[[_Bed], typing.Awaitable[None]]) -> None:
    async def on_bed() -> None:
        await work(_Bed())

    virtual.run(on_bed())


def test_unreported_usage_counts_as_used() -> None:
    """A host that coordinates again does not use its old windows."""

    async def work(bed: _Bed) -> None:
        assert not bed.takes(0.5)
        bed.coordinates(_OTHER)
        await asyncio.sleep(_SECONDS + 1)
        bed.coordinates(_HERE)
        assert not bed.takes(0.5)
        await asyncio.sleep(_SECONDS + 1)
        assert bed.takes(0.5)

    _run(work)


def test_reported_usage_counts_instead() -> None:
    """As much as the entry host was granted, and no more."""

    async def work(bed: _Bed) -> None:
        bed.coordinates(_OTHER)
        await asyncio.sleep(_SECONDS + 1)
        bed.coordinates(_HERE)
        await bed.report_usage(_WHOLE / 4)
        assert not bed.takes(0.8)
        assert bed.takes(0.7)

    _run(work)


def test_usage_reported_before_this_host_coordinates_counts() -> None:
    """Its earlier report counts as well."""

    async def work(bed: _Bed) -> None:
        bed.coordinates(_OTHER)
        await asyncio.sleep(_SECONDS + 1)
        await bed.report_usage(_WHOLE / 4)
        bed.coordinates(_HERE)
        assert bed.takes(0.7)
        assert not bed.takes(0.1)

    _run(work)


def test_usage_that_is_reported_twice_counts_once() -> None:
    """A short partition makes no charge count twice."""

    async def work(bed: _Bed) -> None:
        bed.coordinates(_OTHER)
        await asyncio.sleep(_SECONDS + 1)
        bed.coordinates(_HERE)
        await bed.report_usage(_WHOLE / 4)
        await bed.report_usage(_WHOLE / 4)
        assert bed.takes(0.7)

    _run(work)


def test_leader_that_stood_in_continues_its_windows() -> None:
    """Its own windows stay valid."""

    async def work(bed: _Bed) -> None:
        await asyncio.sleep(_SECONDS + 1)
        assert bed.takes(0.7)
        bed.coordinates(_HERE)
        assert not bed.takes(0.5)
        assert bed.takes(0.3)

    _run(work)


def test_fixed_number_of_retries_is_granted_by_the_leader_only() -> None:
    """A stand-in counts afresh when it becomes the leader."""

    async def work(bed: _Bed) -> None:
        await asyncio.sleep(_SECONDS + 1)
        assert bed.retry()
        bed.leads = False
        bed.coordinates(_HERE)
        assert not bed.retry()
        bed.leads = True
        bed.coordinates(_HERE)
        assert not bed.retry()
        await asyncio.sleep(_SECONDS + 1)
        assert bed.retry()

    _run(work)


async def _limited_customers(
    pool_leader: views.PoolLeader, customer: ids.CustomerName
) -> list[ids.CustomerName]:
    """Send a request to a pool without servers and withdraw it."""
    now = asyncio.get_running_loop().time()
    slot_request = requests.SlotRequest(
        ids.RequestId(f'at {now}'),
        _ENTRY,
        _POOL,
        customer,
        ids.RuleName('rule'),
        ids.Tier.normal,
        now + 5,
    )
    answer = asyncio.create_task(pool_leader.request_slot(slot_request))
    await asyncio.sleep(0.5)
    limited = pool_leader.customers_above_share()
    pool_leader.withdraw(slot_request.request_id)
    await answer
    return limited


def _customers_above_share(
    service: remote.LeaderService,
) -> dict[tuple[str, ...], float]:
    """Return what the metric of a control host with this service counts."""
    return host.ControlHost.customers_above_share(
        types.SimpleNamespace(_service=service)
    )


def test_pool_leaders_use_the_weights_of_the_document_in_force() -> None:
    """Also those of a document that comes after the leader began."""
    weightless = tables.Customer(
        ids.CustomerName('weightless'), ('other',), weight=0
    )

    async def work() -> None:
        network = memory.MemoryNetwork()
        deps = _parts(_View(), network.join(_HERE, ids.Address('10.0.0.1', 1)))
        indexes = [deps.index()]
        service = pool_coordination.make_leader_service(
            dataclasses.replace(deps, index=lambda: indexes[-1]),
            timers.TimerService(),
        )
        pool_leader = service.leader(_POOL)
        assert not await _limited_customers(pool_leader, weightless.name)
        before = indexes[-1].document
        after = dataclasses.replace(
            before, customers=(*before.customers, weightless)
        )
        indexes.append(finding.Index(after))
        limited = await _limited_customers(pool_leader, weightless.name)
        assert limited == [weightless.name]
        assert _customers_above_share(service) == {(_POOL,): 1}
        service.close()

    virtual.run(work())
