"""The one machine that reads the store is cut off from it as routes and keys change."""

import asyncio
import os
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
RECORD = Path(sys.argv[1])
sys.path.insert(0, str(CASE.parent / "standins"))

from fleet import KEY, Client, Fleet, route, run_case  # noqa: E402
from proxy import Proxy  # noqa: E402

ZONES = ["everett-hall", "tacoma-hall", "everett-hall", "olympia-hall", "everett-hall"]
REMAINING = "everett-hall"
DESK, NEXT_DESK = "fault-desk", "fault-desk-next"
ENGINES = {DESK: (1, 2, 3), NEXT_DESK: (4, 5, 6)}
OTHER_KEY = "key-of-two"
STABLE_S, APPLY_S, CUT_S, GRACE_S, GAP_S = 3.0, 2.0, 5.5, 8.0, 1.3
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def status_route(service: str) -> dict:
    """Return the route /status/, which leads to a service."""
    more = {"timeout_ms": 1000, "max_attempts": 2, "target_latency_ms": 150}
    return route("status", "/status/", "idempotent", service, **more)


def kept_route(name: str) -> dict:
    """Return a route that isn't moved."""
    more = {"timeout_ms": 1000, "max_attempts": 2, "target_latency_ms": 150}
    return route(name, f"/{name}/", "idempotent", DESK, **more)


async def play(fleet: Fleet) -> int:
    """Play the case; return 1 if the rule was broken, else 0."""
    await fleet.start_store()
    for service, numbers in ENGINES.items():
        for number in numbers:
            fleet.start_engine(number, service)
    await asyncio.sleep(0.5)
    services = [{"name": name, "max_connections": 96} for name in ENGINES]
    tenants = {"one": KEY, "two": OTHER_KEY}
    await fleet.publish(3, [status_route(DESK), kept_route("kept")], services, tenants)
    for service, numbers in ENGINES.items():
        for number in numbers:
            await fleet.register(number, service, "ready", slots=6)
    proxies, watched_at = {}, {}
    for each in fleet.instances:
        proxy = Proxy(f"127.0.74.{each.number}:{fleet.ports + 4}", fleet.store_address)
        proxy.on_request = lambda data, number=each.number: (
            b"/kv-watch" in data and watched_at.update({number: time.time()})
        )
        proxies[each.number] = proxy
        fleet.store_addresses[each.number] = proxy.listen
        fleet.tasks.append(asyncio.create_task(proxy.run()))
    await fleet.start_instances()
    await asyncio.sleep(STABLE_S)
    # The machines of two zones leave, one after the other, as planned.
    for each in fleet.instances:
        if each.zone != REMAINING:
            each.leave()
            await asyncio.sleep(GAP_S)
    await asyncio.sleep(GRACE_S + STABLE_S)
    left = [each for each in fleet.instances if each.zone == REMAINING]
    watched_at.clear()
    while not watched_at:
        await asyncio.sleep(0.01)
    reader = next(each for each in left if each.number in watched_at)
    fleet.record.add(f"{reader.name} watches the store")
    if TROUBLE:
        proxies[reader.number].passes.clear()
        fleet.record.add(f"{reader.name} is cut off from the store")
    cut_at = time.time()
    await asyncio.sleep(0.1)
    # The route moves to the other service, another is added, a key is taken away.
    routes = [status_route(NEXT_DESK), kept_route("kept"), kept_route("added")]
    await fleet.publish(5, routes, services, {"one": KEY, "two": ""})
    acknowledged_at = time.time()
    machines = [each for each in left if each is not reader]
    clients = [
        (what, Client(each, key), path)
        for each in machines
        for what, key, path in (
            ("moved", KEY, "/status/"),
            ("added", KEY, "/added/"),
            ("key", OTHER_KEY, "/kept/"),
        )
    ]
    answers = []
    while time.time() < cut_at + CUT_S:
        asks = [client.ask(path, 1000, first_ms=30) for _, client, path in clients]
        found = await asyncio.gather(*asks)
        answers += zip([what for what, _, _ in clients], found, strict=True)
        await asyncio.sleep(0.1)
    proxies[reader.number].passes.set()
    return judge(fleet, machines, answers, acknowledged_at)


def judge(fleet: Fleet, machines: list, answers: list, acknowledged_at: float) -> int:
    """Apply CONFIG to machines that nothing has disturbed: they are in touch."""
    old = {f"i-{number:08x}" for number in ENGINES[DESK]}
    ran_at = {x["request"]: x["engine"] for x in fleet.runs() if x["what"] == "runs"}
    late = {
        "moved": "run by the old service of the moved route",
        "added": "refused with 404 on the route that is there",
        "key": "run with the key that was taken away",
    }

    def is_as_of_old(what: str, answer) -> bool:
        if what == "added":
            return answer.status == 404
        engine = ran_at.get(answer.request)
        return engine in old if what == "moved" else engine is not None

    broken = 0
    for instance in machines:
        for what, text in late.items():
            after_s = [
                each.sent_at - acknowledged_at
                for kind, each in answers
                if kind == what
                and each.instance is instance
                and each.sent_at > acknowledged_at + APPLY_S
                and is_as_of_old(what, each)
            ]
            broken += len(after_s)
            fleet.record.add(
                f"{instance.name}, undisturbed: {len(after_s)} requests sent over"
                f" {APPLY_S} s after the acknowledgement were {text}"
                + (f", the last sent {max(after_s):.2f} s after it" if after_s else "")
            )
    fleet.record.add(f"rule CONFIG {'broken' if broken else 'held'}: {broken} requests")
    return 1 if broken else 0


sys.exit(run_case(RECORD, ZONES, play))
