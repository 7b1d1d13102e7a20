"""Soak of real instances whose store returns from older copies.

The instances are separate processes; the store and the upstreams are stand-ins in this
process. The operator changes the configuration and evacuates and reopens a zone, and
upstreams are drained and replaced. In between, the store is silent for a moment and
returns from a copy some seconds old. What was lost is written again in another order,
so that an acknowledged change may be lost for a while. Some runs kill and restart the
instances in turn.
"""

import itertools
import sys
from collections.abc import Iterator
from dataclasses import dataclass

import trio

from .soak_run import RunSettings, SoakRun, make_parser, run_seeds
from .users_platform import StoreFault
from .users_platform.crashable import CrashableUpstream
from .users_platform.deployment import DRAFTS, make_route
from .users_platform.store import StoreCopy

__all__ = ["RestoreBounds", "RestoreSoak", "find_violations", "main"]

ZONES = ("zone-0", "zone-1")
EVACUATED_ZONE = ZONES[0]
COPY_INTERVAL_S = 0.5
MAX_COPY_AGE_S = 3.5
MIN_AWAY_S, MAX_AWAY_S = 0.1, 1.0
RESTORE_INTERVAL_S = 5.0
# What is lost is written again within this time of the return, which is less than the
# time that instances wait for it.
REWRITE_S = 1.5
SETTLE_MS = 2200
CONFIG_INTERVAL_S = 0.9
DRAIN_INTERVAL_S = 2.0
# A drained upstream serves for this long after its registration says so.
DRAINING_S = 4.0
EVACUATED_S = 4.0
OPEN_S = 3.0
# The bounds hold from this long after a disruption of the store.
STABLE_S = 3.0


@dataclass(frozen=True)
class RestoreBounds:
    """Times in seconds after which an acknowledged change must be in force."""

    drain_s: float = 2.0
    evacuation_s: float = 3.0
    config_s: float = 2.0
    # After a kill or a start of an instance nothing counts for this long.
    restart_grace_s: float = 4.0


