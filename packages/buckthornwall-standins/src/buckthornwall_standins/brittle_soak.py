"""Soak of real instances with brittle engines under twice the load that they can do.

The instances are separate processes; the store and the engines are stand-ins in this
process. An engine that has to reject too many requests within a second falls: it closes
its listener and connections, and returns later under another id.
"""

import sys
from collections import deque

import trio
from buckthornwall.http1 import IncomingRequest, ResponseWriter

from .soak_run import RunSettings, SoakRun, make_parser, run_seeds
from .users_platform import Upstream
from .users_platform.deployment import DRAFTS, make_route
from .users_platform.headers import make_response_headers

__all__ = ["BrittleEngine", "BrittleSoak", "find_violations", "main"]

SLOTS = 4
WORK_S = 0.5
EVENT_S = 0.02
SERVICE_S = 0.62
# Queue room before and while an engine is brittle, and when it shrinks.
USUAL_ROOM = 6
BRITTLE_ROOM = 1
SHRINK_S = 1.5
FALL_S = 2.0
CALM_S = 3.0
CALM_LOAD = 0.5
FULL_LOAD = 2.0
# Time at the end in which all requests are answered.
DRAIN_S = 3.0
BASE_FALLS = 2
FALLS_PER_ENGINE = 0.1


class BrittleEngine(Upstream):
    """An engine with few slots and little queue room.

    Attributes
    ----------
    brittle : int
        Rejections a second that it survives; 0 while it is not brittle.
    room : int
        Requests that it lets wait.
    has_fallen : trio.Event
        Set when it has rejected too many requests.
    """

    def __init__(self, engine_id: str) -> None:
        super().__init__(engine_id, work_s=WORK_S, event_s=EVENT_S, slots=SLOTS)
        self.brittle = 0
        self.room = USUAL_ROOM
        self.waiting = 0
        self.free = trio.Semaphore(SLOTS)
        self.rejected_at: deque[float] = deque()
        self.has_fallen = trio.Event()

    async def _handle(
        self, incoming: IncomingRequest, response: ResponseWriter
    ) -> None:
        headers = dict(incoming.headers)
        if headers.get(b"x-buckthornwall-expect-instance") != self.id.encode():
            await super()._handle(incoming, response)
            return
        if not self.free.value and self.waiting >= self.room:
            self._count_rejection()
            request = headers.get(b"x-buckthornwall-attempt-id", b"")
            await self._shed(request, response)
            return
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            await super()._handle(incoming, response)
        finally:
            self.free.release()

    def _count_rejection(self) -> None:
        now = trio.current_time()
        self.rejected_at.append(now)
        while now - self.rejected_at[0] > 1.0:
            self.rejected_at.popleft()
        if self.brittle and len(self.rejected_at) > self.brittle:
            self.has_fallen.set()

    def _common_headers(self, request: bytes) -> list[tuple[bytes, bytes]]:
        headers = make_response_headers(request, self.running, self.waiting, SLOTS)
        if self.brittle:
            headers.append((b"Server-Brittle", b"%d" % self.brittle))
        return headers


