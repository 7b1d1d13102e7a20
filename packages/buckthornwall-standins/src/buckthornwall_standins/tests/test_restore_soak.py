"""Guards against acknowledged changes that a restored store undoes or hides."""

import pytest
import trio

from buckthornwall_standins.restore_soak import RestoreSoak, find_violations
from buckthornwall_standins.soak_run import RunSettings


@pytest.mark.live
@pytest.mark.parametrize(
    ("seed", "instances", "restarts"), [(1, 6, False), (2, 12, True)]
)
def test_changes_hold_though_the_store_returns_from_older_copies(
    tmp_path, seed, instances, restarts
):
    ports = 8850 + 10 * seed
    settings = RunSettings(seed, 18.0, ports, tmp_path, instances, restarts)
    soak = RestoreSoak(settings, engines=5, per_s=60.0)
    trio.run(soak.run)
    assert soak.restores >= 2
    assert find_violations(soak) == []
