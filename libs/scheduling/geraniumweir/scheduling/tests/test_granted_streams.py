"""A pool's leader tells of the version of each grant."""

import asyncio

import pytest
from geraniumweir.common import ids, timers, virtual
from geraniumweir.scheduling import (
    channel,
    remote,
    requests,
    stream_origins,
    translation,
)
from geraniumweir.scheduling.tests import ask_bed
from geraniumweir.wire import memory

_POOL = ids.PoolName('pool')
_CUSTOMER = ids.CustomerName('customer')
_CONTENT = ids.Fingerprint(7)


@pytest.mark.parametrize('streams', (True, False))
def test_version_of_a_grant_is_recorded_before_its_stream_begins(
    streams: bool,
) -> None:
    """The beginning may be lost with the entry host that sees it."""

    async def work() -> list[stream_origins.StreamBegin]:
        network = memory.MemoryNetwork()
        view = ask_bed.View()
        link = channel.Channel(
            network.join(ask_bed.FIRST, ids.Address('10.0.0.1', 1))
        )
        begins: list[stream_origins.StreamBegin] = []
        service = remote.LeaderService(
            link,
            view,
            ids.FailureDomain('all'),
            lambda _pool, _on_preempt: ask_bed.Fifo(1),
            timers.TimerService(),
            on_stream_begin=begins.append,
        )
        entry = network.join(ask_bed.ENTRY, ids.Address('10.0.0.1', 2))
        now = asyncio.get_running_loop().time()
        slot_request = requests.SlotRequest(
            request_id=ids.RequestId('r'),
            owner=ask_bed.ENTRY,
            pool=_POOL,
            customer=_CUSTOMER,
            rule=ids.RuleName('rule'),
            tier=ids.Tier(0),
            deadline=now + 10,
            fingerprint=_CONTENT,
            streams=streams,
        )
        ask = translation.pack_ask(slot_request, 1, now)
        await entry.call(ask_bed.FIRST, ask, 1)
        service.close()
        return begins

    begins = virtual.run(work())
    assert len(begins) == streams
    key = stream_origins.key_of_content(_CUSTOMER, _CONTENT)
    assert all(begin.key == key and begin.seconds > 10 for begin in begins)
