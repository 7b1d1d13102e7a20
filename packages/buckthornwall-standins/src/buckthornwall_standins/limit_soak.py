"""Soak of real instances with upstreams that limit their requests per second.

The instances are separate processes; the store and the upstreams are stand-ins in this
process. Some upstreams announce a rate limit a while after the start. Some runs kill
and restart the instances in turn.
"""

import sys
from dataclasses import dataclass

import trio

from .soak_run import RunSettings, SoakRun, make_parser, run_seeds
from .users_platform import Upstream
from .users_platform.deployment import DRAFTS, ORDERS, make_route

__all__ = ["RateAllowance", "LimitSoak", "main", "max_in_window"]

# Time from the first request until limits are announced.
LIMIT_DELAY_S = 3.0


@dataclass(frozen=True)
class RateAllowance:
    """Number of requests allowed at a rate-limited upstream in any window.

    Requests count from `grace_s` after the limit was announced.
    """

    grace_s: float = 3.0
    window_s: float = 4.0
    factor: float = 1.5
    extra_requests: float = 5.0

    def max_requests(self, per_s: float) -> float:
        """Return the number of requests allowed in a window."""
        return self.factor * per_s * self.window_s + self.extra_requests


def max_in_window(times: list[float], window_s: float) -> int:
    """Return the largest number of the sorted times within one window."""
    peak, first = 0, 0
    for index, at in enumerate(times):
        while at - times[first] > window_s:
            first += 1
        peak = max(peak, index - first + 1)
    return peak


class LimitSoak(SoakRun):
    """One run; see `SoakRun` for the other parameters.

    Parameters
    ----------
    engines
        Number of engines.
    limited, per_s
        Number of engines that announce a limit, and the limit.
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
        self.engines = [Upstream(f"e{n}", event_s=0.05) for n in range(engines)]
        self.services = [Upstream(f"s{n}") for n in range(3)]
        self.arrivals: dict[str, list[tuple[float, int]]] = {}
        self.limited_since = 0.0

    def peak_requests(self, allowance: RateAllowance) -> dict[str, int]:
        """Return the peak number of requests in a window at each limited upstream.

        Requests of an instance do not count for `grace_s` after its kill or restart.
        """
        peaks = {}
        for upstream in self._limited_upstreams():
            times = [
                at
                for at, instance in self.arrivals.get(upstream.id, [])
                if at > self.limited_since + allowance.grace_s
                and not self.has_restarted(instance, at, allowance.grace_s)
            ]
            peaks[upstream.id] = max_in_window(times, allowance.window_s)
        return peaks

    def _limited_upstreams(self) -> list[Upstream]:
        return [*self.engines[: self.limited], self.services[0]]

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
        pools = ((self.engines, DRAFTS, 1), (self.services, ORDERS, 200))
        for upstreams, pool, first in pools:
            for number, upstream in enumerate(upstreams, first):
                address = f"127.0.7.{number}:{self.ports}"
                upstream.on_arrival = self._make_counter(upstream.id)
                await nursery.start(upstream.run, address)
                self.deployment.register(upstream.id, pool, address)

    def _make_counter(self, upstream: str):
        arrivals = self.arrivals.setdefault(upstream, [])

        def count(request: str) -> None:
            arrivals.append((trio.current_time(), self.targets[request].instance))

        return count

    async def generate_load(self, callers: trio.Nursery) -> None:
        """Generate requests, and make upstreams announce their limits later."""
        for path, per_s in (("once", 15.0), ("draft", 10.0), ("look", 15.0)):
            callers.start_soon(
                self.call_repeatedly, path, per_s, callers, path != "look"
            )
        await trio.sleep(LIMIT_DELAY_S)
        self.limited_since = trio.current_time()
        for upstream in self._limited_upstreams():
            upstream.rate_limit = f"{self.per_s:g}"

    def describe(self) -> str:
        """Return the peak numbers of requests and the allowed number."""
        allowance = RateAllowance()
        return (
            f"{self.peak_requests(allowance)} of {allowance.max_requests(self.per_s)}"
        )


def find_violations(soak: LimitSoak) -> list[str]:
    """Return a line for each upstream that received more than is allowed."""
    allowance = RateAllowance()
    allowed = allowance.max_requests(soak.per_s)
    peaks = soak.peak_requests(allowance)
    return [
        f"{name} received {count}" for name, count in peaks.items() if count > allowed
    ]


def main(arguments: list[str] | None = None) -> int:
    """Run seeds one after the other; return 1 if any exceeds the allowance."""
    parser = make_parser(__doc__, 20.0, 8000)
    parser.add_argument("--engines", type=int, default=9)
    parser.add_argument("--limited", type=int, default=3)
    parser.add_argument("--per-s", type=float, default=1.0)
    options = parser.parse_args(arguments)

    def make_soak(settings: RunSettings) -> LimitSoak:
        return LimitSoak(settings, options.engines, options.limited, options.per_s)

    return run_seeds(options, make_soak, find_violations)


if __name__ == "__main__":
    sys.exit(main())
