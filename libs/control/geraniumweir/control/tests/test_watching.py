"""What an entry host keeps of the updates of control hosts."""

import asyncio
import typing
import zlib

from geraniumweir.common import ids, virtual
from geraniumweir.control import enrolments, watching
from geraniumweir.routing import tables
from geraniumweir.wire import memory
from geraniumweir.wire.gen.control import ttypes

_CONTROL = ids.HostId('control')
_OTHER = ids.HostId('other')


def _read(content: bytes) -> tables.Document:
    return tables.Document(ids.Version(int(content)))


def _watcher() -> watching.Watcher:
    layer = memory.MemoryNetwork().join(
        ids.HostId('entry'), ids.Address('10.0.0.9', 1)
    )
    return watching.Watcher(layer, ids.FailureDomain('x'), dict, _read)


def _server(name: str, sequence: int = 1, state: int = 1) -> ttypes.Enrolment:
    return ttypes.Enrolment(
        name, 'pool', '10.0.0.1:80', 'x', 4, sequence, state, False, []
    )


def _news(
    *servers: ttypes.Enrolment,
    version: int = -1,
    epoch: str = 'a',
    **changes: typing.Any,
) -> ttypes.News:
    news = ttypes.News(epoch, 1, version, None, True, True, list(servers), [])
    if version >= 0:
        news.document = zlib.compress(str(version).encode())
    for name, field_value in changes.items():
        setattr(news, name, field_value)
    return news


def test_version_never_goes_back() -> None:
    """The update of a control host that lags behind is ignored."""

    async def work() -> None:
        watcher = _watcher()
        watcher.apply(_CONTROL, _news(version=7))
        watcher.apply(_OTHER, _news(version=5, epoch='b'))
        assert watcher.version == 7

    virtual.run(work())


def test_only_an_up_to_date_control_host_confirms_the_document() -> None:
    """A partitioned control host may have missed a change."""

    async def work() -> None:
        watcher = _watcher()
        watcher.apply(_CONTROL, _news(version=7, sure=False))
        assert watcher.age.confirmed_at == float('-inf')
        watcher.apply(_CONTROL, _news(version=7))
        assert watcher.age.confirmed_at >= 0

    virtual.run(work())


def test_servers_are_kept_when_the_next_control_host_lists_none() -> None:
    """It may only just have started."""

    async def work() -> None:
        watcher = _watcher()
        watcher.apply(_CONTROL, _news(_server('s')))
        watcher.apply(_OTHER, _news(epoch='b'))
        assert watcher.servers.get(ids.ServerId('s')) is not None

    virtual.run(work())


def test_leaving_server_stays_leaving_at_the_next_control_host() -> None:
    """That host may not have received the leave yet."""

    async def work() -> None:
        watcher = _watcher()
        leaving = int(enrolments.State.leaving)
        watcher.apply(_CONTROL, _news(_server('s', 5, leaving)))
        watcher.apply(_OTHER, _news(_server('s', 4), epoch='b'))
        found = watcher.servers.get(ids.ServerId('s'))
        assert found is not None
        assert found.state is enrolments.State.leaving

    virtual.run(work())


class _Seeds(memory.MemoryPeers):
    """A link on which one seed never answers."""

    async def introduce(self, address: ids.Address) -> ids.HostId:
        """Return the host at an address, or never answer."""
        if address.port == 1:
            await asyncio.sleep(3600)
        return _CONTROL


def test_unreachable_seed_does_not_delay_the_others() -> None:
    """When all hosts start, each is up at a different moment."""

    async def work() -> None:
        network = memory.MemoryNetwork()
        link = _Seeds(network, ids.HostId('entry'))
        seeds = {
            _OTHER: ids.Address('10.0.0.1', 1),
            _CONTROL: ids.Address('10.0.0.2', 2),
        }
        watcher = watching.Watcher(
            link, ids.FailureDomain('x'), lambda: seeds, _read
        )
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(0.1)
        assert watcher.hosts.get(_CONTROL) is not None
        task.cancel()

    virtual.run(work())


def test_watcher_without_control_hosts_contacts_the_present_seeds() -> None:
    """They may all have been replaced while this host was partitioned."""

    async def work() -> None:
        network = memory.MemoryNetwork()
        link = network.join(ids.HostId('entry'), ids.Address('10.0.0.9', 1))
        seeds = {_OTHER: ids.Address('10.0.0.1', 1)}
        watcher = watching.Watcher(
            link, ids.FailureDomain('x'), lambda: seeds, _read
        )
        network.join(_OTHER, seeds[_OTHER])
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(1)
        network.leave(_OTHER)
        seeds.pop(_OTHER)
        seeds[_CONTROL] = ids.Address('10.0.0.2', 2)
        network.join(_CONTROL, seeds[_CONTROL])
        await asyncio.sleep(2)
        task.cancel()
        assert watcher.hosts.get(_CONTROL) is not None

    virtual.run(work())
