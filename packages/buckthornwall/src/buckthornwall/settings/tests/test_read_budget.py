"""How often the store must answer follows from the settings."""

import pytest

from buckthornwall.codes import ResultCode, SettingsError
from buckthornwall.discovery import DiscoverySettings
from buckthornwall.peers import PeerSettings
from buckthornwall.router.tests.test_main import TEXT
from buckthornwall.settings import MAX_SUBSTITUTES, ReadBudget, RouterSettings


def budget(apply_ms, **peers):
    return ReadBudget(DiscoverySettings(apply_ms=apply_ms), PeerSettings(**peers))


@pytest.mark.parametrize("apply_ms", [1700.0, 2000.0, 2500.0, 3000.0, 4000.0, 14_000.0])
@pytest.mark.parametrize("heartbeat_ms", [100.0, 200.0])
def test_detection_reading_and_reports_fit_into_the_time_of_a_change(
    apply_ms, heartbeat_ms
):
    """The limit of ages alone was over it, whatever a deployment asked for."""
    found = budget(apply_ms, heartbeat_ms=heartbeat_ms)
    report_s = (found.peers.beacon_ms + heartbeat_ms) / 1000
    last_s = found.overdue_s + 0.1 * (MAX_SUBSTITUTES - 1) + 0.35 + report_s
    assert found.is_sufficient
    assert last_s <= apply_ms / 1000 + 1e-9
    assert 0 < found.watch_s < found.cycle_s < found.overdue_s


def test_longer_time_for_changes_takes_fewer_calls():
    assert budget(2000.0).cycle_s < budget(2500.0).cycle_s
    longest = DiscoverySettings()
    wanted_s = (longest.watch_ms + longest.gap_ms) / 1000
    assert budget(14_000.0).cycle_s == pytest.approx(wanted_s)


def test_time_that_is_too_short_for_the_reports_is_refused(tmp_path):
    path = tmp_path / "settings.ini"
    path.write_text(TEXT + "[discovery]\napply_ms = 1500\n")
    with pytest.raises(SettingsError) as caught:
        RouterSettings.from_file(path)
    assert caught.value.code is ResultCode.SETTING_INVALID
    assert "apply_ms" in str(caught.value)
