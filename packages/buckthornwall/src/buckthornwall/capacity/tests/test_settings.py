"""Tests of the shares of a machine's memory and descriptors."""

import resource

import pytest

from buckthornwall.capacity import CONNECTION_BYTES, CapacitySettings


@pytest.mark.parametrize("memory_mb", [88, 128, 150, 300, 552])
@pytest.mark.parametrize("descriptors", [456, 600, 3075, 4100, 10250])
def test_connections_leave_room_for_upstreams_and_files(memory_mb, descriptors):
    settings = CapacitySettings(machine_memory_mb=memory_mb, descriptors=descriptors)
    assert settings.find_fault() == ""
    limits = settings.connection_limits()
    listeners = limits.callers + limits.peers + limits.ready + limits.operators
    in_flight = limits.callers + limits.peers
    assert listeners + in_flight + 200 < descriptors
    idle_bytes = limits.callers * CONNECTION_BYTES
    assert idle_bytes <= settings.client_memory_bytes / 4
    assert limits.callers >= 64


def test_limit_of_the_process_holds_without_a_setting(monkeypatch):
    monkeypatch.setattr(resource, "getrlimit", lambda name: (1000, 2000))
    assert CapacitySettings().sockets == 800


@pytest.mark.parametrize(
    ("values", "key"),
    [
        ({"machine_memory_mb": 60.0}, "own_memory_mb"),
        ({"descriptors": 300}, "descriptors"),
        ({"descriptors": 600, "file_descriptors": 500}, "descriptors"),
    ],
)
def test_settings_that_leave_too_little_are_explained(values, key):
    assert CapacitySettings(**values).find_fault().startswith(key)
