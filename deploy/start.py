"""Starts a process of the system from a checkout.

The libraries are taken from where they lie; what they need from elsewhere is
in ``target/deps``, which the build fills.
"""

import pathlib
import sys

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_LIBS = (_ROOT / 'platform', *sorted((_ROOT / 'libs').iterdir()))
sys.path = [*map(str, _LIBS), *sys.path]

from geraniumweir.platform import main  # noqa: E402

main.main()
