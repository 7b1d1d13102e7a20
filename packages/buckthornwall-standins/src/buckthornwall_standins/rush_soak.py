"""Soak of rushes: most new connections meet one instance, then another.

All upstreams of a pool limit their requests per second. The instances are separate
processes; the store and the upstreams are stand-ins in this process. Some runs kill and
restart the instances in turn.
"""

import sys
from dataclasses import dataclass

import trio

from .limit_soak import LimitSoak, RateAllowance
from .limit_soak import find_violations as find_exceeded_limits
from .soak_run import CLIENT_TIMEOUT_S, RunSettings, make_parser, run_seeds

__all__ = ["RushSoak", "RushTimes", "find_violations", "main"]

# Share of the requests that still meet a sampled instance.
SPREAD_SHARE = 0.1
# Time after a rush begins or moves until its requests count.
STABLE_S = 3.0
# Requests begin at least this often, compared with the time before.
MIN_SHARE_OF_BEFORE = 0.75


@dataclass(frozen=True)
class RushTimes:
    """Seconds from the start of the load until the rush begins and moves on."""

    begins_s: float = 8.0
    moves_s: float = 16.0


class RushSoak(LimitSoak):
    """One run; see `LimitSoak` for the other parameters.

    Parameters
    ----------
    requests_per_s
        Number of requests a second.
    times
        When the rush begins and moves on.
    """

    def __init__(
        self,
        settings: RunSettings,
        engines: int,
        per_s: float,
        requests_per_s: float,
        times: RushTimes,
    ) -> None:
        super().__init__(settings, engines, engines, per_s)
        self.requests_per_s = requests_per_s
        self.times = times
        self.started_at = 0.0
        self.served: set[str] = set()

    def pick_instance(self) -> int:
        """Return the number of the instance that a new connection meets."""
        elapsed_s = trio.current_time() - self.started_at
        if elapsed_s < self.times.begins_s or self.rng.random() < SPREAD_SHARE:
            return super().pick_instance()
        return 1 if elapsed_s < self.times.moves_s else self.instance_count

    def record_status(self, request: str, status: str) -> None:
        """Record whether a request was served."""
        if status == "200":
            self.served.add(request)

    async def generate_load(self, callers: trio.Nursery) -> None:
        """Generate requests to upstreams that announce their limits at once."""
        self.started_at = self.limited_since = trio.current_time()
        for upstream in self._limited_upstreams():
            upstream.rate_limit = f"{self.per_s:g}"
        callers.start_soon(self.call_repeatedly, "draft", self.requests_per_s, callers)

    def served_share(self, since_s: float, until_s: float) -> float:
        """Return the share of the requests sent in an interval that were served.

        Requests to instances that were just killed or started are left out.
        """
        requests = [
            request
            for request, target in self.targets.items()
            if since_s <= target.sent_at - self.started_at < until_s
            and not self.has_restarted(target.instance, target.sent_at, STABLE_S)
        ]
        served = sum(request in self.served for request in requests)
        return served / max(1, len(requests))

    def served_shares(self) -> tuple[float, float, float]:
        """Return the served share before the rush, and at both of its instances."""
        begins_s, moves_s = self.times.begins_s, self.times.moves_s
        return (
            self.served_share(STABLE_S, begins_s),
            self.served_share(begins_s + STABLE_S, moves_s),
            self.served_share(moves_s + STABLE_S, self.seconds - CLIENT_TIMEOUT_S),
        )

    def describe(self) -> str:
        """Return the served shares and the peak numbers of requests."""
        shares = ", ".join(f"{share:.3f}" for share in self.served_shares())
        peaks = self.peak_requests(RateAllowance()).values()
        allowed = RateAllowance().max_requests(self.per_s)
        return f"served {shares}; peak {max(peaks)} of {allowed}"


def find_violations(soak: RushSoak) -> list[str]:
    """Return a line for each exceeded limit, and for each instance that serves less."""
    before, *during = soak.served_shares()
    return find_exceeded_limits(soak) + [
        f"{share:.3f} served in the rush, {before:.3f} before"
        for share in during
        if share < MIN_SHARE_OF_BEFORE * before
    ]


def main(arguments: list[str] | None = None) -> int:
    """Run seeds one after the other; return 1 if any violates a bound."""
    parser = make_parser(__doc__, 27.0, 9800)
    parser.add_argument("--engines", type=int, default=12)
    parser.add_argument("--per-s", type=float, default=6.0)
    parser.add_argument("--requests-per-s", type=float, default=60.0)
    options = parser.parse_args(arguments)

    def make_soak(settings: RunSettings) -> RushSoak:
        return RushSoak(
            settings,
            options.engines,
            options.per_s,
            options.requests_per_s,
            RushTimes(),
        )

    return run_seeds(options, make_soak, find_violations)


if __name__ == "__main__":
    sys.exit(main())
