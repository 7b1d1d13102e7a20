"""Upstreams that take few requests a second, before real instances.

The instances are processes of their own; the store and the upstreams are stand-ins in
this process. Some upstreams name a limit from a while after the start on. Some runs
kill and start the instances in turn.
"""

import sys
from dataclasses import dataclass

import trio

from .soak_run import RunSettings, SoakRun, play_seeds, soak_parser
from .users_platform import Upstream
from .users_platform.deployment import DRAFTS, ORDERS, make_route

__all__ = ["Allowance", "LimitSoak", "main", "most_in_window"]

# When limits are named, after the first caller.
NAMED_S = 3.0


@dataclass(frozen=True)
class Allowance:
    """What may reach an upstream that names a limit, over any window."""

    grace_s: float = 3.0
    window_s: float = 4.0
    share: float = 1.5
    besides: float = 5.0

    def requests(self, per_s: float) -> float:
        """Return how many requests are allowed in a window."""
        return self.share * per_s * self.window_s + self.besides


def most_in_window(times: list[float], window_s: float) -> int:
    """Return the most of some sorted times that lie in one window."""
    most, first = 0, 0
    for place, at in enumerate(times):
        while at - times[first] > window_s:
            first += 1
        most = max(most, place - first + 1)
    return most


class LimitSoak(SoakRun):
    """One run; see `SoakRun` for what is not named here.

    Parameters
    ----------
    engines
        How many there are.
    limited, per_s
        How many engines name a limit, and which.
    """

    def __init__(
        self,
        settings: RunSettings,
        engines: int,
        limited: int,
        per_s: float,
    ) -> None:
        super().__init__(settings)
        self.limited = limited
        self.per_s = per_s
        self.upstreams = [Upstream(f"e{n}", event_s=0.05) for n in range(engines)]
        self.services = [Upstream(f"s{n}") for n in range(3)]
        self.arrivals: dict[str, list[tuple[float, int]]] = {}
        self.named_at = 0.0

    def most(self, allowance: Allowance) -> dict[str, int]:
        """Return the most requests in a window at each upstream that names a limit.

        An instance that was killed or started does not count for `grace_s`.
        """
        found = {}
        for upstream in self._limited():
            times = [
                at
                for at, instance in self.arrivals.get(upstream.id, [])
                if at > self.named_at + allowance.grace_s
                and not self.has_restarted(instance, at, allowance.grace_s)
            ]
            found[upstream.id] = most_in_window(times, allowance.window_s)
        return found

    def _limited(self) -> list[Upstream]:
        return [*self.upstreams[: self.limited], self.services[0]]

    async def start_upstreams(self, nursery: trio.Nursery) -> None:
        """Publish a configuration, start upstreams and register them."""
        self.deployment.slots = 32
        self.deployment.routes = [
            make_route("once", "/once/", "stream", DRAFTS, max_attempts=1),
            make_route(
                "draft", "/draft/", "stream", DRAFTS, resumable=True, priority=0
            ),
            make_route("look", "/look/", "idempotent", ORDERS),
        ]
        self.deployment.publish()
        pools = ((self.upstreams, DRAFTS, 1), (self.services, ORDERS, 200))
        for upstreams, pool, first in pools:
            for number, upstream in enumerate(upstreams, first):
                address = f"127.0.7.{number}:{self.ports}"
                upstream.on_arrival = self._make_counter(upstream.id)
                await nursery.start(upstream.run, address)
                self.deployment.register(upstream.id, pool, address)

    def _make_counter(self, upstream: str):
        arrivals = self.arrivals.setdefault(upstream, [])

        def count(request: str) -> None:
            arrivals.append((trio.current_time(), self.asked[request].instance))

        return count

    async def play(self, callers: trio.Nursery) -> None:
        """Let callers come, and upstreams name their limits a while later."""
        for path, per_s in (("once", 15.0), ("draft", 10.0), ("look", 15.0)):
            callers.start_soon(self.come, path, per_s, callers, path != "look")
        await trio.sleep(NAMED_S)
        self.named_at = trio.current_time()
        for upstream in self._limited():
            upstream.rate_limit = f"{self.per_s:g}"

    def describe(self) -> str:
        """Return the most requests in a window at each limited upstream."""
        allowance = Allowance()
        return f"{self.most(allowance)} of {allowance.requests(self.per_s)}"


def find_faults(soak: LimitSoak) -> list[str]:
    """Return each upstream that got more than is allowed."""
    allowance = Allowance()
    allowed = allowance.requests(soak.per_s)
    most = soak.most(allowance)
    return [f"{name} got {count}" for name, count in most.items() if count > allowed]


def main(arguments: list[str] | None = None) -> int:
    """Play seeds one after the other; return 1 if any is over what is allowed."""
    parser = soak_parser(__doc__, 20.0, 8000)
    parser.add_argument("--engines", type=int, default=9)
    parser.add_argument("--limited", type=int, default=3)
    parser.add_argument("--per-s", type=float, default=1.0)
    options = parser.parse_args(arguments)

    def make_soak(settings: RunSettings) -> LimitSoak:
        return LimitSoak(settings, options.engines, options.limited, options.per_s)

    return play_seeds(options, make_soak, find_faults)


if __name__ == "__main__":
    sys.exit(main())
