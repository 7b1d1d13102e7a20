"""Tests of the fleet of real processes, which are not started."""

import random

from buckthornwall_standins.fleet import Fleet


def test_fleets_of_two_test_runs_do_not_share_their_addresses(small_deployment):
    def sample_networks():
        random.seed(1)
        return [Fleet(small_deployment).network for _ in range(8)]

    assert sample_networks() != sample_networks()
