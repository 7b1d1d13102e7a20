"""Soak of requests that crash engines, resent to real instances.

The instances are separate processes; the store and the engines are stand-ins in this
process. A crashed engine is restarted under another id at the same address. Other
requests run at the same time, and some runs kill and restart the instances in turn.
"""

import itertools
import sys
from collections import Counter
from dataclasses import dataclass

import trio

from .soak_run import CLIENT_TIMEOUT_S, RunSettings, SoakRun, make_parser, run_seeds
from .users_platform import Upstream
from .users_platform.crashing import CRASH_MARKER, CrashingEngine
from .users_platform.deployment import API_KEY, DRAFTS, HOST, ORDERS, make_route
from .users_platform.headers import make_request_headers

__all__ = ["CrashSoak", "SendLimits", "SentRequest", "find_late_arrivals", "main"]

# Times after a crash of the removal of the registration and of the restart.
DEREGISTER_DELAY_S = 1.5
DOWNTIME_S = 2.0


@dataclass(frozen=True)
class SendLimits:
    """How often a request may still reach engines after it crashed several.

    Sends count from `grace_s` after the crash number `crash_threshold` on, and at most
    `max_arrivals` of them may reach an engine.
    """

    crash_threshold: int = 3
    grace_s: float = 3.0
    max_arrivals: int = 3


@dataclass(frozen=True)
class SentRequest:
    """A request as sent to an instance; `sent_at` in seconds.

    `cause` is what crashes engines with it, empty if nothing does.
    """

    cause: bytes
    instance: int
    sent_at: float


@dataclass(frozen=True)
class Arrival:
    """A sent request that reached an engine; `arrived_at` in seconds."""

    request: SentRequest
    arrived_at: float


def find_late_arrivals(
    arrivals: list[Arrival],
    crashes: list[tuple[float, bytes]],
    restart_events: list[tuple[float, int]],
    limits: SendLimits,
) -> list[Arrival]:
    """Return the arrivals of requests that were sent too late after crashes.

    Parameters
    ----------
    arrivals
        Requests that reached engines.
    crashes
        Times of crashes, and what caused them.
    restart_events
        Times when instances were killed or restarted, and their numbers; sends of an
        instance do not count until `grace_s` later.
    limits
        Number of crashes and grace period after which sends count.
    """
    late = []
    for cause in {cause for _, cause in crashes}:
        crash_times = sorted(at for at, by in crashes if by == cause)
        if len(crash_times) < limits.crash_threshold:
            continue
        grace_end = crash_times[limits.crash_threshold - 1] + limits.grace_s
        late += [
            each
            for each in arrivals
            if each.request.cause == cause
            and each.request.sent_at > grace_end
            and not any(
                number == each.request.instance
                and 0 <= each.request.sent_at - at <= limits.grace_s
                for at, number in restart_events
            )
        ]
    return late


