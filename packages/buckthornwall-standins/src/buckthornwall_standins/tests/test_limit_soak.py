"""Guards against upstreams receiving more requests than their announced limit."""

import pytest
import trio

from buckthornwall_standins.limit_soak import LimitSoak, RateAllowance, max_in_window
from buckthornwall_standins.soak_run import RunSettings

ALLOWANCE = RateAllowance()


@pytest.mark.live
@pytest.mark.parametrize(
    ("seed", "instances", "limited", "per_s", "restarts"),
    [(1, 3, 3, 1.0, False), (2, 6, 9, 2.5, False), (3, 12, 3, 1.0, True)],
)
def test_instances_together_do_not_exceed_an_announced_rate_limit(
    tmp_path, seed, instances, limited, per_s, restarts
):
    ports = 8000 + 10 * seed
    settings = RunSettings(seed, 15.0, ports, tmp_path, instances, restarts)
    soak = LimitSoak(settings, engines=9, limited=limited, per_s=per_s)
    trio.run(soak.run)
    allowed = ALLOWANCE.max_requests(per_s)
    over = {name: n for name, n in soak.peak_requests(ALLOWANCE).items() if n > allowed}
    assert over == {}


def test_max_in_window_counts_the_fullest_window():
    assert max_in_window([0.0, 1.0, 2.0, 4.5, 5.0, 5.5, 8.6], 4.0) == 4
    assert max_in_window([], 4.0) == 0
