"""A rate limit that one host receives reaches all hosts."""

import asyncio

import pytest
from geraniumweir.common import ids, timers, virtual
from geraniumweir.control import coordinator_client, hosts, notice_exchange
from geraniumweir.scheduling import notices, recent_usage
from geraniumweir.wire import memory
from geraniumweir.wire.gen.control import ttypes

_START = (ids.ServerId('s'), ids.Incarnation(1))
_DOMAIN = ids.FailureDomain('x')
# Half of the time after which a notified host must keep to a limit.
_KNOWN_SECONDS = 0.25


class _Coordinator:
    """The part of a coordinator that receives notices."""

    def __init__(self, bed: '_Bed', name: str) -> None:
        self.host_id = ids.HostId(name)
        self.leads = True
        self.card = bed.card(name)
        link = bed.network.join(self.host_id, self.card.address)
        self.known = notices.Notices(timers.TimerService())
        self._notice_receiver = notice_exchange.NoticeReceiver(
            link, self.known, timers.TimerService()
        )
        self.limits_at_usage_report: dict[notices.ServerIncarnation, float] = {}
        self.pauses_at_usage_report: dict[notices.ServerIncarnation, float] = {}
        link.handle(ttypes.Ping, self._on_ping)
        link.handle(ttypes.Spent, self._on_spent)

    async def _on_ping(
        self,
        sender: ids.HostId,
        ping: ttypes.Ping,
    ) -> ttypes.Pong:
        self._notice_receiver.apply_notices(sender, ping)
        pong = ttypes.Pong(self.leads, False, 2, 2, 0.5)
        self._notice_receiver.fill(ping, pong)
        return pong

    async def _on_spent(
        self,
        sender: ids.HostId,
        _message: ttypes.Spent,
    ) -> None:
        await asyncio.sleep(0.002)
        self.limits_at_usage_report = self.known.limits()
        self.pauses_at_usage_report.update(self.known.pauses(sender))


class _Entry:
    """An entry host."""

    def __init__(self, bed: '_Bed', name: str) -> None:
        card = bed.card(name)
        self.host_id = card.host_id
        link = bed.network.join(card.host_id, card.address)
        known = hosts.ControlHosts()
        for control in bed.controls:
            known.register(control.card, 0)
        self.known = notices.Notices(timers.TimerService())
        self.client = coordinator_client.CoordinatorClient(
            link,
            _DOMAIN,
            known,
            lambda _: recent_usage.RecentUsage(0, {}),
            self.known,
        )
        self.task = asyncio.create_task(self.client.run())

    def receive_limit(self, per_second: float | None) -> None:
        """Receive an answer that names a limit, or none."""
        self.receive(notices.RateLimit(per_second))

    def receive(self, content: notices.Content) -> None:
        """Receive an answer to a request that was sent a moment ago."""
        now = asyncio.get_running_loop().time()
        self.known.apply(
            notices.Notice(*_START, content, self.host_id, now - 0.01, now),
        )


class _Bed:
    """Two entry hosts and two control hosts, of which the first leads."""

    def __init__(self) -> None:
        self.network = memory.MemoryNetwork()
        self.controls = [_Coordinator(self, name) for name in ('c1', 'c2')]
        self.controls[1].leads = False
        self.entries = [_Entry(self, name) for name in ('e1', 'e2')]

    def card(self, name: str) -> hosts.ControlHost:
        """Return a host's entry."""
        address = ids.Address('10.0.0.1', sum(name.encode()))
        return hosts.ControlHost(ids.HostId(name), address, address, _DOMAIN)

    def stop(self) -> None:
        """Cancel all tasks."""
        for entry in self.entries:
            entry.task.cancel()


def test_limit_reaches_the_coordinator_and_all_hosts_at_once() -> None:
    """Also its change and its end."""

    async def work() -> None:
        bed = _Bed()
        first, second = bed.entries
        await asyncio.sleep(1)
        for limit, expected in ((2, {_START: 2}), (3, {_START: 3}), (None, {})):
            first.receive_limit(limit)
            await asyncio.sleep(0.02)
            assert bed.controls[0].known.limits() == expected
            await asyncio.sleep(_KNOWN_SECONDS)
            assert second.known.limits() == expected
            await asyncio.sleep(1)
        bed.stop()

    virtual.run(work())


