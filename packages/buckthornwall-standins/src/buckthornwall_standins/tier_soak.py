"""Soak of real instances with three tiers of load, checked for priority inversions.

The instances are separate processes and share the cores of one machine, so their event
loops lag; the store and the engines are stand-ins in this process. No faults are
injected. For a while less urgent requests arrive several times as often as usual, at
engines whose prefix caches are still empty.
"""

import sys
from collections.abc import Iterable
from dataclasses import dataclass, replace

import trio
from buckthornwall.http1 import BodyFraming, ClientConnection, ExchangeError

from .soak_run import RunSettings, SoakRun, make_parser, run_seeds
from .tiers import RequestAttempt, find_inversions
from .users_platform import Engine
from .users_platform.deployment import API_KEY, DRAFTS, HOST, make_route
from .users_platform.headers import make_request_headers

__all__ = ["TierSoak", "main", "with_bursts"]

ENGINE_MEMORY_TOKENS = 600_000
# Callers without a first event time out after the longest of these: seconds, multiples
# of their target latency, and multiples of their longest accepted pause.
MIN_CLIENT_TIMEOUT_S, CLIENT_TIMEOUT_TARGETS, CLIENT_TIMEOUT_PAUSES = 2.0, 4, 8


@dataclass(frozen=True)
class TrafficClass:
    """Requests of one route; times in seconds, mean lengths in tokens.

    Prompts start with one of `prefixes` shared segments of `shared_tokens`. During the
    burst the rate is `per_s` times `burst_factor`.
    """

    name: str
    tier: int
    per_s: float
    target_s: float
    max_pause_s: float
    deadline_s: float
    shared_tokens: int
    unique_tokens: int
    events: int
    prefixes: int
    burst_factor: float = 1.0

    @property
    def client_timeout_s(self) -> float:
        """Return how long a caller waits for the first event, in seconds."""
        longest = max(
            MIN_CLIENT_TIMEOUT_S,
            CLIENT_TIMEOUT_TARGETS * self.target_s,
            CLIENT_TIMEOUT_PAUSES * self.max_pause_s,
        )
        return min(longest, self.deadline_s)


TRAFFIC_CLASSES = (
    TrafficClass(
        "review", 2, 10, 1.5, 1.0, 10.0, 13_300, 3_720, 24, 60, burst_factor=2.9
    ),
    TrafficClass("reply", 1, 12, 0.6, 0.4, 5.0, 6_300, 2_890, 10, 20, burst_factor=2.0),
    TrafficClass("question", 0, 12, 0.3, 0.25, 10.0, 350, 1_110, 34, 60),
)


