"""Zones that are emptied and taken back, engines that start cold, routes of a region.

The instances are processes of their own; the store and the upstreams are stand-ins in
this process. A zone is evacuated and reopened again and again, its engines are cold
then; others are stopped and come back cold under another id. Some runs kill and start
the instances in turn. One route may be served in one region only.
"""

import itertools
import sys
from dataclasses import dataclass

import trio

from .soak_run import RunSettings, SoakRun, play_seeds, soak_parser
from .users_platform.cold import ColdEngine
from .users_platform.deployment import DRAFTS, make_route

__all__ = ["Bounds", "ZoneSoak", "main"]

ZONES = ("zone-0", "zone-1")
EVACUATED = ZONES[0]
# A route that only the region of the zone that is emptied may serve.
BOUND, REGION = "bound", "east"
EVACUATED_S = 5.0
REOPENED_S = 4.0
BEATS_S = 0.5


@dataclass(frozen=True)
class Bounds:
    """What is allowed at emptied zones and at cold engines."""

    evacuate_s: float = 3.0
    restart_s: float = 4.0
    cold_s: float = 3.0
    cold_per_s: float = 9.7
    share: float = 1.5
    besides: float = 5.0

    @property
    def most_cold(self) -> float:
        """Return the requests that may reach a cold engine in a second."""
        return self.share * self.cold_per_s + self.besides


class ZoneSoak(SoakRun):
    """One run; see `SoakRun` for what is not named here.

    Parameters
    ----------
    engines
        How many there are in each zone.
    bounds
        What is allowed.

    Attributes
    ----------
    strays : int
        Requests that reached an engine outside of their route's regions.
    late : list of tuple
        Requests that reached an emptied zone too late: how late in seconds, and from
        which instance.
    most_cold : int
        The most requests that reached a cold engine within a second.
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
        self.late: list[tuple[float, int]] = []
        self.strays = 0
        self.ended: list[ColdEngine] = []
        self.running: dict[str, ColdEngine] = {}
        self.evacuated_at: float | None = None
        self._ids = itertools.count(1)

    @property
    def most_cold(self) -> int:
        """Return the most requests that reached a cold engine within a second."""
        engines = [*self.ended, *self.running.values()]
        return max(engine.peak_cold_per_s for engine in engines)

    async def start_upstreams(self, nursery: trio.Nursery) -> None:
        """Publish a configuration, start engines and register them."""
        self.deployment.slots = 32
        self.deployment.cold_s = self.bounds.cold_s
        self.deployment.cold_per_s = self.bounds.cold_per_s
        self.deployment.routes = [
            make_route("once", "/once/", "stream", DRAFTS, max_attempts=1),
            make_route(
                "draft", "/draft/", "stream", DRAFTS, resumable=True, priority=0
            ),
            make_route(
                BOUND,
                f"/{BOUND}/",
                "stream",
                DRAFTS,
                resumable=True,
                allowed_regions=[REGION],
            ),
        ]
        self.deployment.publish()
        for zone in ZONES:
            for address in self._addresses(zone):
                await nursery.start(self._keep_engine, address, zone)

    def _addresses(self, zone: str) -> list[str]:
        """Return the addresses of a zone's engines."""
        first = 100 * ZONES.index(zone) + 1
        numbers = range(first, first + self.engines)
        return [f"127.0.7.{number}:{self.ports}" for number in numbers]

    async def _keep_engine(
        self, address: str, zone: str, *, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run incarnations of one engine, each under an id of its own."""
        is_first = True
        while True:
            engine = ColdEngine(f"e{next(self._ids)}", event_s=0.03)
            engine.max_per_s = 2 * self.bounds.most_cold
            engine.on_arrival = self._make_check(zone)
            if not is_first:
                engine.start_cold(self.bounds.cold_s)
            self.running[address] = engine
            async with trio.open_nursery() as nursery:
                await nursery.start(engine.run_until_crash, address)
                nursery.start_soon(self._beat, engine, address, zone, nursery)
                if is_first:
                    task_status.started()
            is_first = False
            self.ended.append(engine)
            self.deployment.store.remove(f"servers/{engine.id}")
            await trio.sleep(1.0)

    async def _beat(
        self, engine: ColdEngine, address: str, zone: str, nursery: trio.Nursery
    ) -> None:
        """Register an engine again and again, until it ends."""
        while not engine.crashed.is_set():
            cold_s = max(0.0, engine.cold_until - trio.current_time())
            self.deployment.register(
                engine.id, DRAFTS, address, zone=zone, cold_s=cold_s
            )
            with trio.move_on_after(BEATS_S):
                await engine.crashed.wait()
        nursery.cancel_scope.cancel()

    def _make_check(self, zone: str):
        def check(request: str) -> None:
            asked = self.asked[request]
            self.strays += asked.path == BOUND and zone != EVACUATED
            if zone != EVACUATED or self.evacuated_at is None:
                return
            now, instance = trio.current_time(), asked.instance
            late_s = now - self.evacuated_at - self.bounds.evacuate_s
            if late_s > 0 and not self.has_restarted(
                instance, now, self.bounds.restart_s
            ):
                self.late.append((late_s, instance))

        return check

    async def play(self, callers: trio.Nursery) -> None:
        """Let callers come, and zones and engines go and come back."""
        for path in ("once", "draft", BOUND):
            callers.start_soon(self.come, path, self.per_s / 3, callers)
        callers.start_soon(self._stop_engines)
        while True:
            await trio.sleep(REOPENED_S)
            self.deployment.evacuate(EVACUATED)
            self.evacuated_at = trio.current_time()
            await trio.sleep(EVACUATED_S)
            self.evacuated_at = None
            self.deployment.reopen(EVACUATED)
            for address in self._addresses(EVACUATED):
                self.running[address].start_cold(self.bounds.cold_s)

    async def _stop_engines(self) -> None:
        """Stop one engine after the other; each comes back cold."""
        while True:
            await trio.sleep(2.5)
            address = self.draw.choice(sorted(self.running))
            self.running[address].crashed.set()

    def describe(self) -> str:
        """Return the most requests that reached a cold engine in a second."""
        return f"{self.most_cold} of {self.bounds.most_cold:g} at a cold engine"


def find_faults(soak: ZoneSoak) -> list[str]:
    """Return what reached an emptied zone late, and a cold engine too many times."""
    faults = [f"{late_s:.1f} s late from {number}" for late_s, number in soak.late]
    if soak.strays:
        faults.append(f"{soak.strays} left the region of their route")
    if soak.most_cold > soak.bounds.most_cold:
        faults.append(f"a cold engine got {soak.most_cold} in a second")
    return faults


def main(arguments: list[str] | None = None) -> int:
    """Play seeds one after the other; return 1 if any is over what is allowed."""
    parser = soak_parser(__doc__, 30.0, 8400)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--per-s", type=float, default=60.0)
    options = parser.parse_args(arguments)

    def make_soak(settings: RunSettings) -> ZoneSoak:
        return ZoneSoak(settings, options.engines, options.per_s)

    return play_seeds(options, make_soak, find_faults)


if __name__ == "__main__":
    sys.exit(main())