class CrashSoak(SoakRun):
    """One run; see `SoakRun` for the other parameters.

    Parameters
    ----------
    engines
        Number of engines.
    crashing
        Number of different requests that crash engines.
    """

    def __init__(
        self,
        settings: RunSettings,
        engines: int,
        crashing: int = 1,
    ) -> None:
        super().__init__(settings)
        self.engines = engines
        self.crash_bodies = [CRASH_MARKER + b"-%d" % n for n in range(crashing)]
        self.requests: dict[str, SentRequest] = {}
        self.arrivals: list[Arrival] = []
        self.crashes: list[tuple[float, bytes]] = []

    def late_arrivals(self, limits: SendLimits) -> list[Arrival]:
        """Return the arrivals that count against `limits`."""
        return find_late_arrivals(
            self.arrivals, self.crashes, self.restart_events, limits
        )

    async def start_upstreams(self, nursery: trio.Nursery) -> None:
        """Publish a configuration, start upstreams and register them."""
        self.deployment.slots = 32
        self.deployment.routes = [
            make_route("once", "/once/", "stream", DRAFTS, max_attempts=1),
            make_route("draft", "/draft/", "stream", DRAFTS, resumable=True),
            make_route("look", "/look/", "idempotent", ORDERS),
        ]
        self.deployment.publish()
        for number in range(1, self.engines + 1):
            await nursery.start(self._run_engine, f"127.0.7.{number}:{self.ports}")
        address = f"127.0.7.200:{self.ports}"
        await nursery.start(Upstream("s1").run, address)
        self.deployment.register("s1", ORDERS, address)

    async def _run_engine(
        self, address: str, *, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run one engine, restarting it under a new id after each crash."""
        while True:
            engine = self.make_engine()
            async with trio.open_nursery() as nursery:
                await nursery.start(engine.run_until_crash, address)
                self.deployment.register(engine.id, DRAFTS, address)
                task_status.started()
                task_status = trio.TASK_STATUS_IGNORED
            self.crashes.append((trio.current_time(), engine.crashed_by))
            await trio.sleep(DEREGISTER_DELAY_S)
            self.store.remove(f"servers/{engine.id}")
            await trio.sleep(DOWNTIME_S - DEREGISTER_DELAY_S)

    def make_engine(self) -> CrashingEngine:
        """Return a new incarnation of an engine."""
        return CrashingEngine(
            f"e{next(self.numbers)}", event_s=0.05, on_arrival=self.record_arrival
        )

    def record_arrival(self, request_id: str) -> None:
        """Record that a request reached an engine, if it crashes engines."""
        request = self.requests[request_id]
        if request.cause:
            self.arrivals.append(Arrival(request, trio.current_time()))

    async def generate_load(self, callers: trio.Nursery) -> None:
        """Generate ordinary requests and the requests that crash engines."""
        for body in self.crash_bodies:
            callers.start_soon(self._resend, body, callers)
        for path, per_s in (("once", 10.0), ("draft", 10.0), ("look", 5.0)):
            callers.start_soon(self._call_repeatedly, path, per_s, callers)

    async def _resend(self, body: bytes, callers: trio.Nursery) -> None:
        while True:
            callers.start_soon(self._call, "once", body)
            await trio.sleep(self.rng.uniform(0.3, 0.6))

    async def _call_repeatedly(
        self, path: str, per_s: float, callers: trio.Nursery
    ) -> None:
        for number in itertools.count():
            body = b"same" if path == "look" else b"%s-%d" % (path.encode(), number)
            callers.start_soon(self._call, path, body)
            await trio.sleep(self.rng.expovariate(per_s))

    async def _call(self, path: str, body: bytes) -> None:
        request_id = f"r{next(self.numbers)}"
        number = self.rng.randint(1, self.instance_count)
        cause = body if body in self.crash_bodies else b""
        self.requests[request_id] = SentRequest(cause, number, trio.current_time())
        prompt = None if path == "look" else ("900,10", f"aa:600,{request_id[1:]}:300")
        headers = make_request_headers(
            request_id, HOST, API_KEY, CLIENT_TIMEOUT_S, prompt, body
        )
        kind = "crashing" if cause else path
        self.statuses[kind, await self.exchange(number, path, headers, body)] += 1

    def describe(self) -> str:
        """Return the numbers of crashes and of arrivals of the crashing requests."""
        return f"{len(self.crashes)} crashes, {len(self.arrivals)} arrivals"


def find_violations(soak: CrashSoak, limits: SendLimits = SendLimits()) -> list[str]:
    """Return a line for each cause of crashes that reached engines too often."""
    late_counts = Counter(each.request.cause for each in soak.late_arrivals(limits))
    return [
        f"{cause!r} reached engines {count} times after the grace period"
        for cause, count in late_counts.items()
        if count > limits.max_arrivals
    ]


def main(arguments: list[str] | None = None) -> int:
    """Run seeds one after the other; return 1 if any exceeds the limits."""
    parser = make_parser(__doc__, 20.0, 7700)
    parser.add_argument("--engines", type=int, default=9)
    parser.add_argument("--crashing", type=int, default=1)
    options = parser.parse_args(arguments)

    def make_soak(settings: RunSettings) -> CrashSoak:
        return CrashSoak(settings, options.engines, options.crashing)

    return run_seeds(options, make_soak, find_violations)


if __name__ == "__main__":
    sys.exit(main())
