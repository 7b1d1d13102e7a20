"""Instances that read the store are killed while an engine leaves: it gets late requests.

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
ZONES = {"tacoma": 2, "everett": 6, "olympia": 1}
SERVICE, KEY = "fault-desk", "key-of-one"
ENGINES = ["i-0001", "i-0002", "i-0003", "i-0004"]
DRAIN_S = 2.0
DOWN_S = 2.0  # herd_kill
KILLED_AFTER_S = 0.45
REMOVED_AFTER_S = 0.1
SERVES_ON_S = 14.0  # "at times many seconds"
ROLL_GAP_S = 1.3

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


async def roll(fleet, record, instances):
    """Stop instances and start them again, one after the other, as `roll_term` does."""

    async def restart(each):
        each.process.send_signal(signal.SIGTERM)
        while each.process.poll() is None:
            await asyncio.sleep(0.05)
        each.log.rename(each.log.with_suffix(f".{time.monotonic_ns()}"))
        each.start()
        while not await each.is_ready():
            await asyncio.sleep(0.1)
        record.write(f"{each.name} was stopped and has started again")

    async with asyncio.timeout(60), asyncio.TaskGroup() as group:
        for each in instances:
            group.create_task(restart(each))
            await asyncio.sleep(ROLL_GAP_S)


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
        await asyncio.sleep(3)
        # Planned work first, also without trouble: a roll of those, but the speakers,
        # that have read the store by themselves while all started together.
        for _ in range(2):
            others = [each for each in fleet.instances if not each.is_speaker()]
            await roll(fleet, record, [each for each in others if each.has_read()])
        await asyncio.sleep(5)
        record.write("all instances ready and calm")
        callers = Callers(fleet, record)
        tasks = [asyncio.create_task(callers.run(each)) for each in fleet.instances]
        await asyncio.sleep(4)
        speakers = [each for each in fleet.instances if each.is_speaker()]
        if len(speakers) != len(ZONES):
            raise CannotRun(f"{len(speakers)} speakers")
        # Two changes in a row. The second is made when all readers of the store wait for
        # one, so that they read at the same time from then on.
        fleet.store.put("op/config", config(9, [ROUTE], SERVICES, TENANTS))
        await asyncio.wait_for(fleet.store.all_wait(len(ZONES)), 20)
        fleet.store.put("op/config", config(11, [ROUTE], SERVICES, TENANTS))
        record.write("configuration 11, acknowledged by the store")
        await asyncio.sleep(KILLED_AFTER_S)
        if TROUBLE:
            for each in speakers:
                each.process.kill()
            for each in speakers:
                each.process.wait()
            names = " ".join(each.name for each in speakers)
            record.write(f"killed: {names}")
            await asyncio.sleep(REMOVED_AFTER_S)
        fleet.store.remove(f"servers/{ENGINES[0]}")
        engines[ENGINES[0]].send_signal(signal.SIGUSR1)
        removed_at = time.monotonic()
        record.write(f"entry of {ENGINES[0]} removed, acknowledged by the store")
        await asyncio.sleep(DOWN_S - REMOVED_AFTER_S)
        if TROUBLE:
            for each in speakers:
                each.start()
            record.write(f"started again: {names}")
        away = {each.name for each in speakers} if TROUBLE else set()
        await asyncio.sleep(SERVES_ON_S - DOWN_S)
        callers.stopped = True
        for task in tasks:
            task.cancel()
        record.write(f"answers: {callers.answers}")
        entries = [json.loads(line) for line in runs.read_text().splitlines()]
        late = []
        for entry in entries:
            if entry["event"] != "runs" or entry["engine"] != ENGINES[0]:
                continue
            after_s = entry["at"] - removed_at
            if after_s <= DRAIN_S:
                continue
            taken_by, sent_at = callers.taken_by[entry["request"]]
            record.write(
                f"{ENGINES[0]} runs {entry['request']} of {taken_by}"
                f" {after_s:.3f} s after its entry was removed"
                f" (sent {sent_at - removed_at:.3f} s after)"
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
