"""A request that crashes engines, sent again and again to real instances.

The instances are processes of their own; the store and the engines are stand-ins in
this process. An engine that ended is started again under another id at the same
address. Other requests run beside it, and some runs kill and start the instances in
turn.
"""

import argparse
import itertools
import random
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import trio
from buckthornwall.http1 import ClientConnection, ExchangeError

from .soak_instances import SoakInstances
from .users_platform import Deployment, Store, Upstream
from .users_platform.crashing import CRASHING, CrashingEngine
from .users_platform.deployment import DRAFTS, HOST, KEY, ORDERS, route
from .users_platform.wire import call_headers

__all__ = ["CrashSoak", "Limits", "Sending", "find_late", "main"]

SETTLE_S = 3.0
PATIENCE_S = 3.0
# When the registration of an engine that ended is removed, and when it is back.
LAPSE_S = 1.5
DOWN_S = 2.0


@dataclass(frozen=True)
class Limits:
    """How many sends of a request may reach engines after it crashed some of them."""

    crashes: int = 3
    grace_s: float = 3.0
    sends: int = 3


@dataclass(frozen=True)
class Sending:
    """One sending of a request that crashes engines; `at` in seconds."""

    body: bytes
    instance: int
    at: float


@dataclass(frozen=True)
class Arrival:
    """A sending that reached an engine."""

    sending: Sending
    at: float


def find_late(
    arrivals: list[Arrival],
    ends: list[tuple[float, bytes]],
    started: list[tuple[float, int]],
    limits: Limits,
) -> list[Arrival]:
    """Return the arrivals that count against `limits`.

    Parameters
    ----------
    arrivals
        All that reached engines.
    ends
        When an engine ended, and by which body.
    started
        When which instance was killed or started; its sends count again only
        `grace_s` later.
    limits
        What is allowed.
    """
    late = []
    for body in {body for _, body in ends}:
        times = sorted(at for at, by in ends if by == body)
        if len(times) < limits.crashes:
            continue
        bound = times[limits.crashes - 1] + limits.grace_s
        late += [
            each
            for each in arrivals
            if each.sending.body == body
            and each.sending.at > bound
            and not any(
                number == each.sending.instance
                and 0 <= each.sending.at - at <= limits.grace_s
                for at, number in started
            )
        ]
    return late


