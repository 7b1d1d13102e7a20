"""Guards against requests at evacuated zones, other regions and full cold engines."""

import pytest
import trio

from buckthornwall_standins.soak_run import RunSettings
from buckthornwall_standins.zone_soak import ZoneSoak


@pytest.mark.live
@pytest.mark.parametrize(
    ("seed", "instances", "restarts"), [(1, 6, False), (2, 8, True)]
)
def test_evacuated_zones_and_cold_engines_receive_no_excess_requests(
    tmp_path, seed, instances, restarts
):
    ports = 8400 + 10 * seed
    settings = RunSettings(seed, 18.0, ports, tmp_path, instances, restarts)
    soak = ZoneSoak(settings, engines=4, per_s=80.0)
    trio.run(soak.run)
    assert soak.late_arrivals == []
    assert soak.region_violations == 0
    assert soak.peak_cold_per_s <= soak.bounds.max_cold_per_s
    assert soak.statuses["draft", "200"] > 0
    assert soak.statuses["bound", "200"] > 0
