"""One instance is cut off from the store while an engine leaves: it gets late requests.

Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import json
import os
import random
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from fleet import (  # noqa: E402
    CannotRun,
    Fleet,
    Record,
    bounded,
    config,
    exchange,
    registration,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"tacoma": 2, "everett": 3, "olympia": 1}  # as cascade-xing
SERVICE, KEY = "fault-desk", "key-of-one"
ENGINES = [f"i-{number:04}" for number in range(1, 9)]
ROUNDS = 5
DRAIN_S = 2.0
CUT_S = 5.5  # core_cut
REMOVED_BEFORE_S = 0.05
SERVES_ON_S = 8.0  # "at times many seconds"

ROUTE = {
    "name": "r-status",
    "host": "desk.example",
    "path_prefix": "/status/",
    "kind": "idempotent",
    "timeout_ms": 1000,
    "target_latency_ms": 200,
    "priority": 2,
    "service": SERVICE,
    "max_attempts": 2,
    "public": False,
}
SERVICES = [
    {"name": SERVICE, "health_path": "/health", "max_connections": 96},
]
TENANTS = [{"name": "one", "api_keys": [KEY], "priority": 1}]


class Callers:
    """Callers of each instance, which send one request after another."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record
        self.count = 0
        self.stopped = False
        self.taken_by = {}
        self.answers = {}

    async def run(self, instance):
        rng = random.Random(instance.name)
        while not self.stopped:
            await asyncio.sleep(rng.uniform(0.1, 0.3))
            self.count += 1
            request = f"req{self.count:06d}"
            self.taken_by[request] = (instance.name, time.monotonic())
            headers = {
                "X-Buckthornwall-Attempt-Id": request,
                "X-Buckthornwall-Deadline-Ms": "1000",
                "X-Buckthornwall-Key": KEY,
            }
            try:
                status, _, _, complete = await asyncio.wait_for(
                    exchange(instance.front, "GET", "/status/plain", headers), 1.2
                )
                answer = f"{status}{'' if complete else ' cut'}"
            except (OSError, EOFError, asyncio.TimeoutError) as error:
                answer = type(error).__name__
            self.answers[answer] = self.answers.get(answer, 0) + 1


async def play(record):
    fleet, callers = Fleet(ZONES), None
    try:
        addresses = dict(zip(ENGINES, fleet.engine_addresses(len(ENGINES))))
        runs = fleet.directory / "engines.jsonl"
        engines = {}
        for name, address in addresses.items():
            engines[name] = fleet.spawn(
                HERE.parent / "standins-2" / "engine.py", runs, address, name
            )
            fleet.store.put(f"servers/{name}", registration(SERVICE, address, "tacoma"))
        fleet.store.put("op/config", config(7, [ROUTE], SERVICES, TENANTS))
        await fleet.start()
        await asyncio.sleep(5)
        record.write("all instances ready and calm")
        callers = Callers(fleet, record)
        tasks = [asyncio.create_task(callers.run(each)) for each in fleet.instances]
        await asyncio.sleep(4)
        for _ in range(100):
            cut = [e for e in fleet.instances if e.zone == "everett" and e.is_speaker()]
            if len(cut) == 1:
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun(f"{len(cut)} speakers")
        removed_at = {}
        for name in ENGINES[:ROUNDS]:
            if TROUBLE:
                fleet.store.cut.add(cut[0].store_ip)
                record.write(f"{cut[0].name} is cut off from the store")
            await asyncio.sleep(CUT_S - REMOVED_BEFORE_S)
            fleet.store.remove(f"servers/{name}")
            engines[name].send_signal(signal.SIGUSR1)
            removed_at[name] = time.monotonic()
            record.write(f"entry of {name} removed, acknowledged by the store")
            await asyncio.sleep(REMOVED_BEFORE_S)
            fleet.store.cut.clear()
            if TROUBLE:
                record.write(f"{cut[0].name} reaches the store again")
            await asyncio.sleep(SERVES_ON_S)
        away = {cut[0].name}
        callers.stopped = True
        for task in tasks:
            task.cancel()
        record.write(f"answers: {callers.answers}")
        entries = [json.loads(line) for line in runs.read_text().splitlines()]
        late = []
        for entry in entries:
            name = entry["engine"]
            if entry["event"] != "runs" or name not in removed_at:
                continue
            after_s = entry["at"] - removed_at[name]
            if after_s <= DRAIN_S:
                continue
            taken_by, sent_at = callers.taken_by[entry["request"]]
            record.write(
                f"{name} runs {entry['request']} of {taken_by}"
                f" {after_s:.3f} s after its entry was removed"
                f" (sent {sent_at - removed_at[name]:.3f} s after)"
            )
            if taken_by not in away:
                late.append((taken_by, after_s))
        record.write(f"runs of all engines: {sum(e['event'] == 'runs' for e in entries)}")
        return late
    finally:
        if callers is not None:
            callers.stopped = True  # a cancellation may get lost in `wait_for`
        fleet.end()


def main():
    record = Record(HERE / "record.txt")
    record.write(f"TROUBLE={int(TROUBLE)}")
    try:
        late = asyncio.run(bounded(play(record)))
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record.write(f"could not run: {error!r}")
        return 2
    names = sorted({name for name, _ in late})
    record.write(f"DRAIN: {len(late)} late requests, of {' '.join(names) or 'nobody'}")
    record.write("the rule is broken" if late else "the rule held")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(main())
