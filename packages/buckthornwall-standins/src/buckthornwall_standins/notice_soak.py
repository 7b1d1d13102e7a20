"""Soak of real instances with upstreams that leave, or ask for a rest, in responses.

The instances are separate processes; the store and the upstreams are stand-ins in this
process. Upstreams state in their responses that they are leaving while they stay
registered as ready; some of them then end, and others start at their addresses. Others
shed requests for a while and ask for a rest. Some runs kill and restart the instances
in turn.
"""

import itertools
import sys
from collections.abc import Iterator
from dataclasses import dataclass

import trio

from .soak_run import RunSettings, SoakRun, make_parser, run_seeds
from .users_platform.crashable import CrashableUpstream
from .users_platform.deployment import DRAFTS, ORDERS, make_route

__all__ = ["NoticeBounds", "NoticeSoak", "find_violations", "main"]

SHED_INTERVAL_S = 1.5
SHED_S = 2.5
MIN_REST_S = 2.5
MAX_REST_S = 4.0
# In one of this many cases a whole pool sheds requests at once.
POOL_SHEDS_EVERY = 4
LEAVE_INTERVAL_S = 4.0
# A leaving upstream serves for this long, and its address is then used by another one.
LEAVING_S = 6.0
REUSE_AFTER_S = 0.5


@dataclass(frozen=True)
class NoticeBounds:
    """Requests allowed after an instance received a notice; times in seconds."""

    drain_s: float = 2.0
    rest_grace_s: float = 0.5
    max_in_rest: int = 2


@dataclass(frozen=True)
class SentNotice:
    """A notice in a response to an instance; `rest_s` is 0 if it is leaving."""

    at: float
    instance: int
    rest_s: float


@dataclass(frozen=True)
class Arrival:
    """A request of an instance at an upstream, and when its client sent it."""

    at: float
    instance: int
    sent_at: float


