"""Tests of the probes that find whether this instance is isolated."""

from dataclasses import replace

import pytest
import trio

from buckthornwall.forwarding import ConnectionCache, liveness
from buckthornwall.forwarding.attempt import AttemptEnd, AttemptResult
from buckthornwall.forwarding.isolation_monitor import IsolationMonitor
from buckthornwall.http1 import ClientConnection, ExchangeError, ExchangeFailure
from buckthornwall.pools import PoolTable, UpstreamEntry, UpstreamState
from buckthornwall.utils import TrioClock, UpstreamId, ZoneId

from .helpers import POOL, reply


class Network:
    """Opens connections as `behaviour` says: "open", "refused" or "hangs"."""

    def __init__(self):
        self.behaviour = {}
        self.connects = []

    async def connect(self, address, timeout_s):
        self.connects.append(address)
        behaviour = self.behaviour.get(address, "open")
        if behaviour == "hangs":
            await trio.sleep(timeout_s)
        if behaviour != "open":
            raise ExchangeError(ExchangeFailure.UNREACHABLE, address, sent=False)
        return ClientConnection(trio.socket.socket())


@pytest.fixture
def network(monkeypatch):
    network = Network()
    monkeypatch.setattr(ClientConnection, "connect", network.connect)
    return network


@pytest.fixture
async def monitor():
    pools = PoolTable(TrioClock())
    monitor = IsolationMonitor(pools, ConnectionCache(pools.clock, 0.25), pools.clock)
    for n in range(4):
        pools.adopt(
            UpstreamEntry(
                UpstreamId(f"u{n}"),
                POOL,
                f"a{n}",
                ZoneId("z"),
                4,
                UpstreamState.READY,
            )
        )
    return monitor


def cut(network, behaviour):
    network.behaviour = {f"a{n}": behaviour for n in range(4)}


@pytest.mark.parametrize(("behaviour", "limit_s"), [("refused", 0.65), ("hangs", 1.15)])
async def test_cut_is_found_by_silence_and_its_end_by_one_connection(
    network, monitor, nursery, autojump_clock, behaviour, limit_s
):
    isolation, view = monitor.isolation, monitor.pools.views["u0"]
    view.load.requests = 1
    view.reachability.record_answered(trio.current_time())
    cut(network, behaviour)
    nursery.start_soon(monitor.run)
    await trio.sleep(limit_s)
    assert isolation.is_isolated
    opened = len(network.connects)
    await trio.sleep(2.0)
    assert 4 <= len(network.connects) - opened <= 11
    network.behaviour = dict.fromkeys(("a0", "a1", "a2"), behaviour)
    await trio.sleep(2.5)
    assert not isolation.is_isolated
    await monitor.connections.acquire(UpstreamId("u3"), "a3", 1.0)
    assert monitor.connections.opened == len(network.connects)


async def test_failed_upstream_costs_few_probes_while_another_answers(
    network, monitor, nursery, autojump_clock
):
    network.behaviour = dict.fromkeys(("a0", "a1", "a2"), "refused")
    nursery.start_soon(monitor.run)
    for _ in range(20):
        monitor.isolation.record_failed(UpstreamId("u0"), trio.current_time())
        await trio.sleep(0.05)
    assert not monitor.isolation.is_isolated
    assert len(network.connects) <= 4 * 5


async def test_silent_attempt_costs_no_probe_while_data_arrives(monitor):
    result = AttemptResult(AttemptEnd.BROKEN, failure=ExchangeFailure.TIMED_OUT)
    view = monitor.pools.views["u1"]
    view.reachability.record_answered(trio.current_time())
    monitor.record_result(UpstreamId("u0"), result)
    assert not monitor.isolation.is_in_doubt
    view.reachability.record_answered(trio.current_time() - 1.0)
    monitor.record_result(UpstreamId("u0"), result)
    assert monitor.isolation.is_in_doubt


async def test_no_probe_without_a_reason(network, monitor, nursery, autojump_clock):
    nursery.start_soon(monitor.run)
    await trio.sleep(5.0)
    assert network.connects == []


async def test_silent_upstreams_that_accept_connections_are_no_cut(
    network, monitor, nursery, autojump_clock
):
    monitor.pools.views["u0"].load.requests = 1
    nursery.start_soon(monitor.run)
    await trio.sleep(5.0)
    assert not monitor.isolation.is_isolated
    assert 4 <= len(network.connects) <= 2 * 5


async def test_single_upstream_that_is_gone_is_no_cut(network, monitor):
    cut(network, "refused")
    for name in ("u1", "u2", "u3"):
        monitor.pools.remove(UpstreamId(name))
    monitor.isolation.record_failed(UpstreamId("u0"), trio.current_time())
    assert not await monitor.check()
    assert not monitor.isolation.is_in_doubt


@pytest.mark.parametrize(("reached", "crashes"), [(0, 0), (1, 1)])
async def test_refused_connection_is_a_crash_only_if_others_accept_some(
    forward, monkeypatch, reached, crashes
):
    """A cut that refuses connections would quarantine the requests of all clients."""
    connect, left = ClientConnection.connect, 1 + reached

    async def connect_some(address, timeout_s):
        nonlocal left
        left -= 1
        if left < 0:
            raise ExchangeError(ExchangeFailure.UNREACHABLE, address, sent=False)
        return await connect(address, timeout_s)

    async def refuses(address, timeout_s):
        return True

    monkeypatch.setattr(ClientConnection, "connect", connect_some)
    monkeypatch.setattr(liveness, "refuses_connections", refuses)
    await forward([None], [reply()], [reply()])
    assert len(forward.quarantine.records) == crashes
    assert forward.pools.isolation.is_isolated is not bool(crashes)


async def test_check_that_its_caller_cancelled_does_not_stand_for_a_result(
    network, monitor, nursery, autojump_clock
):
    cut(network, "hangs")
    results = []

    async def check():
        results.append(await monitor.check())

    with trio.move_on_after(0.1):
        nursery.start_soon(check)
        await monitor.check()
    await trio.sleep(2.0)
    assert results == [True]


async def test_upstreams_that_are_gone_are_not_probed_in_the_next_isolation(
    network, monitor, nursery, autojump_clock
):
    views = monitor.pools.views
    nursery.start_soon(monitor.run)
    for name in ("b", "c"):
        probed = len(network.connects)
        registered = {view.entry.address for view in views.values()}
        network.behaviour = dict.fromkeys(registered, "refused")
        monitor.isolation.record_failed(next(iter(views)), trio.current_time())
        await trio.sleep(0.4)
        assert monitor.isolation.is_isolated
        network.behaviour = {}
        await trio.sleep(0.4)
        assert not monitor.isolation.is_isolated
        for number, view in enumerate(list(views.values())):
            monitor.pools.remove(view.id)
            fresh = f"{name}{number}"
            entry = replace(view.entry, id=UpstreamId(fresh), address=fresh)
            monitor.pools.adopt(entry)
    assert set(network.connects[probed:]) <= registered


async def test_crashes_of_all_upstreams_by_one_request_are_counted(
    forward, ending_upstream
):
    upstreams = [await ending_upstream(b"") for _ in range(3)]
    await forward(*upstreams)
    (record,) = forward.quarantine.records.values()
    assert len(record.terminations) == 3
