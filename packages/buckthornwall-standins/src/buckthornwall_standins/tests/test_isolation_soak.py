"""Guards against instances refusing requests while they reach no upstream."""

import pytest
import trio

from buckthornwall_standins.isolation_soak import IsolationSoak, find_violations
from buckthornwall_standins.partitioned_instance import Cut
from buckthornwall_standins.soak_run import RunSettings


@pytest.mark.live
def test_instances_that_are_partitioned_from_all_upstreams_serve(tmp_path):
    settings = RunSettings(1, 10.0, 21010, tmp_path, instances=6)
    soak = IsolationSoak(settings, "third", Cut.HANG)
    trio.run(soak.run)
    assert find_violations(soak) == []
