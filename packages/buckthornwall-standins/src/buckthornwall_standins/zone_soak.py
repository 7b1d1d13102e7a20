"""Soak of evacuated and reopened zones, cold engines, and routes bound to a region.

The instances are separate processes; the store and the upstreams are stand-ins in this
process. A zone is evacuated and reopened repeatedly, and its engines are cold when it
reopens; other engines are stopped and restart cold under another id. Some runs kill
and restart the instances in turn. One route may be served in one region only.
"""

import itertools
import sys
from dataclasses import dataclass

import trio

from .soak_run import RunSettings, SoakRun, make_parser, run_seeds
from .users_platform.cold import ColdEngine
from .users_platform.deployment import DRAFTS, make_route

__all__ = ["Bounds", "ZoneSoak", "main"]

ZONES = ("zone-0", "zone-1")
EVACUATED_ZONE = ZONES[0]
# A route that only the region of the evacuated zone may serve.
REGIONAL, REGION = "bound", "east"
EVACUATION_S = 5.0
OPEN_S = 4.0
HEARTBEAT_INTERVAL_S = 0.5


@dataclass(frozen=True)
class Bounds:
    """Bounds on requests at evacuated zones and at cold engines; times in seconds."""

    evacuation_grace_s: float = 3.0
    restart_grace_s: float = 4.0
    cold_start_s: float = 3.0
    cold_per_s: float = 9.7
    factor: float = 1.5
    extra_requests: float = 5.0

    @property
    def max_cold_per_s(self) -> float:
        """Return the number of requests allowed at a cold engine in a second."""
        return self.factor * self.cold_per_s + self.extra_requests


