"""A load of three tiers on real instances: who gets nothing while less urgent begin.

The instances are processes of their own, as many as asked for, and share the cores of
one machine, so their loops come late; the store and the engines are stand-ins in this
process. No fault is drawn. Less urgent requests come several times as often as usual
for a while, before engines that hold nothing yet.
"""

import argparse
import itertools
import random
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, replace
from pathlib import Path

import trio
from buckthornwall.http1 import ClientConnection, ExchangeError

from .soak_instances import SoakInstances
from .tiers import Attempted, find_inversions
from .users_platform import Deployment, Engine, Store
from .users_platform.deployment import DRAFTS, HOST, KEY, route
from .users_platform.wire import call_headers

__all__ = ["TierSoak", "main"]

SETTLE_S = 3.0
ENGINE_TOKENS = 600_000
# Callers leave without an event after the longest of these: seconds, and times their
# target and their longest pause.
LEAST_PATIENCE_S, PATIENCE_TARGETS, PATIENCE_PAUSES = 2.0, 4, 8


@dataclass(frozen=True)
class Kind:
    """Requests of one route; times in seconds, lengths in tokens on average."""

    name: str
    tier: int
    per_s: float
    target_s: float
    max_pause_s: float
    deadline_s: float
    shared: int
    own: int
    events: int
    subjects: int
    burst: float = 1.0

    @property
    def patience_s(self) -> float:
        """How long a caller waits for the first event."""
        longest = max(
            LEAST_PATIENCE_S,
            PATIENCE_TARGETS * self.target_s,
            PATIENCE_PAUSES * self.max_pause_s,
        )
        return min(longest, self.deadline_s)


KINDS = (
    Kind("review", 2, 10, 1.5, 1.0, 10.0, 13_300, 3_720, 24, 60, burst=2.9),
    Kind("reply", 1, 12, 0.6, 0.4, 5.0, 6_300, 2_890, 10, 20, burst=2.0),
    Kind("question", 0, 12, 0.3, 0.25, 10.0, 350, 1_110, 34, 60),
)


