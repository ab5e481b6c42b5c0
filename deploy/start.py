"""Starts a process of the system from a checkout.

The libraries are imported from their folders in the checkout. Their external
dependencies are in ``target/deps``, which the build installs.
"""

import os
import pathlib
import signal
import sys
import typing

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_IMPORT_FOLDERS = (_ROOT / 'platform', *sorted((_ROOT / 'libs').iterdir()))
sys.path = [*map(str, _IMPORT_FOLDERS), *sys.path]


def _exit_early(_signum: int, _frame: typing.Any) -> typing.NoReturn:
    """Exit with status 0 on a stop signal before there is anything to drain.

    Imports take 0.4 s. Without this handler, a host that was stopped in that
    time would exit with the status of a failure. An exception would be ignored
    in callbacks of weak references, which the import system has.
    """
    os._exit(0)  # noqa: WPS437


signal.signal(signal.SIGTERM, _exit_early)
# The settings are read later; there is nothing to reload yet.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# No connection of the system is encrypted, so the machine's certificates are
# not needed. Reading them takes 0.14 s of the 0.75 s of loading (medians of
# five starts).
os.environ['SSL_CERT_FILE'] = os.devnull
os.environ['SSL_CERT_DIR'] = os.devnull

from geraniumweir.common import starting  # noqa: E402,F401 sets start time
from geraniumweir.platform import early  # noqa: E402

early.listen()

from geraniumweir.platform import main  # noqa: E402

main.main()
