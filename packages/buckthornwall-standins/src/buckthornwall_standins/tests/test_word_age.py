"""What instances know of each other's work, at the size of a large fleet.

195 instances before 59 engines filled engines far past what they could read: each went
by word that was 1.0 s old (p50; p99 2.0 s), since a whole digest of 4.7 KB went to each
member once a second and passes two speakers. 309 drafts on one day were still at work
when their deadline passed, and 125 where digests came eight times as often.
"""

import pytest

from buckthornwall_standins.peers_sim.word_age import measure


@pytest.mark.parametrize(("instances", "zones"), [(30, 3), (100, 6)])
def test_work_is_known_within_half_a_second(instances, zones):
    found = measure(instances, zones, engines=59, loss=0.0, seconds=3.0)
    assert found.quantile(0.5) < 0.4
    assert found.quantile(0.99) < 0.7
    assert found.member_bytes_per_s < 6000


def test_where_datagrams_are_lost_work_is_known_late_and_not_never():
    found = measure(60, 6, engines=59, loss=0.2, seconds=4.0)
    assert found.quantile(0.5) < 0.6
    assert found.quantile(0.9) < 1.5
