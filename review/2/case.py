"""The one machine that reads the store is cut off from it, and a key is taken away."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins"))

from fleet import Client, Fleet, route, run_case  # noqa: E402
from proxy import Proxy  # noqa: E402

ZONES = ["everett-hall", "tacoma-hall", "everett-hall", "olympia-hall", "everett-hall"]
REMAINING = "everett-hall"
DESK = "fault-desk"
STABLE_S, APPLY_S, CUT_S = 3.0, 2.0, 5.5
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def play(fleet: Fleet) -> int:
    await fleet.start_store()
    for number in (1, 2, 3):
        fleet.start_engine(number, DESK)
    await asyncio.sleep(0.5)
    look = route("status", "/status/", "idempotent", DESK, timeout_ms=1000)
    await fleet.publish([look | {"max_attempts": 2}], [DESK])
    for number in (1, 2, 3):
        await fleet.register(number, DESK, "ready")
    proxies, watched_at = {}, {}
    for each in fleet.instances:
        ip = f"127.0.74.{each.number}"
        proxy = Proxy(f"{ip}:{fleet.ports + 4}", fleet.store_address)
        proxy.on_request = lambda data, number=each.number: (
            b"/kv-watch" in data and watched_at.update({number: time.time()})
        )
        proxies[each.number] = proxy
        fleet.store_addresses[each.number] = proxy.listen
        fleet.tasks.append(asyncio.create_task(proxy.run()))
    await fleet.start_instances()
    await asyncio.sleep(STABLE_S)
    # The machines of two zones leave, as planned.
    for each in fleet.instances:
        if each.zone != REMAINING:
            each.leave()
    await asyncio.sleep(8 + STABLE_S)
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
    config = fleet.config | {"version": 5}
    config["tenants"] = [{"name": "one", "api_keys": ["another-key"]}]
    await fleet.put("op/config", json.dumps(config).encode(), "version 5: no old key")
    acknowledged_at = time.time()
    answers = []
    clients = [Client(each) for each in left if each is not reader]
    while time.time() < cut_at + CUT_S:
        asks = [client.ask("/status/", 1000, first_ms=5) for client in clients]
        answers += await asyncio.gather(*asks)
        await asyncio.sleep(0.1)
    proxies[reader.number].passes.set()
    return judge(fleet, clients, answers, acknowledged_at)


def judge(fleet: Fleet, clients: list, answers: list, acknowledged_at: float) -> int:
    """Apply CONFIG to machines that nothing has disturbed: they are in touch."""
    runs = {line["request"] for line in fleet.runs() if line["what"] == "runs"}
    late_at_all = 0
    for instance in (client.instance for client in clients):
        late = [
            each.sent_at - acknowledged_at
            for each in answers
            if each.instance is instance
            and each.sent_at > acknowledged_at + APPLY_S
            and each.status == 200
            and each.request in runs
        ]
        late_at_all += len(late)
        fleet.record.add(
            f"{instance.name}, undisturbed: {len(late)} requests with the key that was"
            f" taken away, sent over {APPLY_S} s after the acknowledgement, were run"
            + (f", the last sent {max(late):.2f} s after it" if late else "")
        )
    fleet.record.add(f"rule CONFIG {'broken' if late_at_all else 'held'}")
    return 1 if late_at_all else 0


sys.exit(run_case(CASE, ZONES, play))
