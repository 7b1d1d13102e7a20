"""More urgent requests begin where less urgent ones do, on real instances.

Instances that shared a machine's cores refused replies by their own target alone while
reviews of the same pool were let in: within five seconds 15 of 68 replies got nothing
(163,436 tokens), and reviews of 351,908 tokens began. No upstream was disturbed. Held
against what one instance itself had let in, 11 of 86 still got nothing once: each of
24 instances had a request of the pool in a second, and those that refused had let in no
review, or one (expected_ms=619 least_ms=243), while the others let them in.
"""

import pytest
import trio

from buckthornwall_standins.soak_run import RunSettings
from buckthornwall_standins.tier_soak import TierSoak
from buckthornwall_standins.tiers import find_inversions


@pytest.mark.live
def test_no_tier_gets_nothing_while_less_urgent_ones_begin(tmp_path):
    soak = TierSoak(RunSettings(1, 16.0, 7860, tmp_path, 24), engines=8)
    trio.run(soak.run)
    assert [str(each) for each in find_inversions(soak.attempts)] == []
    assert sum(each.first_event_at is not None for each in soak.attempts) > 200
