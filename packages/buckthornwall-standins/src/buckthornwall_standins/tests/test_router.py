"""Tests of whole instances against a stand-in of the users' platform."""

import itertools
import json
import os

import pytest
import trio
from buckthornwall.http1 import ClientConnection, ExchangeError
from buckthornwall.quarantine import fingerprint_of, incarnation_tag
from buckthornwall.router import Router
from buckthornwall.routing import PoolId, RoutedRequest
from buckthornwall.utils import TeamId

from buckthornwall_standins.users_platform import (
    Deployment,
    Store,
    StoreFault,
    Upstream,
    make_settings,
)
from buckthornwall_standins.users_platform.deployment import (
    API_KEY,
    DRAFTS,
    HOST,
    ORDERS,
)

# Worker processes of a test run use ports of their own.
WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
PORTS = itertools.count(7400 + 2000 * WORKER, 10)
IDS = itertools.count(1)
WAIT_S = 5.0


class Cluster:
    """Some instances, a store, two engines and a service."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.ports = next(PORTS)
        self.store = Store()
        self.deployment = Deployment(self.store)
        self.upstreams: dict[str, Upstream] = {}
        self.routers: dict[int, Router] = {}
        self.scopes: dict[int, trio.CancelScope] = {}
        self.ended: dict[int, trio.Event] = {}
        self.digest_ms = 100.0

    async def start(self, instances: int) -> None:
        await self.nursery.start(self.store.run, f"127.0.9.1:{self.ports + 4}")
        self.deployment.publish()
        for name, service in (("e1", DRAFTS), ("e2", DRAFTS), ("s1", ORDERS)):
            await self.add_upstream(name, service)
        for number in range(1, instances + 1):
            await self.add_router(number)

    async def add_upstream(
        self, name: str, service: str, zone: str = "zone-1"
    ) -> Upstream:
        number = len(self.upstreams) + 1
        address = f"127.0.7.{number}:{self.ports}"
        upstream = self.upstreams[name] = Upstream(name)
        await self.nursery.start(upstream.run, address)
        self.deployment.register(name, service, address, zone=zone)
        return upstream

    async def add_router(self, number: int) -> None:
        self.nursery.start_soon(self._run_router, number)
        await self.wait_until(lambda: number in self.routers)
        await self.wait_until(lambda: self.routers[number].state.name == "READY")

    async def _run_router(self, number: int) -> None:
        settings = make_settings(number, [1, 2], self.ports)
        settings.peers.digest_ms = self.digest_ms
        router = Router.from_config(settings)
        self.ended[number] = trio.Event()
        with trio.CancelScope() as scope:
            self.scopes[number] = scope
            self.routers[number] = router
            await router.run()
        self.ended[number].set()

    async def wait_until(self, condition) -> None:
        with trio.fail_after(WAIT_S):
            while not condition():
                await trio.sleep(0.01)

    async def call(
        self, path, number=1, method=b"POST", key=API_KEY, prompt=False, **options
    ):
        """Make a call and return status, headers and body."""
        address = f"127.0.8.{number}:{self.ports}"
        request_id = options.get("request_id", f"r{next(IDS)}")
        headers = [
            (b"Host", HOST.encode()),
            (b"X-Buckthornwall-Attempt-Id", request_id.encode()),
            (b"X-Buckthornwall-Deadline-Ms", b"3000"),
            (b"X-Buckthornwall-Key", key.encode()),
            (b"Content-Length", b"2"),
        ]
        if prompt:
            headers.append((b"X-Buckthornwall-Model", b"m"))
            headers.append((b"X-Buckthornwall-Token-Count", b"900,10"))
            headers.append((b"X-Buckthornwall-Prompt-Prefix", b"aa:600,bb:300"))
        connection = await ClientConnection.connect(address, 1.0)
        with trio.fail_after(WAIT_S):
            await connection.send(method, path.encode(), headers, b"hi")
            head = await connection.receive_head()
            body = b""
            while data := await connection.receive_data():
                body += data
        connection.close()
        return head.status, dict(head.headers), body


@pytest.fixture
def cluster(nursery):
    return Cluster(nursery)


EXPECTED_EVENTS = b"".join(b"id: %d\ndata: word-%d\n\n" % (n, n) for n in range(1, 7))


async def test_every_kind_of_route_is_served_by_any_instance(cluster):
    await cluster.start(2)
    for number in (1, 2):
        status, headers, body = await cluster.call("/order/x", number, request_id="o1")
        assert (status, body) == (200, b"answer-to-o1")
        assert headers[b"x-buckthornwall-response-seal"] == b"seal-of-o1"
        status, _, body = await cluster.call("/draft/x", number, prompt=True)
        assert (status, body) == (200, EXPECTED_EVENTS)
    arrived = cluster.upstreams["s1"].received_headers[0]
    assert arrived[b"x-buckthornwall-tenant"] == b"one"
    assert b"x-buckthornwall-key" not in arrived


@pytest.mark.parametrize(("max_body_bytes", "lines"), [(4 * 2**20, 0), (10**8, 1)])
async def test_limit_on_bodies_beyond_the_memory_is_logged(
    cluster, event_log, max_body_bytes, lines
):
    cluster.deployment.limits["max_body_bytes"] = max_body_bytes
    await cluster.start(1)
    cluster.deployment.register("e9", DRAFTS, f"127.0.7.9:{cluster.ports}")
    await cluster.wait_until(lambda: "e9" in cluster.routers[1].pools.views)
    assert sum("limits_exceed_memory" in line for line in event_log) == lines


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/nowhere/", API_KEY, 404), ("/order/x", "stolen", 401), ("/order/x", "", 401)],
)
async def test_request_without_route_or_valid_key_never_runs(
    cluster, path, key, status
):
    await cluster.start(1)
    assert (await cluster.call(path, key=key))[0] == status
    assert not cluster.upstreams["s1"].runs


async def test_instances_send_a_shared_prompt_to_the_same_engine(cluster):
    await cluster.start(2)
    for number in (1, 2, 1, 2):
        await cluster.call("/draft/x", number, prompt=True)
    ran = [bool(cluster.upstreams[name].runs) for name in ("e1", "e2")]
    assert sorted(ran) == [False, True]


async def test_resumable_stream_continues_at_another_engine(cluster):
    await cluster.start(1)
    for name in ("e1", "e2"):
        cluster.upstreams[name].cut_after_events = 3
    status, _, body = await cluster.call("/draft/x", prompt=True)
    assert (status, body) == (200, EXPECTED_EVENTS)


async def test_address_reused_by_another_upstream_runs_nothing(cluster):
    await cluster.start(1)
    cluster.upstreams["s1"].id = "somebody-else"
    status, headers, _ = await cluster.call("/order/x")
    assert status == 503
    assert float(headers[b"retry-after"]) > 0
    assert not cluster.upstreams["s1"].runs


async def test_draining_upstream_gets_no_new_requests(cluster):
    await cluster.start(1)
    cluster.deployment.register("e1", DRAFTS, f"127.0.7.1:{cluster.ports}", "draining")
    leaving = cluster.routers[1].pools.views["e1"]
    await cluster.wait_until(lambda: leaving.entry.state.name == "LEAVING")
    before = sum(cluster.upstreams["e1"].runs.values())
    for _ in range(4):
        assert (await cluster.call("/draft/x", prompt=True))[0] == 200
    assert sum(cluster.upstreams["e1"].runs.values()) == before


async def test_revoked_key_is_refused_by_an_instance_without_the_store(cluster):
    """An instance that cannot reach the store learns of the change from its peers."""
    await cluster.start(2)
    cluster.routers[2].store.settings.address = "127.0.9.9:1"
    cluster.routers[2].store.drop_connection()
    cluster.deployment.keys = ["another"]
    cluster.deployment.publish()
    with trio.fail_after(WAIT_S):
        while (await cluster.call("/order/x", 2))[0] != 401:
            await trio.sleep(0.05)


async def test_evacuated_zone_gets_no_requests_until_it_is_reopened(cluster):
    """Requests still reached upstreams of a zone after the operator evacuated it."""
    await cluster.start(2)
    far = await cluster.add_upstream("e3", DRAFTS, "zone-0")
    routers = cluster.routers.values()
    await cluster.wait_until(
        lambda: all("e3" in router.pools.views for router in routers)
    )
    cluster.deployment.evacuate("zone-1")
    await cluster.wait_until(lambda: all(r.pools.evacuations.zones() for r in routers))
    before = sum(cluster.upstreams["e1"].runs.values())
    for number in (1, 2):
        assert (await cluster.call("/draft/x", number, prompt=True))[0] == 200
        status, headers, body = await cluster.call("/order/x", number)
        assert (status, json.loads(body)["code"]) == (503, 2009)
        assert float(headers[b"retry-after"]) > 0
    assert sum(far.runs.values()) == 2
    assert sum(cluster.upstreams["e1"].runs.values()) == before
    assert not cluster.upstreams["s1"].runs
    cluster.deployment.reopen("zone-1")
    await cluster.wait_until(
        lambda: not any(r.pools.evacuations.zones() for r in routers)
    )
    assert (await cluster.call("/order/x"))[0] == 200


async def test_instance_without_the_store_learns_of_an_evacuation_from_peers(cluster):
    await cluster.start(2)
    cluster.routers[2].store.settings.address = "127.0.9.9:1"
    cluster.routers[2].store.drop_connection()
    cluster.deployment.evacuate("zone-1")
    await cluster.wait_until(lambda: cluster.routers[2].pools.evacuations.zones())
    await cluster.add_router(3)
    assert cluster.routers[3].pools.evacuations.zones()


async def test_route_uses_upstreams_of_its_allowed_regions_only(cluster):
    """Requests of such a route went to any idle upstream, in any region."""
    cluster.deployment.routes[0]["allowed_regions"] = ["east"]
    cluster.deployment.routes[2]["allowed_regions"] = ["east"]
    await cluster.start(1)
    near = await cluster.add_upstream("e3", DRAFTS, "zone-0")
    await cluster.wait_until(lambda: "e3" in cluster.routers[1].pools.views)
    for _ in range(6):
        assert (await cluster.call("/draft/x", prompt=True))[0] == 200
    assert sum(near.runs.values()) == 6
    status, headers, body = await cluster.call("/order/x")
    assert (status, json.loads(body)["code"]) == (503, 2010)
    assert float(headers[b"retry-after"]) > 0


@pytest.mark.parametrize("fault", [f for f in StoreFault if f is not StoreFault.NONE])
async def test_store_outage_does_not_stop_requests_and_ends(cluster, fault):
    await cluster.start(1)
    cluster.store.faults[""] = fault
    cluster.routers[1].store.drop_connection()
    await cluster.wait_until(lambda: cluster.routers[1].discovery.is_store_unavailable)
    assert (await cluster.call("/order/x"))[0] == 200
    cluster.store.faults.clear()
    number = cluster.deployment.publish()
    await cluster.wait_until(lambda: cluster.routers[1].table.number == number)


async def test_dropped_history_and_short_pages_lose_no_changes(cluster):
    cluster.store.page_size = 2
    await cluster.start(1)
    cluster.store.max_events = 1
    cluster.store.drop_history()
    await cluster.add_upstream("e3", DRAFTS)
    cluster.store.remove("servers/e1")
    number = cluster.deployment.publish()
    router = cluster.routers[1]
    await cluster.wait_until(lambda: router.table.number == number)
    await cluster.wait_until(lambda: set(router.pools.views) == {"e2", "e3", "s1"})


async def test_graceful_stop_completes_open_requests(cluster):
    await cluster.start(2)
    cluster.upstreams["s1"].work_s = 0.6
    results = []

    async def call():
        results.append(await cluster.call("/order/x"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        await cluster.wait_until(lambda: cluster.upstreams["s1"].running == 1)
        cluster.routers[1].stopping.set()
        await trio.sleep(0.1)
        ready = f"127.0.8.1:{cluster.ports + 1}"
        connection = await ClientConnection.connect(ready, 1.0)
        await connection.send(b"GET", b"/ready", [(b"Host", b"h")], b"")
        assert (await connection.receive_head()).status == 503
        connection.close()
        assert (await cluster.call("/look/x", 1))[0] == 200
    assert [result[0] for result in results] == [200]
    with trio.fail_after(WAIT_S):
        await cluster.ended[1].wait()
    await cluster.wait_until(lambda: cluster.routers[2].fleet().count == 1)


async def test_requests_of_a_killed_instance_no_longer_count_as_load(cluster):
    await cluster.start(2)
    cluster.upstreams["s1"].work_s = 30.0

    async def call():
        with pytest.raises(ExchangeError):
            await cluster.call("/order/x", 2)

    view = cluster.routers[1].pools.views["s1"]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        await cluster.wait_until(lambda: view.load.peers.requests == 1)
        cluster.scopes[2].cancel()
        await cluster.wait_until(lambda: view.load.peers.requests == 0)


async def test_request_before_the_first_configuration_waits_for_it_briefly(cluster):
    """Without the wait it would be refused, and be retried 0.5 s later."""
    await cluster.start(1)
    cluster.store.delay_s = 0.1
    cluster.nursery.start_soon(cluster._run_router, 2)
    await cluster.wait_until(lambda: 2 in cluster.routers)
    await cluster.wait_until(lambda: cluster.routers[2].is_listening)
    assert not cluster.routers[2].table.number
    status, _, body = await cluster.call("/order/x", 2, request_id="early")
    assert (status, body) == (200, b"answer-to-early")


async def test_request_before_the_first_configuration_is_refused_in_an_outage(
    cluster,
):
    await cluster.start(1)
    cluster.scopes[1].cancel()
    cluster.store.faults[""] = StoreFault.SILENT
    cluster.nursery.start_soon(cluster._run_router, 2)
    await cluster.wait_until(lambda: 2 in cluster.routers)
    await cluster.wait_until(lambda: cluster.routers[2].is_listening)
    before = trio.current_time()
    status, headers, _ = await cluster.call("/order/x", 2)
    assert status == 503
    assert b"retry-after" in headers
    assert trio.current_time() - before < 1.0


async def test_instance_that_starts_later_joins_all_others(cluster):
    await cluster.start(2)
    await cluster.add_router(3)
    for number in (1, 2, 3):
        await cluster.wait_until(lambda n=number: cluster.routers[n].fleet().count == 3)


def find_speakers(cluster, numbers):
    """Return which of some instances are speakers, which read the store."""
    return [
        n for n in numbers if cluster.routers[n].peers.is_speaker(trio.current_time())
    ]


async def test_only_the_speaker_of_a_zone_reads_the_store_and_relays_changes(cluster):
    await cluster.start(3)
    await cluster.wait_until(lambda: len(find_speakers(cluster, (1, 3))) == 1)
    (speaker,) = find_speakers(cluster, (1, 3))
    follower = 4 - speaker
    await trio.sleep(0.3)
    calls = cluster.routers[follower].store.calls
    number = cluster.deployment.publish()
    await cluster.wait_until(lambda: cluster.routers[follower].table.number == number)
    assert cluster.routers[follower].store.calls == calls
    cluster.deployment.register("e1", DRAFTS, f"127.0.7.1:{cluster.ports}", "draining")
    view = cluster.routers[follower].pools.views["e1"]
    await cluster.wait_until(lambda: view.entry.state.name == "LEAVING")


async def test_death_of_a_speaker_delays_updates_by_two_seconds_at_most(cluster):
    await cluster.start(3)
    await cluster.wait_until(lambda: len(find_speakers(cluster, (1, 3))) == 1)
    (speaker,) = find_speakers(cluster, (1, 3))
    follower = 4 - speaker
    await trio.sleep(0.3)
    cluster.scopes[speaker].cancel()
    number = cluster.deployment.publish()
    with trio.fail_after(2.0):
        while cluster.routers[follower].table.number != number:
            await trio.sleep(0.01)


async def test_metrics_and_status_show_a_request(cluster):
    await cluster.start(1)
    await cluster.call("/order/x")
    connection = await ClientConnection.connect(f"127.0.8.1:{cluster.ports + 3}", 1.0)
    for path, mark in (
        (b"/metrics", b'buckthornwall_requests_total{outcome="answered",tier="1"} 1'),
        (b"/status", b'"state": "ready"'),
    ):
        await connection.send(b"GET", path, [(b"Host", b"h")], b"")
        await connection.receive_head()
        body = b""
        while data := await connection.receive_data():
            body += data
        assert mark in body
    connection.close()


async def test_starting_instance_does_not_send_requests_that_peers_quarantine(cluster):
    """Requests during its start were sent on before it received the quarantine."""
    cluster.digest_ms = 250.0
    await cluster.start(2)
    request = RoutedRequest("", b"POST", b"/once/x", HOST, "", [], b"hi", 0.0)
    for upstream in ("a", "b", "c"):
        router = cluster.routers[1]
        tag = incarnation_tag(PoolId(DRAFTS), upstream, "")
        fingerprint = fingerprint_of(request, TeamId("one"))
        router.quarantine.record_termination(fingerprint, tag, router.clock.now())
    await trio.sleep(1.0)
    await cluster.add_router(3)
    status, _, _ = await cluster.call("/once/x", 3, prompt=True)
    assert status == 503
    assert not cluster.upstreams["e1"].runs
    assert not cluster.upstreams["e2"].runs
