"""Short soaks of a simulated fleet; run longer ones by hand, see the module's help.

When a leaving speaker kept its members, seeds 1, 2, 3, 4 and 6 of 1 to 6 exceeded the
limit, seed 2 with a lag of 4.06 s. Seeds 12 and 48 lagged by over 2 s even without that
fault: in 48 two speakers died in a row, and no instance read from the store the changes
that no peer could send.
"""

import pytest

from buckthornwall_standins.peers_sim.soak import run_seed


@pytest.mark.parametrize("seed", [2, 12, 48])
def test_instances_without_faults_do_not_lag_behind_store(seed):
    verdict = run_seed(seed, seconds=40.0)
    assert verdict.violations == []
    assert verdict.max_lag_s > 0
