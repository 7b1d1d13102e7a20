"""Tests of whole instances behind a stand-in of the users' platform."""

import itertools
import json

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

PORTS = itertools.count(7400, 10)
IDS = itertools.count(1)
WAIT_S = 5.0


class Site:
    """Some instances, a store, two engines and two services."""

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
        await self.until(lambda: number in self.routers)
        await self.until(lambda: self.routers[number].state.name == "READY")

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

    async def until(self, condition) -> None:
        with trio.fail_after(WAIT_S):
            while not condition():
                await trio.sleep(0.01)

    async def call(
        self, path, number=1, method=b"POST", key=API_KEY, prompt=False, **more
    ):
        """Make a call; return status, headers and body."""
        address = f"127.0.8.{number}:{self.ports}"
        request_id = more.get("request_id", f"r{next(IDS)}")
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
def site(nursery):
    return Site(nursery)


EVENTS = b"".join(b"id: %d\ndata: word-%d\n\n" % (n, n) for n in range(1, 7))


async def test_requests_of_all_kinds_are_served_through_any_instance(site):
    await site.start(2)
    for number in (1, 2):
        status, headers, body = await site.call("/order/x", number, request_id="o1")
        assert (status, body) == (200, b"answer-to-o1")
        assert headers[b"x-buckthornwall-response-seal"] == b"seal-of-o1"
        status, _, body = await site.call("/draft/x", number, prompt=True)
        assert (status, body) == (200, EVENTS)
    arrived = site.upstreams["s1"].received_headers[0]
    assert arrived[b"x-buckthornwall-tenant"] == b"one"
    assert b"x-buckthornwall-key" not in arrived


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/nowhere/", API_KEY, 404), ("/order/x", "stolen", 401), ("/order/x", "", 401)],
)
async def test_what_no_configuration_allows_never_runs(site, path, key, status):
    await site.start(1)
    assert (await site.call(path, key=key))[0] == status
    assert not site.upstreams["s1"].runs


async def test_a_shared_prompt_goes_to_one_engine_from_every_instance(site):
    await site.start(2)
    for number in (1, 2, 1, 2):
        await site.call("/draft/x", number, prompt=True)
    ran = [bool(site.upstreams[name].runs) for name in ("e1", "e2")]
    assert sorted(ran) == [False, True]


async def test_a_resumable_stream_goes_on_at_another_engine(site):
    await site.start(1)
    for name in ("e1", "e2"):
        site.upstreams[name].cut_after_events = 3
    status, _, body = await site.call("/draft/x", prompt=True)
    assert (status, body) == (200, EVENTS)


async def test_an_address_with_another_instance_gets_no_run(site):
    await site.start(1)
    site.upstreams["s1"].id = "somebody-else"
    status, headers, _ = await site.call("/order/x")
    assert status == 503
    assert float(headers[b"retry-after"]) > 0
    assert not site.upstreams["s1"].runs


async def test_a_leaving_upstream_gets_no_new_work(site):
    await site.start(1)
    site.deployment.register("e1", DRAFTS, f"127.0.7.1:{site.ports}", "draining")
    leaving = site.routers[1].pools.views["e1"]
    await site.until(lambda: leaving.entry.state.name == "LEAVING")
    before = sum(site.upstreams["e1"].runs.values())
    for _ in range(4):
        assert (await site.call("/draft/x", prompt=True))[0] == 200
    assert sum(site.upstreams["e1"].runs.values()) == before


async def test_a_revoked_key_is_refused_where_the_store_is_not_reached(site):
    """An instance that the store turns away hears it from its peers."""
    await site.start(2)
    site.routers[2].store.settings.address = "127.0.9.9:1"
    site.routers[2].store.drop_connection()
    site.deployment.keys = ["another"]
    site.deployment.publish()
    with trio.fail_after(WAIT_S):
        while (await site.call("/order/x", 2))[0] != 401:
            await trio.sleep(0.05)


