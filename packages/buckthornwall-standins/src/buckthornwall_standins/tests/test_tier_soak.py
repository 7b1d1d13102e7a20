"""Guards against priority inversions between tiers on real instances.

Instances that shared a machine's cores refused replies by the replies' target alone
while they admitted reviews of the same pool: within five seconds 15 of 68 replies were
not served (163,436 tokens), while reviews of 351,908 tokens began. No upstream was
disturbed. When each instance compared only with its own admissions, 11 of 86 replies
were still not served in one run: each of 24 instances had one request of the pool per
second, and those that refused had admitted no review or one (expected_ms=619
least_ms=243), while the other instances admitted reviews.
"""

import pytest
import trio

from buckthornwall_standins.soak_run import RunSettings
from buckthornwall_standins.tier_soak import TierSoak, with_bursts
from buckthornwall_standins.tiers import find_inversions


@pytest.mark.live
def test_no_tier_is_starved_while_less_urgent_requests_begin(tmp_path):
    soak = TierSoak(RunSettings(1, 16.0, 7860, tmp_path, 24), engines=8)
    trio.run(soak.run)
    assert [str(each) for each in find_inversions(soak.attempts)] == []
    assert sum(each.first_event_at is not None for each in soak.attempts) > 200


@pytest.mark.live
def test_no_tier_is_starved_when_urgent_requests_alone_exceed_the_capacity(tmp_path):
    """Replies were given up while waiting in order, or refused, as reviews began."""
    soak = TierSoak(
        RunSettings(322, 24.0, 7870, tmp_path, 24),
        engines=10,
        traffic_classes=with_bursts([5.0, 4.0, 3.0]),
    )
    trio.run(soak.run)
    assert [str(each) for each in find_inversions(soak.attempts)] == []
    assert sum(each.first_event_at is not None for each in soak.attempts) > 800
