"""Tests of how a process is told to end."""

import asyncio
import signal
import subprocess
import sys
import typing

import pytest
from geraniumweir.common import stopping

# Ends its loop at the first signal, then takes a moment to exit.
_PROGRAM: typing.Final = """
import asyncio
import signal
import time

from geraniumweir.common import stopping


async def serve() -> None:
    stop = asyncio.Event()
    signums = (signal.SIGTERM, signal.SIGINT)
    with stopping.on_signals(stop.set, *signums):
        print('serving', flush=True)
        await stop.wait()


asyncio.run(serve())
print('ended', flush=True)
time.sleep(0.2)
"""


@pytest.mark.parametrize('again', [signal.SIGTERM, signal.SIGINT])
def test_signal_while_ending(again: signal.Signals) -> None:
    """A process that ended its work exits 0, whatever comes after."""
    with subprocess.Popen(
        [sys.executable, '-c', _PROGRAM],
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdout is not None
        assert process.stdout.readline() == 'serving\n'
        process.send_signal(signal.SIGTERM)
        assert process.stdout.readline() == 'ended\n'
        process.send_signal(again)
        assert process.wait() == 0


def test_signals_after_an_error() -> None:
    """A process that goes on after an error can still be ended."""
    with pytest.raises(RuntimeError, match='busy'):
        asyncio.run(_fail())
    assert signal.getsignal(signal.SIGTERM) is signal.SIG_DFL


async def _fail() -> None:
    with stopping.on_signals(asyncio.Event().set, signal.SIGTERM):
        raise RuntimeError('busy')