def test_rejection_limit_reaches_all_hosts() -> None:
    """Also its end; a host that is alone needs it to know its part."""

    async def work() -> None:
        bed = _Bed()
        first, second = bed.entries
        await asyncio.sleep(1)
        for limit, expected in ((2, {_START: 2}), (None, {})):
            first.receive(notices.RejectionLimit(limit))
            await asyncio.sleep(0.02)
            assert bed.controls[0].known.rejection_limits() == expected
            await asyncio.sleep(_KNOWN_SECONDS)
            assert second.known.rejection_limits() == expected
            assert not second.known.limits()

    virtual.run(work())


def test_new_coordinator_has_limits_before_the_first_slot_request() -> None:
    """Each host sends all its notices when it contacts a coordinator."""

    async def work() -> None:
        bed = _Bed()
        await asyncio.sleep(1)
        bed.entries[0].receive_limit(2)
        await asyncio.sleep(1)
        lost, taking_over = bed.controls
        bed.network.leave(lost.host_id)
        taking_over.leads = True
        await asyncio.sleep(2)
        assert taking_over.limits_at_usage_report == {_START: 2}
        bed.stop()

    virtual.run(work())


def test_lost_notice_is_sent_again() -> None:
    """With the next ping that is answered."""

    async def work() -> None:
        bed = _Bed()
        await asyncio.sleep(1)
        bed.network.cut(ids.HostId('e1'), ids.HostId('c1'))
        bed.entries[0].receive_limit(2)
        await asyncio.sleep(0.1)
        bed.network.heal()
        await asyncio.sleep(1)
        assert bed.controls[0].known.limits() == {_START: 2}
        assert bed.entries[1].known.limits() == {_START: 2}
        bed.stop()

    virtual.run(work())


def test_restarted_coordinator_publishes_all_it_receives() -> None:
    """Its revisions start anew."""

    async def work() -> None:
        bed = _Bed()
        first, second = bed.entries
        await asyncio.sleep(1)
        for limit in (2, 3, 4):
            first.receive_limit(limit)
            await asyncio.sleep(0.5)
        bed.controls[0] = _Coordinator(bed, 'c1')
        first.receive_limit(5)
        await asyncio.sleep(1)
        assert second.known.limits() == {_START: 5}
        bed.stop()

    virtual.run(work())


def test_pause_reaches_each_coordinator_before_the_next_slot_request() -> None:
    """And to no other entry host, as it concerns only one."""

    async def work() -> None:
        bed = _Bed()
        first, second = bed.entries
        lost, taking_over = bed.controls
        await asyncio.sleep(1)
        first.receive(notices.Pause(9))
        until = asyncio.get_running_loop().time() + 9
        await asyncio.sleep(0.02)
        known = lost.known.pauses(first.host_id)
        assert known[_START] == pytest.approx(until, abs=0.01)
        await asyncio.sleep(1)
        assert not second.known.pauses(first.host_id)
        assert not lost.known.pauses(second.host_id)
        bed.network.leave(lost.host_id)
        taking_over.leads = True
        await asyncio.sleep(2)
        assert list(taking_over.pauses_at_usage_report) == [_START]
        bed.stop()

    virtual.run(work())


def test_malformed_limit_is_ignored() -> None:
    """The valid ones are applied."""

    async def work() -> None:
        known = notices.Notices(timers.TimerService())
        now = asyncio.get_running_loop().time()
        limit_structs = [
            ttypes.RateLimit('a', 1, float('nan'), 0, 0),
            ttypes.RateLimit('b', 1, -2, 0, 0),
            ttypes.RateLimit('c', None, 2, 0, 0),
            ttypes.RateLimit('d', 1, 2, 0, 0),
        ]
        message = ttypes.Notices(limit_structs, [], [])
        notice_exchange.apply_notices(known, message, ids.HostId('e1'), now)
        assert list(known.limits()) == [('d', 1)]

    virtual.run(work())