async def test_an_evacuated_zone_gets_no_work_until_it_is_reopened(site):
    """Requests went on to a zone's upstreams after the operator had it emptied."""
    await site.start(2)
    far = await site.add_upstream("e3", DRAFTS, "zone-0")
    routers = site.routers.values()
    await site.until(lambda: all("e3" in router.pools.views for router in routers))
    site.deployment.evacuate("zone-1")
    await site.until(lambda: all(r.pools.evacuations.zones() for r in routers))
    before = sum(site.upstreams["e1"].runs.values())
    for number in (1, 2):
        assert (await site.call("/draft/x", number, prompt=True))[0] == 200
        status, headers, body = await site.call("/order/x", number)
        assert (status, json.loads(body)["code"]) == (503, 2009)
        assert float(headers[b"retry-after"]) > 0
    assert sum(far.runs.values()) == 2
    assert sum(site.upstreams["e1"].runs.values()) == before
    assert not site.upstreams["s1"].runs
    site.deployment.reopen("zone-1")
    await site.until(lambda: not any(r.pools.evacuations.zones() for r in routers))
    assert (await site.call("/order/x"))[0] == 200


async def test_an_instance_that_the_store_turns_away_hears_of_an_evacuation(site):
    await site.start(2)
    site.routers[2].store.settings.address = "127.0.9.9:1"
    site.routers[2].store.drop_connection()
    site.deployment.evacuate("zone-1")
    await site.until(lambda: site.routers[2].pools.evacuations.zones())
    await site.add_router(3)
    assert site.routers[3].pools.evacuations.zones()


async def test_a_route_stays_in_the_regions_that_it_allows(site):
    """Its requests went to whatever upstream was idle, in any region."""
    site.deployment.routes[0]["allowed_regions"] = ["east"]
    site.deployment.routes[2]["allowed_regions"] = ["east"]
    await site.start(1)
    near = await site.add_upstream("e3", DRAFTS, "zone-0")
    await site.until(lambda: "e3" in site.routers[1].pools.views)
    for _ in range(6):
        assert (await site.call("/draft/x", prompt=True))[0] == 200
    assert sum(near.runs.values()) == 6
    status, headers, body = await site.call("/order/x")
    assert (status, json.loads(body)["code"]) == (503, 2010)
    assert float(headers[b"retry-after"]) > 0


@pytest.mark.parametrize("fault", [f for f in StoreFault if f is not StoreFault.NONE])
async def test_an_outage_of_the_store_stops_nothing_and_ends(site, fault):
    await site.start(1)
    site.store.faults[""] = fault
    site.routers[1].store.drop_connection()
    await site.until(lambda: site.routers[1].discovery.is_store_unavailable)
    assert (await site.call("/order/x"))[0] == 200
    site.store.faults.clear()
    number = site.deployment.publish()
    await site.until(lambda: site.routers[1].table.number == number)


async def test_lost_history_and_short_pages_lose_nothing(site):
    site.store.page_size = 2
    await site.start(1)
    site.store.max_events = 1
    site.store.drop_history()
    await site.add_upstream("e3", DRAFTS)
    site.store.remove("servers/e1")
    number = site.deployment.publish()
    router = site.routers[1]
    await site.until(lambda: router.table.number == number)
    await site.until(lambda: set(router.pools.views) == {"e2", "e3", "s1"})


