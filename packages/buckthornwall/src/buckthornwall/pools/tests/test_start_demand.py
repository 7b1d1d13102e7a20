"""Tests of the streams that instances expect when all of them have just started."""

import math

import pytest

from buckthornwall.engine_model import EngineModel
from buckthornwall.pools import UpstreamEntry, UpstreamState
from buckthornwall.pools.load import PeerLoad
from buckthornwall.pools.reserved import ReservedEngines
from buckthornwall.pools.start_demand import assumed_streams
from buckthornwall.pools.view import UpstreamView
from buckthornwall.routing import PoolId
from buckthornwall.utils import UpstreamId, ZoneId

SLOTS = 64
MANY = 86


@pytest.fixture
def views():
    names = [UpstreamId(f"u{number}") for number in range(12)]
    return [
        UpstreamView(
            UpstreamEntry(
                name, PoolId("p"), "h:1", ZoneId("z"), SLOTS, UpstreamState.READY
            )
        )
        for name in names
    ]


def test_each_of_many_instances_counts_as_having_a_stream(views):
    assert assumed_streams(views, MANY) == MANY


@pytest.mark.parametrize("instances", [0, 1, 6, 8])
def test_few_instances_assume_nothing(views, instances):
    """One reserved engine is enough for them, as it was."""
    assert assumed_streams(views, instances) == 0


def test_instance_that_starts_beside_others_goes_by_their_counts(views):
    views[3].load.peers = PeerLoad(requests=1)
    assert assumed_streams(views, MANY) == 0


def test_pool_without_engines_assumes_nothing():
    assert assumed_streams([], MANY) == 0


def reserved_engines(pause_s):
    reserved = ReservedEngines("p", EngineModel())
    reserved.set_contracts(7, {pause_s})
    return reserved


def test_assumed_streams_have_more_than_one_engine_and_fade(views):
    reserved = reserved_engines(pause_s=0.2)
    reserved.assume_demand(MANY, now=100.0)
    assert len(reserved.split(views, 100.0).reserved) > 1
    assert len(reserved.split(views, 160.0).reserved) == 0


def test_pool_without_pause_sensitive_streams_reserves_nothing(views):
    reserved = reserved_engines(pause_s=math.inf)
    reserved.assume_demand(MANY, now=100.0)
    assert not reserved.split(views, 100.0).reserved


def test_less_than_the_known_demand_changes_nothing(views):
    reserved = reserved_engines(pause_s=0.2)
    reserved.assume_demand(MANY, now=100.0)
    before = reserved.split(views, 100.0).reserved
    reserved.assume_demand(1, now=100.0)
    assert reserved.split(views, 100.0).reserved == before
