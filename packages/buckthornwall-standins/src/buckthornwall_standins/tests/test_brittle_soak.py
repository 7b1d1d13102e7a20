"""Guards against falls of brittle upstreams that must reject too many requests."""

import pytest
import trio

from buckthornwall_standins.brittle_soak import BrittleSoak
from buckthornwall_standins.soak_run import RunSettings

MIN_SERVED_SHARE = 0.3


@pytest.mark.live
@pytest.mark.parametrize(("seed", "instances"), [(1, 6)])
def test_brittle_engines_under_twice_their_load_seldom_fall(tmp_path, seed, instances):
    settings = RunSettings(seed, 13.5, 24000, tmp_path, instances)
    soak = BrittleSoak(settings, engines=9, brittle=3, full_load=2.0)
    trio.run(soak.run)
    assert soak.falls <= soak.allowed_falls
    assert soak.served_share >= MIN_SERVED_SHARE
