"""Guards against requests to upstreams that stated that they leave or want a rest."""

import pytest
import trio

from buckthornwall_standins.notice_soak import NoticeSoak, find_violations
from buckthornwall_standins.soak_run import RunSettings


@pytest.mark.live
@pytest.mark.parametrize(
    ("seed", "instances", "restarts"), [(1, 6, False), (2, 12, True)]
)
def test_upstreams_get_no_requests_after_their_notices(
    tmp_path, seed, instances, restarts
):
    ports = 8650 + 10 * seed
    settings = RunSettings(seed, 18.0, ports, tmp_path, instances, restarts)
    soak = NoticeSoak(settings, engines=9, per_s=60.0)
    trio.run(soak.run)
    assert soak.notices
    assert find_violations(soak) == []
