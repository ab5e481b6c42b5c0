"""The whole path, from a caller to a fake engine and back."""

import asyncio

from geraniumweir.fakes import demo


def test_demo_serves_a_whole_answer() -> None:
    """The demo ends with a whole answer."""
    assert asyncio.run(demo.run_demo()) == 0