class RestoreSoak(SoakRun):
    """One run; see `SoakRun` for the other parameters.

    Parameters
    ----------
    engines
        Number of engines in each zone.
    per_s
        Requests per second.
    bounds
        What is allowed.

    Attributes
    ----------
    late_arrivals : list of tuple
        Requests that reached an upstream too late after a change: which change, by how
        many seconds, and from which instance.
    config_violations : list of str
        Lines on instances that went back to an older configuration, or that have not
        the newest one at the end.
    """

    def __init__(
        self,
        settings: RunSettings,
        engines: int,
        per_s: float,
        bounds: RestoreBounds | None = None,
    ) -> None:
        super().__init__(settings)
        self.engine_count = engines
        self.per_s = per_s
        self.bounds = bounds or RestoreBounds()
        self.instances.settle_ms = SETTLE_MS
        self.running: dict[str, CrashableUpstream] = {}
        self.left_at: dict[str, float] = {}
        self.evacuated_at: float | None = None
        self.late_arrivals: list[tuple[str, float, int]] = []
        self.config_violations: list[str] = []
        self.restores = 0
        self._copies: list[tuple[float, StoreCopy]] = []
        self._ids = itertools.count(1)

    async def start_upstreams(self, nursery: trio.Nursery) -> None:
        """Publish a configuration, start upstreams and register them."""
        self.deployment.slots = 32
        self.deployment.routes = [
            make_route("once", "/once/", "stream", DRAFTS, max_attempts=1),
            make_route(
                "draft", "/draft/", "stream", DRAFTS, resumable=True, priority=0
            ),
        ]
        self.deployment.publish()
        for index, zone in enumerate(ZONES):
            for number in range(1, self.engine_count + 1):
                address = f"127.0.7.{100 * index + number}:{self.ports}"
                await nursery.start(self._run_upstream, address, zone)

    async def _run_upstream(
        self, address: str, zone: str, *, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run an upstream, and another one at its address each time it ends."""
        is_first = True
        while True:
            upstream = CrashableUpstream(f"u{next(self._ids)}", event_s=0.03)
            upstream.on_arrival = self._make_arrival_check(upstream, zone)
            self.running[address] = upstream
            async with trio.open_nursery() as nursery:
                await nursery.start(upstream.run_until_crash, address)
                self.deployment.register(upstream.id, DRAFTS, address, zone=zone)
                if is_first:
                    task_status.started()
                await upstream.crashed.wait()
            is_first = False
            self.store.remove(f"servers/{upstream.id}")
            await trio.sleep(1.0)

    def _make_arrival_check(self, upstream: CrashableUpstream, zone: str):
        def check(request: str) -> None:
            target = self.targets[request]
            changes = [("drain", self.left_at.get(upstream.id), self.bounds.drain_s)]
            if zone == EVACUATED_ZONE:
                changes.append(
                    ("evacuation", self.evacuated_at, self.bounds.evacuation_s)
                )
            for change, at, bound_s in changes:
                late_s = 0.0 if at is None else target.sent_at - at - bound_s
                if late_s > 0 and not self.has_restarted(
                    target.instance, target.sent_at, self.bounds.restart_grace_s
                ):
                    self.late_arrivals.append((change, late_s, target.instance))

        return check

    # Load and changes

    async def generate_load(self, callers: trio.Nursery) -> None:
        """Generate requests and changes while the store returns from older copies."""
        for path in ("once", "draft"):
            callers.start_soon(self.call_repeatedly, path, self.per_s / 2, callers)
        callers.start_soon(self._keep_copies)
        callers.start_soon(self._change_config)
        callers.start_soon(self._evacuate_repeatedly)
        callers.start_soon(self._drain_in_turn, callers)
        while True:
            await trio.sleep(RESTORE_INTERVAL_S)
            await self._restore_store()

    async def _keep_copies(self) -> None:
        while True:
            now = trio.current_time()
            self._copies.append((now, self.store.make_copy()))
            while now - self._copies[0][0] > MAX_COPY_AGE_S:
                self._copies.pop(0)
            await trio.sleep(COPY_INTERVAL_S)

    async def _restore_store(self) -> None:
        """Let the store be silent for a moment and return from an older copy."""
        self.store.faults[""] = StoreFault.SILENT
        await trio.sleep(self.rng.uniform(MIN_AWAY_S, MAX_AWAY_S))
        _, copy = self._copies[0]
        self._copies.clear()
        lost = list(self.store.restore(copy).items())
        self.store.faults.clear()
        self.restores += 1
        self.rng.shuffle(lost)
        for key, raw in lost:
            await trio.sleep(self.rng.uniform(0.0, REWRITE_S / max(1, len(lost))))
            self._rewrite(key, raw)

    def _rewrite(self, key: str, raw: bytes | None) -> None:
        """Write an item again, unless its owner has written it since."""
        _, revision = self.store.items.get(key, (b"", 0))
        if revision <= self.store.history_start:
            self.store.rewrite(key, raw)

    async def _wait_for_store(self) -> None:
        """Wait until the store acknowledges writes."""
        while self.store.faults:
            await trio.sleep(0.01)

    async def _change_config(self) -> None:
        while True:
            await trio.sleep(CONFIG_INTERVAL_S)
            await self._wait_for_store()
            self.deployment.publish()

    async def _evacuate_repeatedly(self) -> None:
        while True:
            await trio.sleep(OPEN_S)
            await self._wait_for_store()
            self.deployment.evacuate(EVACUATED_ZONE)
            self.evacuated_at = trio.current_time()
            await trio.sleep(EVACUATED_S)
            await self._wait_for_store()
            self.evacuated_at = None
            self.deployment.reopen(EVACUATED_ZONE)

    async def _drain_in_turn(self, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(DRAIN_INTERVAL_S)
            address = self.rng.choice(sorted(self.running))
            if self.running[address].id not in self.left_at:
                nursery.start_soon(self._drain, address)

    async def _drain(self, address: str) -> None:
        """Drain an upstream by its registration, and end it later."""
        upstream = self.running[address]
        zone = ZONES[int(address.split(":")[0].rpartition(".")[2]) // 100]
        await self._wait_for_store()
        self.deployment.register(upstream.id, DRAFTS, address, "draining", zone)
        self.left_at[upstream.id] = trio.current_time()
        await trio.sleep(DRAINING_S)
        upstream.crashed.set()

    # Checks

    async def run_load(self) -> None:
        """Run the load, and check the configuration once the store is stable.

        The end of the load may cut a return of the store short.
        """
        await super().run_load()
        self.store.faults.clear()
        await trio.sleep(STABLE_S)
        number = self.deployment.publish()
        await trio.sleep(self.bounds.config_s)
        for instance in range(1, self.instance_count + 1):
            if self._is_in_grace(instance):
                continue
            in_force = await self.instances.config_number(instance)
            if in_force < number:
                self.config_violations.append(
                    f"instance {instance} has configuration {in_force}, not {number}"
                )
        self.config_violations += self._reverted_configs()

    def _is_in_grace(self, instance: int) -> bool:
        grace_s = self.bounds.restart_grace_s
        return self.has_restarted(instance, trio.current_time(), grace_s)

    def _reverted_configs(self) -> Iterator[str]:
        """Yield a line for each older configuration that an instance adopted."""
        for instance in range(1, self.instance_count + 1):
            number = 0
            for line in self.instances.log_path(instance).read_text().splitlines():
                fields = dict(
                    field.split("=", 1) for field in line.split() if "=" in field
                )
                if fields.get("event") == "starting":
                    number = 0
                if fields.get("event") == "config_adopted":
                    before, number = number, int(fields["number"])
                    if number < before:
                        yield f"instance {instance} went from {before} to {number}"

    def describe(self) -> str:
        """Return how often the store returned, and how many requests were late."""
        return f"{self.restores} returns; {len(self.late_arrivals)} late arrivals"


def find_violations(soak: RestoreSoak) -> list[str]:
    """Return a line for each kind of late arrival, and for wrong configurations."""
    late: dict[tuple[str, int], list[float]] = {}
    for change, late_s, instance in soak.late_arrivals:
        late.setdefault((change, instance), []).append(late_s)
    violations = [
        f"{len(times)} requests of instance {instance} up to {max(times):.1f} s after "
        f"the time allowed for a {change}"
        for (change, instance), times in sorted(late.items())
    ]
    return violations + soak.config_violations


def main(arguments: list[str] | None = None) -> int:
    """Run seeds one after the other; return 1 if any has a violation."""
    parser = make_parser(__doc__, 24.0, 8800)
    parser.add_argument("--engines", type=int, default=5)
    parser.add_argument("--per-s", type=float, default=60.0)
    options = parser.parse_args(arguments)

    def make_soak(settings: RunSettings) -> RestoreSoak:
        return RestoreSoak(settings, options.engines, options.per_s)

    return run_seeds(options, make_soak, find_violations)


if __name__ == "__main__":
    sys.exit(main())
