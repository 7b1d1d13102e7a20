"""Age of the peers' work reports, at the size of a large fleet.

195 instances overloaded 59 engines far beyond what they could prefill: each used
reports that were 1.0 s old (p50; p99 2.0 s), since a complete digest of 4.7 KB went to
each member once a second and passes two speakers. 309 drafts on one day were still
running when their deadline passed, and 125 when digests came eight times as often.
"""

import pytest

from buckthornwall_standins.peers_sim.word_age import measure


@pytest.mark.parametrize(("instances", "zones"), [(30, 3), (100, 6)])
def test_peers_work_reports_are_not_stale(instances, zones):
    # Digests come every 2 s: in a part of such an interval the bytes are not the rate.
    result = measure(instances, zones, engines=59, loss=0.0, seconds=6.0)
    assert result.quantile(0.5) < 0.4
    assert result.quantile(0.99) < 0.7
    assert result.member_bytes_per_s < 6000


def test_lost_datagrams_delay_work_reports_but_do_not_stop_them():
    result = measure(60, 6, engines=59, loss=0.2, seconds=4.0)
    assert result.quantile(0.5) < 0.6
    assert result.quantile(0.9) < 1.5
