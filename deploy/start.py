"""Starts a process of the system from a checkout.

The libraries are taken from where they lie; what they need from elsewhere is
in ``target/deps``, which the build fills.
"""

import pathlib
import sys

_ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [
    str(_ROOT / 'platform'),
    *(str(lib) for lib in sorted((_ROOT / 'libs').iterdir())),
]

from geraniumweir.platform import main  # noqa: E402

main.main()