class CrashSoak:
    """One run.

    Parameters
    ----------
    seed
        Draws who is asked, and when.
    seconds
        How long callers come.
    ports
        First of five ports that all instances share.
    folder
        Where settings and logs go.
    instances, engines
        How many of each.
    crashing
        How many different requests crash engines.
    restarts
        Whether instances are killed and started in turn.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        ports: int,
        folder: Path,
        instances: int,
        engines: int,
        crashing: int = 1,
        restarts: bool = False,
    ) -> None:
        self.draw = random.Random(seed)
        self.seconds = seconds
        self.ports = ports
        self.count = instances
        self.engines = engines
        self.bodies = [CRASHING + b"-%d" % n for n in range(crashing)]
        self.restarts = restarts
        self.store = Store()
        self.deployment = Deployment(self.store)
        self.instances = SoakInstances(ports, folder)
        self.sendings: dict[str, Sending] = {}
        self.arrivals: list[Arrival] = []
        self.ends: list[tuple[float, bytes]] = []
        self.started: list[tuple[float, int]] = []
        self.statuses: Counter[tuple[str, str]] = Counter()
        self._numbers = itertools.count(1)

    async def run(self) -> None:
        """Start all, play the load, and end the instances."""
        async with trio.open_nursery() as nursery:
            await self._start(nursery)
            try:
                with trio.move_on_after(self.seconds):
                    await self._play()
            finally:
                self.instances.end()
            nursery.cancel_scope.cancel()

    def late(self, limits: Limits) -> list[Arrival]:
        """Return the arrivals that count against `limits`."""
        return find_late(self.arrivals, self.ends, self.started, limits)

    async def _start(self, nursery: trio.Nursery) -> None:
        await nursery.start(self.store.run, f"127.0.9.1:{self.ports + 4}")
        self.deployment.slots = 32
        self.deployment.routes = [
            route("once", "/once/", "stream", DRAFTS, max_attempts=1),
            route("draft", "/draft/", "stream", DRAFTS, resumable=True),
            route("look", "/look/", "idempotent", ORDERS),
        ]
        self.deployment.publish()
        for number in range(1, self.engines + 1):
            await nursery.start(self._keep_engine, f"127.0.7.{number}:{self.ports}")
        address = f"127.0.7.200:{self.ports}"
        await nursery.start(Upstream("s1").run, address)
        self.deployment.register("s1", ORDERS, address)
        for number in range(1, self.count + 1):
            self.instances.start(number)
        await self.instances.until_ready()
        await trio.sleep(SETTLE_S)

    async def _keep_engine(
        self, address: str, *, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run incarnations of one engine, each under an id of its own."""
        while True:
            engine = CrashingEngine(
                f"e{next(self._numbers)}", event_s=0.05, on_arrival=self._note_arrival
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(engine.run_until_crash, address)
                self.deployment.register(engine.id, DRAFTS, address)
                task_status.started()
                task_status = trio.TASK_STATUS_IGNORED
            self.ends.append((trio.current_time(), engine.crashed_by))
            await trio.sleep(LAPSE_S)
            self.store.remove(f"servers/{engine.id}")
            await trio.sleep(DOWN_S - LAPSE_S)

    def _note_arrival(self, request: str) -> None:
        sending = self.sendings[request]
        if sending.body in self.bodies:
            self.arrivals.append(Arrival(sending, trio.current_time()))

    async def _play(self) -> None:
        async with trio.open_nursery() as callers:
            for body in self.bodies:
                callers.start_soon(self._send_again, body, callers)
            for path, per_s in (("once", 10.0), ("draft", 10.0), ("look", 5.0)):
                callers.start_soon(self._come, path, per_s, callers)
            if self.restarts:
                callers.start_soon(self._restart_in_turn)

    async def _send_again(self, body: bytes, callers: trio.Nursery) -> None:
        while True:
            callers.start_soon(self._call, "once", body)
            await trio.sleep(self.draw.uniform(0.3, 0.6))

    async def _come(self, path: str, per_s: float, callers: trio.Nursery) -> None:
        for number in itertools.count():
            body = b"same" if path == "look" else b"%s-%d" % (path.encode(), number)
            callers.start_soon(self._call, path, body)
            await trio.sleep(self.draw.expovariate(per_s))

    async def _restart_in_turn(self) -> None:
        for number in itertools.cycle(range(1, self.count + 1)):
            await trio.sleep(1.5)
            self.instances.processes[number].kill()
            self.instances.processes[number].wait()
            self.started.append((trio.current_time(), number))
            await trio.sleep(0.5)
            self.instances.start(number)
            self.started.append((trio.current_time(), number))

    async def _call(self, path: str, body: bytes) -> None:
        request = f"r{next(self._numbers)}"
        number = self.draw.randint(1, self.count)
        self.sendings[request] = Sending(body, number, trio.current_time())
        prompt = None if path == "look" else ("900,10", f"aa:600,{request[1:]}:300")
        headers = call_headers(request, HOST, KEY, PATIENCE_S, prompt, body)
        kind = "crashing" if body in self.bodies else path
        self.statuses[kind, await self._exchange(number, path, headers, body)] += 1

    async def _exchange(
        self, number: int, path: str, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> str:
        connection = None
        with trio.move_on_after(PATIENCE_S):
            try:
                address = f"127.0.8.{number}:{self.ports}"
                connection = await ClientConnection.connect(address, 1.0)
                await connection.send(b"POST", f"/{path}/x".encode(), headers, body)
                head = await connection.receive_head()
                while await connection.receive_data():
                    pass
                return str(head.status)
            except ExchangeError as error:
                return error.failure.value
            finally:
                if connection is not None:
                    connection.close()
        return "left"


def main(arguments: list[str] | None = None) -> int:
    """Play seeds one after the other; return 1 if any breaks the limits."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--engines", type=int, default=9)
    parser.add_argument("--crashing", type=int, default=1)
    parser.add_argument("--restarts", action="store_true")
    parser.add_argument("--ports", type=int, default=7700)
    options = parser.parse_args(arguments)
    limits, failed = Limits(), 0
    for seed in options.seeds:
        with tempfile.TemporaryDirectory(prefix="crash-soak-") as name:
            soak = CrashSoak(
                seed,
                options.seconds,
                options.ports,
                Path(name),
                options.instances,
                options.engines,
                options.crashing,
                options.restarts,
            )
            trio.run(soak.run)
        late = Counter(each.sending.body for each in soak.late(limits))
        is_broken = any(count > limits.sends for count in late.values())
        failed += is_broken
        verdict = "BROKEN" if is_broken else "kept"
        print(
            f"seed {seed}: {verdict}, {len(soak.ends)} ends, "
            f"{len(soak.arrivals)} arrivals, late {dict(late)}"
        )
        for (kind, status), count in sorted(soak.statuses.items()):
            print(f"  {kind} {status}: {count}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
