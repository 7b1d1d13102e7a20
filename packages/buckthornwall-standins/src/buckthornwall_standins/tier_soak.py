"""A load of three tiers on real instances: who gets nothing while less urgent begin.

The instances are processes of their own, as many as asked for, and share the cores of
one machine, so their loops come late; the store and the engines are stand-ins in this
process. No fault is drawn. Less urgent requests come several times as often as usual
for a while, before engines that hold nothing yet.
"""

import sys
from dataclasses import dataclass, replace

import trio
from buckthornwall.http1 import ClientConnection, ExchangeError

from .soak_run import RunSettings, SoakRun, play_seeds, soak_parser
from .tiers import RequestAttempt, find_inversions
from .users_platform import Engine
from .users_platform.deployment import API_KEY, DRAFTS, HOST, make_route
from .users_platform.headers import make_request_headers

__all__ = ["TierSoak", "main"]

ENGINE_TOKENS = 600_000
# Callers leave without an event after the longest of these: seconds, and times their
# target and their longest pause.
MIN_CLIENT_TIMEOUT_S, CLIENT_TIMEOUT_TARGETS, CLIENT_TIMEOUT_PAUSES = 2.0, 4, 8


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
    def client_timeout_s(self) -> float:
        """How long a caller waits for the first event."""
        longest = max(
            MIN_CLIENT_TIMEOUT_S,
            CLIENT_TIMEOUT_TARGETS * self.target_s,
            CLIENT_TIMEOUT_PAUSES * self.max_pause_s,
        )
        return min(longest, self.deadline_s)


KINDS = (
    Kind("review", 2, 10, 1.5, 1.0, 10.0, 13_300, 3_720, 24, 60, burst=2.9),
    Kind("reply", 1, 12, 0.6, 0.4, 5.0, 6_300, 2_890, 10, 20, burst=2.0),
    Kind("question", 0, 12, 0.3, 0.25, 10.0, 350, 1_110, 34, 60),
)


class TierSoak(SoakRun):
    """One run; callers come most in the middle half of its time.

    Parameters
    ----------
    settings
        What all soaks are told.
    engines
        How many there are.
    """

    def __init__(self, settings: RunSettings, engines: int) -> None:
        super().__init__(settings)
        self.engines = [Engine(f"e{number}") for number in range(1, engines + 1)]
        self.attempts: list[RequestAttempt] = []
        self._began = 0.0

    async def start_upstreams(self, nursery: trio.Nursery) -> None:
        """Publish a configuration, start engines and register them."""
        self.deployment.routes = [
            make_route(
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

    async def play_all(self) -> None:
        """Let callers come for their time, and wait until all have left."""
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
        request = f"r{next(self.numbers)}"
        instance = self.draw.randint(1, self.count)
        subject = self.draw.randrange(kind.subjects)
        segments = f"{kind.tier}{subject:x}:{kind.shared},f{request[1:]}:{kind.own}"
        tokens = kind.shared + kind.own
        prompt = (f"{tokens},{kind.events}", segments)
        headers = make_request_headers(request, HOST, API_KEY, kind.deadline_s, prompt)
        at = self._now()
        begun_at, end = await self._exchange(kind, instance, headers)
        self.statuses[kind.name, end] += 1
        self.attempts.append(RequestAttempt(kind.name, kind.tier, tokens, at, begun_at))

    async def _exchange(
        self, kind: Kind, instance: int, headers: list[tuple[bytes, bytes]]
    ) -> tuple[float | None, str]:
        """Return when the first event came, or None, and how the attempt ended."""
        begun_at, connection = None, None
        path = f"/{kind.name}/x".encode()
        with trio.move_on_after(kind.client_timeout_s) as scope:
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

    def describe(self) -> str:
        """Return how many attempts there were."""
        return f"{len(self.attempts)} attempts"


def find_faults(soak: TierSoak) -> list[str]:
    """Return each window in which less urgent requests began in others' place."""
    return [str(each) for each in find_inversions(soak.attempts)]


def main(arguments: list[str] | None = None) -> int:
    """Play seeds one after the other; return 1 if any shows an inversion."""
    parser = soak_parser(__doc__, 16.0, 7900, can_restart=False)
    parser.set_defaults(instances=12)
    parser.add_argument("--engines", type=int, default=8)
    options = parser.parse_args(arguments)

    def make_soak(settings: RunSettings) -> TierSoak:
        return TierSoak(settings, options.engines)

    return play_seeds(options, make_soak, find_faults)


if __name__ == "__main__":
    sys.exit(main())
