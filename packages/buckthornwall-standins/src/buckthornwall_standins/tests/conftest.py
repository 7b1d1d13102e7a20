"""Fixtures of the tests with real processes."""

from dataclasses import replace

import pytest
import trio
from loguru import logger

from buckthornwall_standins.callers import Callers, plan_arrivals
from buckthornwall_standins.deployments import MANIZALES

POOL = "kit-assistant"
SMALL_DEPLOYMENT = replace(
    MANIZALES,
    nodes=4,
    pools={POOL: 4},
    loads=tuple(load for load in MANIZALES.loads if load.pool == POOL),
)


@pytest.fixture
def event_log():
    """Return the list of lines that are logged from now on."""
    lines = []
    handler = logger.add(lines.append, level="DEBUG", format="{message}")
    yield lines
    logger.remove(handler)


@pytest.fixture
def small_deployment():
    """Return a deployment of four instances before four engines."""
    return SMALL_DEPLOYMENT


@pytest.fixture
def make_callers():
    """Return a function that makes callers for a fleet at a share of its capacity."""

    def make(fleet, seconds, share, orders=0.0, seed=1):
        arrivals = plan_arrivals(
            fleet.deployment, fleet.engine_model, seconds, seed, lambda load, at: share
        )
        return Callers(fleet, arrivals, orders)

    return make


@pytest.fixture
def run_callers():
    """Return a function that runs callers, and an action after `after_s` seconds."""

    async def run(callers, seconds, after_s, action):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.run, seconds)
            await trio.sleep(after_s)
            await action()

    return run
