"""Tests of distinguishing an ended upstream from a lost connection."""

import pytest

from buckthornwall.forwarding.liveness import LivenessChecks
from buckthornwall.pools import UpstreamEntry, UpstreamState
from buckthornwall.routing import PoolId
from buckthornwall.utils import TrioClock, UpstreamId, ZoneId


def entry(address):
    return UpstreamEntry(
        UpstreamId("u"), PoolId("p"), address, ZoneId("z"), 4, UpstreamState.READY
    )


@pytest.fixture
def checks():
    return checks_of(is_isolated=False)


def checks_of(is_isolated):
    async def find():
        return is_isolated

    return LivenessChecks(TrioClock(), 0.2, find)


async def test_listening_upstream_has_not_ended(checks, raw_upstream):
    assert not await checks.has_ended(entry(await raw_upstream(b"")))


async def test_upstream_whose_port_refuses_connections_has_ended(checks):
    assert await checks.has_ended(entry("127.0.0.1:1"))


async def test_refusal_to_an_isolated_instance_does_not_count_as_ended():
    assert not await checks_of(is_isolated=True).has_ended(entry("127.0.0.1:1"))


async def test_unreachable_host_does_not_count_as_ended(checks):
    """A network partition looks the same."""
    assert not await checks.has_ended(entry("not-an-address:1"))


async def test_concurrent_checks_of_one_upstream_connect_once(
    checks, nursery, monkeypatch
):
    asked = []

    async def refuses(address):
        asked.append(address)
        return True

    monkeypatch.setattr(checks, "_refuses_connection", refuses)
    for _ in range(5):
        nursery.start_soon(checks.has_ended, entry("127.0.0.1:1"))
    assert await checks.has_ended(entry("127.0.0.1:1"))
    assert len(asked) == 1
