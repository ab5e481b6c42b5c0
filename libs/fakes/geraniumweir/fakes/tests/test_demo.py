"""The whole path, from a caller to a fake engine and back."""

import asyncio

from geraniumweir.fakes import demo


def test_demo_serves_whole_answers() -> None:
    """Three failure domains lose, double and mix up nothing."""
    plan = demo.Plan(calls=90, seconds=3)
    assert asyncio.run(demo.run_demo(plan)) == 0