class TierSoak(SoakRun):
    """One run, with a burst of requests in the middle half of its time.

    Parameters
    ----------
    settings
        Settings common to all soaks.
    engines
        Number of engines.
    traffic_classes
        The load, one entry for each route.
    """

    def __init__(
        self,
        settings: RunSettings,
        engines: int,
        traffic_classes: tuple[TrafficClass, ...] = TRAFFIC_CLASSES,
    ) -> None:
        super().__init__(settings)
        self.traffic_classes = traffic_classes
        self.engines = [Engine(f"e{number}") for number in range(1, engines + 1)]
        self.attempts: list[RequestAttempt] = []
        self._load_started_at = 0.0

    async def start_upstreams(self, nursery: trio.Nursery) -> None:
        """Publish a configuration, start engines and register them."""
        self.deployment.routes = [
            make_route(
                traffic.name,
                f"/{traffic.name}/",
                "stream",
                DRAFTS,
                priority=traffic.tier,
                target_latency_ms=traffic.target_s * 1000,
                gap_aim_ms=traffic.max_pause_s * 1000,
                timeout_ms=int(traffic.deadline_s * 1000),
                resumable=traffic.tier == 1,
                max_attempts=2 if traffic.tier == 1 else 1,
            )
            for traffic in self.traffic_classes
        ]
        self.deployment.slots = self.engines[0].slots
        self.deployment.memory_tokens = ENGINE_MEMORY_TOKENS
        self.deployment.publish()
        for number, engine in enumerate(self.engines, 1):
            address = f"127.0.7.{number}:{self.ports}"
            await nursery.start(engine.run, address)
            self.deployment.register(engine.id, DRAFTS, address)

    async def run_load(self) -> None:
        """Generate requests for the set time, and wait for the last of them."""
        self._load_started_at = trio.current_time()
        async with trio.open_nursery() as callers:
            for traffic in self.traffic_classes:
                callers.start_soon(self._call_repeatedly, traffic, callers)

    def _now(self) -> float:
        return trio.current_time() - self._load_started_at

    async def _call_repeatedly(
        self, traffic: TrafficClass, callers: trio.Nursery
    ) -> None:
        while (now := self._now()) < self.seconds:
            is_burst = self.seconds / 4 <= now < 3 * self.seconds / 4
            rate = traffic.per_s * (traffic.burst_factor if is_burst else 1.0)
            callers.start_soon(
                self._call,
                replace(
                    traffic,
                    unique_tokens=self._sample_length(traffic.unique_tokens),
                ),
            )
            await trio.sleep(self.rng.expovariate(rate))

    def _sample_length(self, mean: int) -> int:
        return max(1, int(mean * min(14.0, self.rng.lognormvariate(-0.5, 1.0))))

    async def _call(self, traffic: TrafficClass) -> None:
        """Make one call, without a retry if it is refused."""
        request = f"r{next(self.numbers)}"
        instance = self.rng.randint(1, self.instance_count)
        prefix = self.rng.randrange(traffic.prefixes)
        segments = (
            f"{traffic.tier}{prefix:x}:{traffic.shared_tokens},"
            f"f{request[1:]}:{traffic.unique_tokens}"
        )
        tokens = traffic.shared_tokens + traffic.unique_tokens
        prompt = (f"{tokens},{traffic.events}", segments)
        headers = make_request_headers(
            request, HOST, API_KEY, traffic.deadline_s, prompt
        )
        started_at = self._now()
        first_event_at, outcome = await self._exchange(traffic, instance, headers)
        self.statuses[traffic.name, outcome] += 1
        self.attempts.append(
            RequestAttempt(
                traffic.name,
                traffic.tier,
                tokens,
                started_at,
                first_event_at,
            )
        )

    async def _exchange(
        self,
        traffic: TrafficClass,
        instance: int,
        headers: list[tuple[bytes, bytes]],
    ) -> tuple[float | None, str]:
        """Return the time of the first event, if any, and the outcome.

        The outcome is the status, the failure, "whole" for a complete response,
        "unframed" for one that only its connection ended, or "left" on a timeout.
        """
        first_event_at, connection = None, None
        path = f"/{traffic.name}/x".encode()
        with trio.move_on_after(traffic.client_timeout_s) as scope:
            try:
                address = f"127.0.8.{instance}:{self.ports}"
                connection = await ClientConnection.connect(address, 1.0)
                await connection.send(b"POST", path, headers, b"")
                head = await connection.receive_head()
                if head.status != 200:
                    return None, str(head.status)
                while await connection.receive_data():
                    first_event_at = first_event_at or self._now()
                    scope.deadline = trio.current_time() + traffic.deadline_s
                is_framed = head.framing is not BodyFraming.CLOSE
                return first_event_at, "whole" if is_framed else "unframed"
            except ExchangeError as error:
                return first_event_at, error.failure.value
            finally:
                if connection is not None:
                    connection.close()
        return first_event_at, "left"

    def describe(self) -> str:
        """Return the number of attempts."""
        return f"{len(self.attempts)} attempts"


def with_bursts(factors: Iterable[float]) -> tuple[TrafficClass, ...]:
    """Return the usual load with other burst factors, in the order of its routes."""
    return tuple(
        replace(traffic, burst_factor=factor)
        for traffic, factor in zip(TRAFFIC_CLASSES, factors, strict=True)
    )


def find_violations(soak: TierSoak) -> list[str]:
    """Return a line for each window with a priority inversion."""
    return [str(each) for each in find_inversions(soak.attempts)]


def main(arguments: list[str] | None = None) -> int:
    """Run seeds one after the other; return 1 if any shows an inversion."""
    parser = make_parser(__doc__, 16.0, 7900, can_restart=False)
    parser.set_defaults(instances=12)
    parser.add_argument("--engines", type=int, default=8)
    parser.add_argument(
        "--bursts",
        type=float,
        nargs=len(TRAFFIC_CLASSES),
        metavar=tuple(traffic.name.upper() for traffic in TRAFFIC_CLASSES),
        default=[traffic.burst_factor for traffic in TRAFFIC_CLASSES],
        help="multiples of the usual rates during the burst",
    )
    options = parser.parse_args(arguments)
    classes = with_bursts(options.bursts)

    def make_soak(settings: RunSettings) -> TierSoak:
        return TierSoak(settings, options.engines, classes)

    return run_seeds(options, make_soak, find_violations)


if __name__ == "__main__":
    sys.exit(main())