class BrittleSoak(SoakRun):
    """One run; see `SoakRun` for the other parameters.

    Parameters
    ----------
    settings
        Settings common to all soaks.
    engines
        Number of engines.
    brittle
        Rejections a second that an engine survives.
    full_load
        Load while the engines are brittle, as a multiple of what they can do.
    """

    def __init__(
        self, settings: RunSettings, engines: int, brittle: int, full_load: float
    ) -> None:
        super().__init__(settings)
        self.engine_count = engines
        self.brittle = brittle
        self.full_load = full_load
        self.engines: dict[int, BrittleEngine] = {}
        self.is_brittle = self.is_shrunk = False
        self.falls = 0
        self.max_lag_s = 0.0

    @property
    def allowed_falls(self) -> float:
        """Number of falls allowed in the run."""
        return BASE_FALLS + FALLS_PER_ENGINE * self.engine_count

    @property
    def served_share(self) -> float:
        """Share of the requests under full load that were served."""
        full = {s: n for (path, s), n in self.statuses.items() if path == "full"}
        return full.get("200", 0) / max(1, sum(full.values()))

    async def start_upstreams(self, nursery: trio.Nursery) -> None:
        """Publish a configuration, start engines and register them."""
        self.deployment.slots = SLOTS
        self.deployment.routes = [
            make_route(name, f"/{name}/", "stream", DRAFTS, target_latency_ms=2000)
            for name in ("calm", "full")
        ]
        self.deployment.publish()
        for number in range(1, self.engine_count + 1):
            nursery.start_soon(self._run_engine, number)

    async def _run_engine(self, number: int) -> None:
        """Run an engine, and start it again under another id after each fall."""
        address = f"127.0.7.{number}:{self.ports}"
        start = 0
        while True:
            engine = self.engines[number] = BrittleEngine(f"e{number}-{start}")
            self._apply(engine)
            async with trio.open_nursery() as nursery:
                await nursery.start(engine.run, address)
                self.deployment.register(engine.id, DRAFTS, address)
                await engine.has_fallen.wait()
                nursery.cancel_scope.cancel()
            self.falls += 1
            self.store.remove(f"servers/{engine.id}")
            await trio.sleep(FALL_S)
            start += 1

    def _apply(self, engine: BrittleEngine) -> None:
        engine.brittle = self.brittle if self.is_brittle else 0
        engine.room = BRITTLE_ROOM if self.is_shrunk else USUAL_ROOM

    def _apply_to_all(self) -> None:
        for engine in self.engines.values():
            self._apply(engine)

    async def generate_load(self, callers: trio.Nursery) -> None:
        """Generate a light load, then make the engines brittle and the load heavy."""
        await self._call_for(CALM_S, "calm", CALM_LOAD, callers)
        self.is_brittle = True
        self._apply_to_all()
        await self._call_for(SHRINK_S, "calm", CALM_LOAD, callers)
        self.is_shrunk = True
        self._apply_to_all()
        full_s = self.seconds - CALM_S - SHRINK_S - DRAIN_S
        await self._call_for(full_s, "full", self.full_load, callers)
        await trio.sleep(DRAIN_S)

    async def _call_for(
        self, seconds: float, path: str, load: float, callers: trio.Nursery
    ) -> None:
        """Make calls at random times set in advance, however late the last one was."""
        per_s = load * self.engine_count * SLOTS / SERVICE_S
        at = trio.current_time()
        until = at + seconds
        while (at := at + self.rng.expovariate(per_s)) < until:
            await trio.sleep_until(at)
            self.max_lag_s = max(self.max_lag_s, trio.current_time() - at)
            callers.start_soon(self.call, path, True)
        await trio.sleep_until(until)

    def describe(self) -> str:
        """Return the falls and the share of requests served."""
        return (
            f"{self.falls} falls of {self.allowed_falls:g} allowed,"
            f" {self.served_share:.2f} served, calls late by {self.max_lag_s:.2f} s"
        )


def find_violations(soak: BrittleSoak) -> list[str]:
    """Return a line if the engines fell more often than allowed."""
    if soak.falls <= soak.allowed_falls:
        return []
    return [f"{soak.falls} falls, {soak.allowed_falls:g} allowed"]


def main(arguments: list[str] | None = None) -> int:
    """Run seeds one after the other; return 1 if the engines fall too often."""
    parser = make_parser(__doc__, 13.5, 24000, can_restart=False)
    parser.add_argument("--engines", type=int, default=9)
    parser.add_argument("--brittle", type=int, default=3)
    parser.add_argument("--full-load", type=float, default=FULL_LOAD)
    options = parser.parse_args(arguments)

    def make_soak(settings: RunSettings) -> BrittleSoak:
        return BrittleSoak(
            settings, options.engines, options.brittle, options.full_load
        )

    return run_seeds(options, make_soak, find_violations)


if __name__ == "__main__":
    sys.exit(main())
