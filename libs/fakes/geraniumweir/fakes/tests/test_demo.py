"""The whole path, from a caller to a fake engine and back."""

import asyncio
import pathlib

import pytest
from geraniumweir.fakes import demo, deployments

_EXAMPLES = pathlib.Path(__file__).parents[5] / 'examples'


@pytest.mark.parametrize('deployment', ['', *deployments.NAMES])
def test_demo_serves_whole_answers(deployment: str) -> None:
    """Its failure domains lose, double and mix up nothing."""
    plan = demo.Plan(
        calls=90,
        seconds=3,
        deployment=deployment,
        examples=_EXAMPLES,
    )
    assert asyncio.run(demo.run_demo(plan)) == 0
