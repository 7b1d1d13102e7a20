"""Tests of distinguishing an ended upstream from a lost connection."""

from functools import partial

import pytest
import trio

from buckthornwall.forwarding.liveness import LivenessChecks
from buckthornwall.http1 import ClientConnection, ExchangeError, ExchangeFailure
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


async def test_upstream_that_closes_its_listener_last_counted_as_alive(checks, nursery):
    """A process that is killed may close its connections some milliseconds before."""
    listener = trio.socket.socket()
    await listener.bind(("127.0.0.1", 0))
    listener.listen()

    async def close_soon():
        await trio.sleep(0.02)
        listener.close()

    nursery.start_soon(close_soon)
    assert await checks.has_ended(entry(f"127.0.0.1:{listener.getsockname()[1]}"))


async def test_upstream_that_ends_further_connections_has_not_ended(checks, nursery):
    """It has as many as it accepts."""

    async def close(stream):
        await stream.aclose()

    serve = partial(trio.serve_tcp, close, 0, host="127.0.0.1")
    listeners = await nursery.start(serve)
    port = listeners[0].socket.getsockname()[1]
    assert not await checks.has_ended(entry(f"127.0.0.1:{port}"))
    nursery.cancel_scope.cancel()


async def test_upstream_that_ends_during_the_check_counted_as_alive(
    checks, monkeypatch
):
    """Its listener accepts the connection, and closes before the check has it."""
    causes = [ConnectionResetError(), ConnectionRefusedError()]

    async def connect(address, timeout_s):
        failure = ExchangeError(ExchangeFailure.UNREACHABLE, address, sent=False)
        raise failure from causes.pop(0)

    monkeypatch.setattr(ClientConnection, "connect", connect)
    assert await checks.has_ended(entry("127.0.0.1:1"))
    assert not causes
