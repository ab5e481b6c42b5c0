"""An entry host tells when it serves by a document that nobody confirms."""

import asyncio
import zlib

import logbook
import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.control import watching
from geraniumweir.gateway import confirmation
from geraniumweir.observe import metricnames, metrics
from geraniumweir.routing import tables
from geraniumweir.wire import memory
from geraniumweir.wire.gen.control import ttypes

_CONTROL = ids.HostId('control')
_LIMIT_SECONDS = 2


def _read(content: bytes) -> tables.Document:
    return tables.Document(ids.Version(int(content)))


def _news() -> ttypes.News:
    document = zlib.compress(b'7')
    return ttypes.News('a', 1, 7, document, True, True, [], [])


def test_gap_without_a_confirmation_is_logged_once() -> None:
    """Requests come by the hundred meanwhile."""

    async def work() -> list[logbook.LogRecord]:
        layer = memory.MemoryNetwork().join(
            ids.HostId('entry'), ids.Address('10.0.0.9', 1)
        )
        watcher = watching.Watcher(layer, ids.FailureDomain('x'), dict, _read)
        meter = metrics.Metrics()
        found = confirmation.Confirmation(watcher, _LIMIT_SECONDS, meter)
        handler = logbook.TestHandler()
        with handler:
            for _ in range(2):
                watcher.apply(_CONTROL, _news())
                assert found.document_state().up_to_date
                await asyncio.sleep(_LIMIT_SECONDS + 1)
                for _ in range(5):
                    assert not found.document_state().up_to_date
        name = metricnames.DOCUMENT_UNCONFIRMED.name
        assert f'{name} 3.0' in meter.exposition()
        return handler.records

    records = virtual.run(work())
    told = [one.message for one in records if 'confirmed for' in one.message]
    assert len(told) == 2


def test_document_of_a_start_without_a_current_host_is_logged() -> None:
    """Such a document may not be the newest."""

    async def work() -> list[logbook.LogRecord]:
        layer = memory.MemoryNetwork().join(
            ids.HostId('entry'), ids.Address('10.0.0.9', 1)
        )
        watcher = watching.Watcher(layer, ids.FailureDomain('x'), dict, _read)
        found = confirmation.Confirmation(
            watcher, _LIMIT_SECONDS, metrics.Metrics()
        )
        found.document_state()
        news = _news()
        news.sure = False
        watcher.apply(_CONTROL, news)
        handler = logbook.TestHandler()
        with handler:
            await asyncio.sleep(_LIMIT_SECONDS + 2)
            watcher._document.activate_pending()
            found.document_state()
        return handler.records

    told = [one.message for one in virtual.run(work())]
    assert any('confirmed for 4.0 s' in message for message in told)


@pytest.mark.parametrize('seconds', [0.5, 1.9])
def test_document_is_up_to_date_within_the_limit(seconds: float) -> None:
    """A watch without news takes half a second."""

    async def work() -> None:
        layer = memory.MemoryNetwork().join(
            ids.HostId('entry'), ids.Address('10.0.0.9', 1)
        )
        watcher = watching.Watcher(layer, ids.FailureDomain('x'), dict, _read)
        found = confirmation.Confirmation(
            watcher, _LIMIT_SECONDS, metrics.Metrics()
        )
        watcher.apply(_CONTROL, _news())
        await asyncio.sleep(seconds)
        assert found.document_state().up_to_date

    virtual.run(work())
