"""Requests reached emptied zones, and more reached cold engines than these bear.

No instance read that a zone was evacuated, and an engine that came back empty looked
best to all of them at once.
"""

import pytest
import trio

from buckthornwall_standins.zone_soak import ZoneSoak


@pytest.mark.live
@pytest.mark.parametrize(
    ("seed", "instances", "restarts"), [(1, 6, False), (2, 8, True)]
)
def test_emptied_zones_and_cold_engines_get_what_is_allowed(
    tmp_path, seed, instances, restarts
):
    soak = ZoneSoak(
        seed,
        18.0,
        8400 + 10 * seed,
        tmp_path,
        instances=instances,
        engines=4,
        per_s=80.0,
        restarts=restarts,
    )
    trio.run(soak.run)
    assert soak.late == []
    assert soak.most_cold <= soak.bounds.most_cold
    assert soak.statuses["draft", "200"] > 0
