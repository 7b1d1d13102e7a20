"""A request that crashes engines, sent again and again to real instances.

The instances are processes of their own; the store and the engines are stand-ins in
this process. An engine that ended is started again under another id at the same
address. Other requests run beside it, and some runs kill and start the instances in
turn.
"""

import itertools
import sys
from collections import Counter
from dataclasses import dataclass

import trio

from .soak_run import CLIENT_TIMEOUT_S, RunSettings, SoakRun, play_seeds, soak_parser
from .users_platform import Upstream
from .users_platform.crashing import CRASH_MARKER, CrashingEngine
from .users_platform.deployment import API_KEY, DRAFTS, HOST, ORDERS, make_route
from .users_platform.headers import make_request_headers

__all__ = ["CrashSoak", "Limits", "Sending", "find_late", "main"]

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


class CrashSoak(SoakRun):
    """One run; see `SoakRun` for what is not named here.

    Parameters
    ----------
    engines
        How many there are.
    crashing
        How many different requests crash engines.
    """

    def __init__(
        self,
        settings: RunSettings,
        engines: int,
        crashing: int = 1,
    ) -> None:
        super().__init__(settings)
        self.engines = engines
        self.bodies = [CRASH_MARKER + b"-%d" % n for n in range(crashing)]
        self.sendings: dict[str, Sending] = {}
        self.arrivals: list[Arrival] = []
        self.ends: list[tuple[float, bytes]] = []

    def late(self, limits: Limits) -> list[Arrival]:
        """Return the arrivals that count against `limits`."""
        return find_late(self.arrivals, self.ends, self.started, limits)

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
            await nursery.start(self._keep_engine, f"127.0.7.{number}:{self.ports}")
        address = f"127.0.7.200:{self.ports}"
        await nursery.start(Upstream("s1").run, address)
        self.deployment.register("s1", ORDERS, address)

    async def _keep_engine(
        self, address: str, *, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run incarnations of one engine, each under an id of its own."""
        while True:
            engine = CrashingEngine(
                f"e{next(self.numbers)}", event_s=0.05, on_arrival=self._note_arrival
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

    async def play(self, callers: trio.Nursery) -> None:
        """Let callers come, some with a request that crashes engines."""
        for body in self.bodies:
            callers.start_soon(self._send_again, body, callers)
        for path, per_s in (("once", 10.0), ("draft", 10.0), ("look", 5.0)):
            callers.start_soon(self._come, path, per_s, callers)

    async def _send_again(self, body: bytes, callers: trio.Nursery) -> None:
        while True:
            callers.start_soon(self._call, "once", body)
            await trio.sleep(self.draw.uniform(0.3, 0.6))

    async def _come(self, path: str, per_s: float, callers: trio.Nursery) -> None:
        for number in itertools.count():
            body = b"same" if path == "look" else b"%s-%d" % (path.encode(), number)
            callers.start_soon(self._call, path, body)
            await trio.sleep(self.draw.expovariate(per_s))

    async def _call(self, path: str, body: bytes) -> None:
        request = f"r{next(self.numbers)}"
        number = self.draw.randint(1, self.count)
        self.sendings[request] = Sending(body, number, trio.current_time())
        prompt = None if path == "look" else ("900,10", f"aa:600,{request[1:]}:300")
        headers = make_request_headers(
            request, HOST, API_KEY, CLIENT_TIMEOUT_S, prompt, body
        )
        kind = "crashing" if body in self.bodies else path
        self.statuses[kind, await self.exchange(number, path, headers, body)] += 1

    def describe(self) -> str:
        """Return how many engines ended, and how often requests reached them."""
        return f"{len(self.ends)} ends, {len(self.arrivals)} arrivals"


def find_faults(soak: CrashSoak) -> list[str]:
    """Return each request that reached engines too often after it crashed some."""
    limits = Limits()
    late = Counter(each.sending.body for each in soak.late(limits))
    return [
        f"{body!r} reached engines {count} times late"
        for body, count in late.items()
        if count > limits.sends
    ]


def main(arguments: list[str] | None = None) -> int:
    """Play seeds one after the other; return 1 if any breaks the limits."""
    parser = soak_parser(__doc__, 20.0, 7700)
    parser.add_argument("--engines", type=int, default=9)
    parser.add_argument("--crashing", type=int, default=1)
    options = parser.parse_args(arguments)

    def make_soak(settings: RunSettings) -> CrashSoak:
        return CrashSoak(settings, options.engines, options.crashing)

    return play_seeds(options, make_soak, find_faults)


if __name__ == "__main__":
    sys.exit(main())
