"""Guards against incomplete responses delivered as complete by real instances."""

import pytest
import trio

from buckthornwall_standins.soak_run import RunSettings
from buckthornwall_standins.unframed_soak import UnframedSoak, find_violations


@pytest.mark.live
def test_streams_broken_off_without_framing_are_never_seen_as_complete(tmp_path):
    soak = UnframedSoak(RunSettings(1, 8.0, 8700, tmp_path, 6), engines=9, per_s=50.0)
    trio.run(soak.run)
    assert find_violations(soak) == []
    assert len(soak.broken) > 30
    assert soak.count_resumable()[0] > 0
    assert len(soak.whole) > 100