async def test_a_planned_stop_cuts_nothing_off(site):
    await site.start(2)
    site.upstreams["s1"].work_s = 0.6
    results = []

    async def call():
        results.append(await site.call("/order/x"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        await site.until(lambda: site.upstreams["s1"].running == 1)
        site.routers[1].stopping.set()
        await trio.sleep(0.1)
        ready = f"127.0.8.1:{site.ports + 1}"
        connection = await ClientConnection.connect(ready, 1.0)
        await connection.send(b"GET", b"/ready", [(b"Host", b"h")], b"")
        assert (await connection.receive_head()).status == 503
        connection.close()
        assert (await site.call("/look/x", 1))[0] == 200
    assert [result[0] for result in results] == [200]
    with trio.fail_after(WAIT_S):
        await site.ended[1].wait()
    await site.until(lambda: site.routers[2].fleet().count == 1)


async def test_a_killed_instance_is_lost_and_its_work_no_longer_counts(site):
    await site.start(2)
    site.upstreams["s1"].work_s = 30.0

    async def call():
        with pytest.raises(ExchangeError):
            await site.call("/order/x", 2)

    view = site.routers[1].pools.views["s1"]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        await site.until(lambda: view.load.peers.requests == 1)
        site.scopes[2].cancel()
        await site.until(lambda: view.load.peers.requests == 0)


async def test_a_request_before_the_first_version_waits_for_it_a_moment(site):
    """It would be refused, and come back 0.5 s later."""
    await site.start(1)
    site.store.delay_s = 0.1
    site.nursery.start_soon(site._run_router, 2)
    await site.until(lambda: 2 in site.routers)
    await site.until(lambda: site.routers[2].is_listening)
    assert not site.routers[2].table.number
    status, _, body = await site.call("/order/x", 2, request_id="early")
    assert (status, body) == (200, b"answer-to-early")


async def test_request_before_the_first_version_is_refused_during_an_outage(
    site,
):
    await site.start(1)
    site.scopes[1].cancel()
    site.store.faults[""] = StoreFault.SILENT
    site.nursery.start_soon(site._run_router, 2)
    await site.until(lambda: 2 in site.routers)
    await site.until(lambda: site.routers[2].is_listening)
    before = trio.current_time()
    status, headers, _ = await site.call("/order/x", 2)
    assert status == 503
    assert b"retry-after" in headers
    assert trio.current_time() - before < 1.0


async def test_an_instance_that_starts_later_is_found_by_all(site):
    await site.start(2)
    await site.add_router(3)
    for number in (1, 2, 3):
        await site.until(lambda n=number: site.routers[n].fleet().count == 3)


def readers(site, numbers):
    """Return which of some instances speak for their zone, and so read."""
    return [n for n in numbers if site.routers[n].peers.is_speaker(trio.current_time())]


async def test_one_instance_of_a_zone_reads_and_the_others_hear_it(site):
    await site.start(3)
    await site.until(lambda: len(readers(site, (1, 3))) == 1)
    (reader,) = readers(site, (1, 3))
    other = 4 - reader
    await trio.sleep(0.3)
    calls = site.routers[other].store.calls
    number = site.deployment.publish()
    await site.until(lambda: site.routers[other].table.number == number)
    assert site.routers[other].store.calls == calls
    site.deployment.register("e1", DRAFTS, f"127.0.7.1:{site.ports}", "draining")
    view = site.routers[other].pools.views["e1"]
    await site.until(lambda: view.entry.state.name == "LEAVING")


async def test_death_of_a_reader_delays_updates_by_two_seconds_at_most(site):
    await site.start(3)
    await site.until(lambda: len(readers(site, (1, 3))) == 1)
    (reader,) = readers(site, (1, 3))
    other = 4 - reader
    await trio.sleep(0.3)
    site.scopes[reader].cancel()
    number = site.deployment.publish()
    with trio.fail_after(2.0):
        while site.routers[other].table.number != number:
            await trio.sleep(0.01)


async def test_metrics_and_status_tell_what_happened(site):
    await site.start(1)
    await site.call("/order/x")
    connection = await ClientConnection.connect(f"127.0.8.1:{site.ports + 3}", 1.0)
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


async def test_an_instance_that_starts_does_not_send_what_others_refuse(site):
    """Requests that came while it started were sent on before it was told."""
    site.digest_ms = 250.0
    await site.start(2)
    request = RoutedRequest("", b"POST", b"/once/x", HOST, "", [], b"hi", 0.0)
    for upstream in ("a", "b", "c"):
        router = site.routers[1]
        tag = incarnation_tag(PoolId(DRAFTS), upstream, "")
        fingerprint = fingerprint_of(request, TeamId("one"))
        router.quarantine.record_termination(fingerprint, tag, router.clock.now())
    await trio.sleep(1.0)
    await site.add_router(3)
    status, _, _ = await site.call("/once/x", 3, prompt=True)
    assert status == 503
    assert not site.upstreams["e1"].runs
    assert not site.upstreams["e2"].runs
