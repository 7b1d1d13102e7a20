"""Tests of telling an upstream that has ended from a connection that broke off."""

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
    return LivenessChecks(TrioClock(), 0.2)


async def test_an_upstream_that_still_listens_has_not_ended(checks, raw_upstream):
    assert not await checks.has_ended(entry(await raw_upstream(b"")))


async def test_an_upstream_whose_port_refuses_has_ended(checks):
    assert await checks.has_ended(entry("127.0.0.1:1"))


async def test_a_host_that_does_not_answer_says_nothing(checks):
    """A cut link looks the same."""
    assert not await checks.has_ended(entry("not-an-address:1"))


async def test_attempts_that_one_end_cut_share_a_check(checks, nursery, monkeypatch):
    asked = []

    async def refuses(address):
        asked.append(address)
        return True

    monkeypatch.setattr(checks, "_refuses_connection", refuses)
    for _ in range(5):
        nursery.start_soon(checks.has_ended, entry("127.0.0.1:1"))
    assert await checks.has_ended(entry("127.0.0.1:1"))
    assert len(asked) == 1