class TierSoak:
    """One run.

    Parameters
    ----------
    seed
        Draws arrivals and lengths.
    seconds
        How long callers come; the burst is the middle half.
    ports
        First of five ports that all instances share.
    folder
        Where settings and logs go.
    instances, engines
        How many of each.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        ports: int,
        folder: Path,
        instances: int,
        engines: int,
    ) -> None:
        self.draw = random.Random(seed)
        self.seconds = seconds
        self.ports = ports
        self.count = instances
        self.engines = [Engine(f"e{number}") for number in range(1, engines + 1)]
        self.store = Store()
        self.deployment = Deployment(self.store)
        self.instances = SoakInstances(ports, folder)
        self.attempts: list[Attempted] = []
        self.ends: Counter[tuple[str, str]] = Counter()
        self._numbers = itertools.count()
        self._began = 0.0

    async def run(self) -> None:
        """Start all, play the load, and end the instances."""
        async with trio.open_nursery() as nursery:
            await self._start(nursery)
            try:
                await self._play()
            finally:
                self.instances.end()
            nursery.cancel_scope.cancel()

    async def _start(self, nursery: trio.Nursery) -> None:
        await nursery.start(self.store.run, f"127.0.9.1:{self.ports + 4}")
        self.deployment.routes = [
            route(
                kind.name,
                f"/{kind.name}/",
                "stream",
                DRAFTS,
                priority=kind.tier,
                target_latency_ms=kind.target_s * 1000,
                gap_aim_ms=kind.max_pause_s * 1000,
                timeout_ms=int(kind.deadline_s * 1000),
                resumable=kind.tier == 1,
                max_attempts=2 if kind.tier == 1 else 1,
            )
            for kind in KINDS
        ]
        self.deployment.slots = self.engines[0].slots
        self.deployment.memory_tokens = ENGINE_TOKENS
        self.deployment.publish()
        for number, engine in enumerate(self.engines, 1):
            address = f"127.0.7.{number}:{self.ports}"
            await nursery.start(engine.run, address)
            self.deployment.register(engine.id, DRAFTS, address)
        for number in range(1, self.count + 1):
            self.instances.start(number)
        await self.instances.until_ready()
        await trio.sleep(SETTLE_S)

    async def _play(self) -> None:
        self._began = trio.current_time()
        async with trio.open_nursery() as callers:
            for kind in KINDS:
                callers.start_soon(self._come, kind, callers)

    def _now(self) -> float:
        return trio.current_time() - self._began

    async def _come(self, kind: Kind, callers: trio.Nursery) -> None:
        while (now := self._now()) < self.seconds:
            is_burst = self.seconds / 4 <= now < 3 * self.seconds / 4
            rate = kind.per_s * (kind.burst if is_burst else 1.0)
            callers.start_soon(self._call, replace(kind, own=self._length(kind.own)))
            await trio.sleep(self.draw.expovariate(rate))

    def _length(self, mean: int) -> int:
        return max(1, int(mean * min(14.0, self.draw.lognormvariate(-0.5, 1.0))))

    async def _call(self, kind: Kind) -> None:
        """Ask once; who is refused does not come back."""
        request = f"r{next(self._numbers)}"
        instance = self.draw.randint(1, self.count)
        subject = self.draw.randrange(kind.subjects)
        parts = f"{kind.tier}{subject:x}:{kind.shared},f{request[1:]}:{kind.own}"
        tokens = kind.shared + kind.own
        prompt = (f"{tokens},{kind.events}", parts)
        headers = call_headers(request, HOST, KEY, kind.deadline_s, prompt)
        at = self._now()
        begun_at, end = await self._exchange(kind, instance, headers)
        self.ends[kind.name, end] += 1
        self.attempts.append(Attempted(kind.name, kind.tier, tokens, at, begun_at))

    async def _exchange(
        self, kind: Kind, instance: int, headers: list[tuple[bytes, bytes]]
    ) -> tuple[float | None, str]:
        """Return when the first event came, or None, and how the attempt ended."""
        begun_at, connection = None, None
        path = f"/{kind.name}/x".encode()
        with trio.move_on_after(kind.patience_s) as scope:
            try:
                address = f"127.0.8.{instance}:{self.ports}"
                connection = await ClientConnection.connect(address, 1.0)
                await connection.send(b"POST", path, headers, b"")
                head = await connection.receive_head()
                if head.status != 200:
                    return None, str(head.status)
                while await connection.receive_data():
                    begun_at = begun_at or self._now()
                    scope.deadline = trio.current_time() + kind.deadline_s
                return begun_at, "whole"
            except ExchangeError as error:
                return begun_at, error.failure.value
            finally:
                if connection is not None:
                    connection.close()
        return begun_at, "left"


def main(arguments: list[str] | None = None) -> int:
    """Play seeds one after the other; return 1 if any shows an inversion."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--seconds", type=float, default=16.0)
    parser.add_argument("--instances", type=int, default=12)
    parser.add_argument("--engines", type=int, default=8)
    parser.add_argument("--ports", type=int, default=7900)
    options = parser.parse_args(arguments)
    failed = 0
    for seed in options.seeds:
        with tempfile.TemporaryDirectory(prefix="tier-soak-") as name:
            soak = TierSoak(
                seed,
                options.seconds,
                options.ports,
                Path(name),
                options.instances,
                options.engines,
            )
            trio.run(soak.run)
        found = find_inversions(soak.attempts)
        failed += bool(found)
        print(f"seed {seed}: {len(soak.attempts)} attempts, {len(found)} windows")
        for (kind, end), count in sorted(soak.ends.items()):
            print(f"  {kind} {end}: {count}")
        for each in found:
            print(f"  {each}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