class ZoneSoak(SoakRun):
    """One run; see `SoakRun` for the other parameters.

    Parameters
    ----------
    engines
        Number of engines in each zone.
    per_s
        Requests per second, over all routes.
    bounds
        What is allowed.

    Attributes
    ----------
    region_violations : int
        Number of requests that reached an engine outside their route's regions.
    late_arrivals : list of tuple
        Requests that still reached the evacuated zone after the grace period: by how
        many seconds, and from which instance.
    peak_cold_per_s : int
        Peak number of requests that reached a cold engine within a second.
    """

    def __init__(
        self,
        settings: RunSettings,
        engines: int,
        per_s: float,
        bounds: Bounds | None = None,
    ) -> None:
        super().__init__(settings)
        self.engines = engines
        self.per_s = per_s
        self.bounds = bounds or Bounds()
        self.late_arrivals: list[tuple[float, int]] = []
        self.region_violations = 0
        self.stopped_engines: list[ColdEngine] = []
        self.running_engines: dict[str, ColdEngine] = {}
        self.evacuated_at: float | None = None
        self._ids = itertools.count(1)

    @property
    def peak_cold_per_s(self) -> int:
        """Return the peak number of requests at a cold engine within a second."""
        engines = [*self.stopped_engines, *self.running_engines.values()]
        return max(engine.peak_cold_per_s for engine in engines)

    async def start_upstreams(self, nursery: trio.Nursery) -> None:
        """Publish a configuration, start engines and register them."""
        self.deployment.slots = 32
        self.deployment.cold_start_s = self.bounds.cold_start_s
        self.deployment.cold_per_s = self.bounds.cold_per_s
        self.deployment.routes = [
            make_route("once", "/once/", "stream", DRAFTS, max_attempts=1),
            make_route(
                "draft", "/draft/", "stream", DRAFTS, resumable=True, priority=0
            ),
            make_route(
                REGIONAL,
                f"/{REGIONAL}/",
                "stream",
                DRAFTS,
                resumable=True,
                allowed_regions=[REGION],
            ),
        ]
        self.deployment.publish()
        for zone in ZONES:
            for address in self._addresses(zone):
                await nursery.start(self._run_engine, address, zone)

    def _addresses(self, zone: str) -> list[str]:
        """Return the addresses of a zone's engines."""
        first = 100 * ZONES.index(zone) + 1
        numbers = range(first, first + self.engines)
        return [f"127.0.7.{number}:{self.ports}" for number in numbers]

    async def _run_engine(
        self, address: str, zone: str, *, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run one engine, restarting it cold under a new id after each stop."""
        is_first = True
        while True:
            engine = ColdEngine(f"e{next(self._ids)}", event_s=0.03)
            engine.max_per_s = 2 * self.bounds.max_cold_per_s
            engine.on_arrival = self._make_arrival_check(zone)
            if not is_first:
                engine.start_cold(self.bounds.cold_start_s)
            self.running_engines[address] = engine
            async with trio.open_nursery() as nursery:
                await nursery.start(engine.run_until_crash, address)
                nursery.start_soon(
                    self._send_heartbeats, engine, address, zone, nursery
                )
                if is_first:
                    task_status.started()
            is_first = False
            self.stopped_engines.append(engine)
            self.deployment.store.remove(f"servers/{engine.id}")
            await trio.sleep(1.0)

    async def _send_heartbeats(
        self, engine: ColdEngine, address: str, zone: str, nursery: trio.Nursery
    ) -> None:
        """Renew the registration of an engine until it ends."""
        while not engine.crashed.is_set():
            cold_remaining_s = max(0.0, engine.cold_until - trio.current_time())
            self.deployment.register(
                engine.id, DRAFTS, address, zone=zone, cold_remaining_s=cold_remaining_s
            )
            with trio.move_on_after(HEARTBEAT_INTERVAL_S):
                await engine.crashed.wait()
        nursery.cancel_scope.cancel()

    def _make_arrival_check(self, zone: str):
        def check_arrival(request: str) -> None:
            target = self.targets[request]
            self.region_violations += target.path == REGIONAL and zone != EVACUATED_ZONE
            if zone != EVACUATED_ZONE or self.evacuated_at is None:
                return
            now, instance = trio.current_time(), target.instance
            late_s = now - self.evacuated_at - self.bounds.evacuation_grace_s
            if late_s > 0 and not self.has_restarted(
                instance, now, self.bounds.restart_grace_s
            ):
                self.late_arrivals.append((late_s, instance))

        return check_arrival

    async def generate_load(self, callers: trio.Nursery) -> None:
        """Generate requests, evacuate and reopen a zone, and restart engines."""
        for path in ("once", "draft", REGIONAL):
            callers.start_soon(self.call_repeatedly, path, self.per_s / 3, callers)
        callers.start_soon(self._stop_engines)
        while True:
            await trio.sleep(OPEN_S)
            self.deployment.evacuate(EVACUATED_ZONE)
            self.evacuated_at = trio.current_time()
            await trio.sleep(EVACUATION_S)
            self.evacuated_at = None
            self.deployment.reopen(EVACUATED_ZONE)
            for address in self._addresses(EVACUATED_ZONE):
                self.running_engines[address].start_cold(self.bounds.cold_start_s)

    async def _stop_engines(self) -> None:
        """Stop one engine after the other; each restarts cold."""
        while True:
            await trio.sleep(2.5)
            address = self.rng.choice(sorted(self.running_engines))
            self.running_engines[address].crashed.set()

    def describe(self) -> str:
        """Return the peak number of requests at a cold engine and the bound."""
        return (
            f"{self.peak_cold_per_s} of {self.bounds.max_cold_per_s:g} "
            "requests in a second at a cold engine"
        )


def find_violations(soak: ZoneSoak) -> list[str]:
    """Return a line for each late arrival and each exceeded bound."""
    violations = [
        f"{late_s:.1f} s after the grace period from instance {number}"
        for late_s, number in soak.late_arrivals
    ]
    if soak.region_violations:
        violations.append(
            f"{soak.region_violations} requests left the region of their route"
        )
    if soak.peak_cold_per_s > soak.bounds.max_cold_per_s:
        violations.append(
            f"a cold engine received {soak.peak_cold_per_s} requests in a second"
        )
    return violations


def main(arguments: list[str] | None = None) -> int:
    """Run seeds one after the other; return 1 if any exceeds its bounds."""
    parser = make_parser(__doc__, 30.0, 8400)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--per-s", type=float, default=60.0)
    options = parser.parse_args(arguments)

    def make_soak(settings: RunSettings) -> ZoneSoak:
        return ZoneSoak(settings, options.engines, options.per_s)

    return run_seeds(options, make_soak, find_violations)


if __name__ == "__main__":
    sys.exit(main())
