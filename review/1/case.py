"""An entry from another writer, of bytes that can't be read, while requests run."""

import asyncio
import os
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
RECORD = Path(sys.argv[1])
sys.path.insert(0, str(CASE.parent / "standins"))

from fleet import KEY, Client, Fleet, Prompt, route, run_case  # noqa: E402

ZONES = ["be-central-a", "be-central-b", "be-central-c"]
MODELS = "planner-llm"
STABLE_S = 4.0
CLIENTS = 6
# corridor-draft, as the sheet and the site file have it
PROMPT = Prompt(((2520, 4), (3780, 1698)), 2890, 60)
# An entry of 2,006 bytes that is no JSON: it breaks off inside its lists.
UNREADABLE = b'{"x":' + b"[" * 2001
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def play(fleet: Fleet) -> int:
    await fleet.start_store()
    for number in (1, 2, 3):
        fleet.start_engine(number, MODELS)
    await asyncio.sleep(0.5)
    routes = [route("draft", "/draft/", "stream", MODELS, gap_aim_ms=1000)]
    engine = {"slots": 96, "kv_capacity": 278257, "stride": 6}
    services = [{"name": MODELS, "engine": engine, "max_connections": 990}]
    await fleet.publish(3, routes, services, {"one": KEY})
    for number in (1, 2, 3):
        await fleet.register(number, MODELS, "ready")
    await fleet.start_instances()
    clients = {
        each: [Client(each, prompt=PROMPT) for _ in range(CLIENTS)]
        for each in fleet.instances
    }
    # Every connection has carried a request before; all is calm for stable_ms and more.
    everyone = [client for kept in clients.values() for client in kept]
    calm_until = time.time() + STABLE_S + 1.5
    while time.time() < calm_until:
        asks = [
            each.ask("/draft/a", first_ms=50, gap_ms=5, events=3) for each in everyone
        ]
        answers = await asyncio.gather(*asks)
        if any(each.status != 200 or each.events != 3 for each in answers):
            fleet.record.add("requests fail before the disruption")
            return 2
        await asyncio.sleep(0.4)
    # Long prompts: the first event takes 1.5 s, of the 2 s that the route aims at.
    asked = [
        asyncio.create_task(each.ask("/draft/b", first_ms=1500, gap_ms=20, events=9))
        for each in everyone
    ]
    await asyncio.sleep(0.7)
    if TROUBLE:
        await fleet.put("servers/other-writer", UNREADABLE, "bytes that can't be read")
    answers = await asyncio.gather(*asked)
    # The platform starts ended processes again; a client tries once a second.
    served = 0
    for _ in range(8):
        probes = [Client(each, prompt=PROMPT) for each in fleet.instances]
        asks = [
            each.ask("/draft/c", first_ms=50, gap_ms=5, events=3) for each in probes
        ]
        served += sum(each.events == 3 for each in await asyncio.gather(*asks))
        for each in probes:
            each.close()
        await asyncio.sleep(1)
    return judge(fleet, answers, served)


def judge(fleet: Fleet, answers: list, served: int) -> int:
    """Apply LOST: more than three times at a machine, and count own ends for Fault."""
    running = {line["request"] for line in fleet.runs() if line["what"] == "runs"}
    is_broken = False
    for instance in fleet.instances:
        here = [each for each in answers if each.instance is instance]
        lost = [
            each
            for each in here
            if each.request in running and not each.status and each.end != "complete"
        ]
        is_broken |= len(lost) > 3
        fleet.record.add(
            f"{instance.name}: of {len(here)} requests on kept connections, passed on"
            f" to sound engines, {len(lost)} connections were closed without an answer;"
            f" its process ended by itself {len(instance.own_ends)} times"
        )
    fleet.record.add(f"of 24 requests after that, {served} were served")
    fleet.record.add(f"rule LOST {'broken' if is_broken else 'held'}")
    for instance in fleet.instances:
        for line in instance.log.read_text(errors="replace").splitlines():
            if "Error" in line and "WARNING" not in line:
                fleet.record.add(f"{instance.name} wrote: {line.strip(' |')[:150]}")
                break
    return 1 if is_broken else 0


sys.exit(run_case(RECORD, ZONES, play))