class NoticeSoak(SoakRun):
    """One run; see `SoakRun` for the other parameters.

    Parameters
    ----------
    engines
        Number of engines.
    per_s
        Requests per second, over all routes.
    bounds
        What is allowed.
    """

    def __init__(
        self,
        settings: RunSettings,
        engines: int,
        per_s: float,
        bounds: NoticeBounds | None = None,
    ) -> None:
        super().__init__(settings)
        self.engine_count = engines
        self.per_s = per_s
        self.bounds = bounds or NoticeBounds()
        self.running: dict[str, CrashableUpstream] = {}
        self.pools: dict[str, str] = {}
        self.arrivals: dict[str, list[Arrival]] = {}
        self.notices: dict[str, list[SentNotice]] = {}
        self._ids = itertools.count(1)

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
        for first, count, pool in ((1, self.engine_count, DRAFTS), (200, 3, ORDERS)):
            for number in range(first, first + count):
                address = f"127.0.7.{number}:{self.ports}"
                self.pools[address] = pool
                await nursery.start(self._run_upstream, address)

    async def _run_upstream(
        self, address: str, *, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run an upstream, and another one at its address each time it ends."""
        is_first = True
        while True:
            upstream = CrashableUpstream(f"u{next(self._ids)}", event_s=0.05)
            upstream.on_arrival = self._make_arrival_record(upstream.id)
            upstream.on_notice = self._make_notice_record(upstream)
            self.running[address] = upstream
            async with trio.open_nursery() as nursery:
                await nursery.start(upstream.run_until_crash, address)
                self.deployment.register(upstream.id, self.pools[address], address)
                if is_first:
                    task_status.started()
                await upstream.crashed.wait()
            is_first = False
            self.deployment.store.remove(f"servers/{upstream.id}")
            await trio.sleep(REUSE_AFTER_S)

    def _make_arrival_record(self, upstream: str):
        arrivals = self.arrivals.setdefault(upstream, [])

        def record(request: str) -> None:
            target = self.targets[request]
            now = trio.current_time()
            arrivals.append(Arrival(now, target.instance, target.sent_at))

        return record

    def _make_notice_record(self, upstream: CrashableUpstream):
        notices = self.notices.setdefault(upstream.id, [])

        def record(request: str) -> None:
            rest_s = float(upstream.retry_after or 0.0)
            instance = self.targets[request].instance
            now = trio.current_time()
            if upstream.is_leaving:
                notices.append(SentNotice(now, instance, 0.0))
            if upstream.is_shedding and rest_s:
                notices.append(SentNotice(now, instance, rest_s))

        return record

    async def generate_load(self, callers: trio.Nursery) -> None:
        """Generate requests while upstreams shed requests and leave."""
        for path in ("once", "draft", "look"):
            has_prompt = path != "look"
            callers.start_soon(
                self.call_repeatedly, path, self.per_s / 3, callers, has_prompt
            )
        callers.start_soon(self._leave_in_turn, callers)
        for number in itertools.count(1):
            await trio.sleep(SHED_INTERVAL_S)
            callers.start_soon(self._shed, number % POOL_SHEDS_EVERY == 0)

    async def _shed(self, is_whole_pool: bool) -> None:
        """Let an upstream, or all of a pool, shed requests and ask for a rest."""
        sampled = self.rng.choice(sorted(self.running))
        chosen = [
            upstream
            for address, upstream in self.running.items()
            if address == sampled
            or (is_whole_pool and self.pools[address] == self.pools[sampled])
        ]
        rest_s = self.rng.uniform(MIN_REST_S, MAX_REST_S)
        for upstream in chosen:
            upstream.is_shedding, upstream.retry_after = True, f"{rest_s:.2f}"
        await trio.sleep(SHED_S)
        for upstream in chosen:
            upstream.is_shedding = False

    async def _leave_in_turn(self, nursery: trio.Nursery) -> None:
        while True:
            address = self.rng.choice(sorted(self.running))
            nursery.start_soon(self._leave, self.running[address])
            await trio.sleep(LEAVE_INTERVAL_S)

    async def _leave(self, upstream: CrashableUpstream) -> None:
        """Let an upstream leave, still registered as ready, and then end."""
        upstream.is_leaving = True
        await trio.sleep(LEAVING_S)
        upstream.crashed.set()

    # Checks

    def late_arrivals(self) -> Iterator[tuple[str, int, float]]:
        """Yield requests that reached an upstream that had stated that it leaves.

        With each one the instance, and the seconds between the first notice to it and
        the time at which the client sent the request.
        """
        for upstream, notices in self.notices.items():
            notified_at: dict[int, float] = {}
            for notice in notices:
                if not notice.rest_s:
                    notified_at.setdefault(notice.instance, notice.at)
            for arrival in self.arrivals[upstream]:
                first_at = notified_at.get(arrival.instance, arrival.at)
                late_s = arrival.sent_at - first_at
                if late_s > self.bounds.drain_s and not self._has_restarted_since(
                    arrival.instance, first_at, arrival.at
                ):
                    yield upstream, arrival.instance, late_s

    def arrivals_in_rest(self) -> Iterator[tuple[str, int, int]]:
        """Yield rests with too many arrivals: upstream, instance and count."""
        for upstream, notices in self.notices.items():
            for notice in notices:
                if not notice.rest_s:
                    continue
                start = notice.at + self.bounds.rest_grace_s
                count = sum(
                    start < arrival.at < notice.at + notice.rest_s
                    for arrival in self.arrivals[upstream]
                    if arrival.instance == notice.instance
                    and not self._has_restarted_since(
                        notice.instance, notice.at, arrival.at
                    )
                )
                if count > self.bounds.max_in_rest:
                    yield upstream, notice.instance, count

    def _has_restarted_since(self, instance: int, since: float, at: float) -> bool:
        return self.has_restarted(instance, at, at - since)

    def describe(self) -> str:
        """Return how many notices were sent, and how many requests arrived late."""
        notices = [notice for each in self.notices.values() for notice in each]
        rests = sum(1 for notice in notices if notice.rest_s)
        late = sum(1 for _ in self.late_arrivals())
        return f"{late} late arrivals; {rests} rests, {len(notices) - rests} leaving"


def find_violations(soak: NoticeSoak) -> list[str]:
    """Return a line for each upstream that left, and for each rest, with arrivals."""
    late: dict[tuple[str, int], list[float]] = {}
    for upstream, instance, late_s in soak.late_arrivals():
        late.setdefault((upstream, instance), []).append(late_s)
    violations = [
        f"{len(times)} requests of instance {instance} reached {upstream}, which was "
        f"leaving, up to {max(times):.1f} s after its notice"
        for (upstream, instance), times in late.items()
    ]
    for upstream, instance, count in soak.arrivals_in_rest():
        violations.append(
            f"{count} requests of instance {instance} reached {upstream} in its rest"
        )
    return violations


def main(arguments: list[str] | None = None) -> int:
    """Run seeds one after the other; return 1 if any has a violation."""
    parser = make_parser(__doc__, 24.0, 8600)
    parser.add_argument("--engines", type=int, default=9)
    parser.add_argument("--per-s", type=float, default=60.0)
    options = parser.parse_args(arguments)

    def make_soak(settings: RunSettings) -> NoticeSoak:
        return NoticeSoak(settings, options.engines, options.per_s)

    return run_seeds(options, make_soak, find_violations)


if __name__ == "__main__":
    sys.exit(main())
