"""Soak of real instances, some of which are partitioned from all upstreams for a while.

The instances are separate processes; the store and the upstreams are stand-ins in this
process. A seeded part of the instances loses its paths to all upstreams, and no other
paths. During the cut, one engine is silent for a while. Some runs kill and restart the
other instances in turn.
"""

import math
import random
import sys
from dataclasses import dataclass, field
from itertools import pairwise
from typing import NamedTuple

import trio
from buckthornwall.http1 import (
    ClientConnection,
    ExchangeError,
    IncomingRequest,
    ResponseWriter,
)

from .partitioned_instance import Cut, cut_path
from .soak_callers import CLIENT_TIMEOUT_S, SoakCallers
from .soak_run import PROMPT_PREFIXES, RunSettings, SoakRun, make_parser, run_seeds
from .users_platform import FaultProxy, ProxyFault, Upstream
from .users_platform.deployment import API_KEY, DRAFTS, HOST, ORDERS
from .users_platform.headers import make_request_headers

__all__ = ["IsolationSoak", "find_violations", "main"]

SHARES = ("third", "most", "zone")
CUTS = (Cut.HANG, Cut.RESET, Cut.REFUSE)
ENGINES, SERVICES = 9, 3
CALLS_PER_S = 47.0
# Calls whose clients leave at the first byte of a stream.
LEAVERS_PER_S = 3.0
# Time before the cut, and time after it in which all calls end.
BEFORE_S, AFTER_S = 5.0, 4.5
EVENT_S = 0.15
SILENT_AFTER_S, SILENT_S = 5.0, 1.2
# From `STABLE_S` after the cut began, first tries at the cut instances are served at
# least `MIN_RATIO` times as often as at the others, unless no more than
# `ALLOWED_FAILURES` and `ALLOWED_SHARE` of all fail there. The others are served at
# least `MIN_OTHERS` times as often as before.
STABLE_S = 3.0
MIN_RATIO, MIN_OTHERS = 2 / 3, 0.9
ALLOWED_FAILURES, ALLOWED_SHARE = 10, 1 / 50
# Of the runs whose clients left, how many go on for longer, and how many begin later.
LEFT_RUN_S = 0.5
MAX_RAN_ON_SHARE, MAX_LATE_ARRIVALS = 0.25, 3
RESTART_GRACE_S = 1.0
# Any of these in a log says that an upstream crashed; none does in this soak.
CRASH_MARKS = (b"event=request_suspected", b"upstream_ended=True")


@dataclass(frozen=True)
class FirstTry:
    """A client's first attempt, sent at `sent_at` seconds."""

    instance: int
    sent_at: float
    served: bool


class Tally(NamedTuple):
    """How many first tries were served, of how many."""

    served: int
    tries: int

    @property
    def share(self) -> float:
        """Return the share that was served."""
        return self.served / self.tries if self.tries else 1.0


@dataclass
class RunningUpstream(Upstream):
    """An upstream that knows the requests that it is running."""

    running_requests: set[str] = field(default_factory=set)

    async def _handle(
        self, incoming: IncomingRequest, response: ResponseWriter
    ) -> None:
        headers = dict(incoming.headers)
        request = headers.get(b"x-buckthornwall-attempt-id", b"").decode()
        self.running_requests.add(request)
        try:
            await super()._handle(incoming, response)
        finally:
            self.running_requests.discard(request)


def sample_instances(rng: random.Random, count: int, share: str) -> set[int]:
    """Return the numbers of the instances to cut."""
    numbers = range(1, count + 1)
    if share == "zone":
        parity = rng.randrange(2)
        return {number for number in numbers if number % 2 == parity}
    size = count // 3 if share == "third" else count - math.ceil(count / 6)
    return set(rng.sample(numbers, size))


class IsolationSoak(SoakRun):
    """One run; see `SoakRun`; `seconds` of the settings is the duration of the cut.

    Parameters
    ----------
    share
        Part of the instances to cut, one of `SHARES`.
    cut
        How to cut their paths.
    """

    def __init__(self, settings: RunSettings, share: str, cut: Cut) -> None:
        super().__init__(settings)
        self.instances.module = "buckthornwall_standins.partitioned_instance"
        self.cut_s = settings.seconds
        self.seconds = BEFORE_S + self.cut_s + AFTER_S
        self.share, self.cut = share, cut
        self.cut_instances = sample_instances(self.rng, settings.instances, share)
        self.restarted = sorted(set(self.restarted) - self.cut_instances)
        self.callers = SoakCallers(self.rng, settings.ports, PROMPT_PREFIXES)
        self.upstreams = [
            RunningUpstream(f"e{n}", event_s=EVENT_S, slots=32) for n in range(ENGINES)
        ] + [RunningUpstream(f"s{n}", slots=32) for n in range(SERVICES)]
        self.silent_proxy: FaultProxy | None = None
        self.began_at = 0.0
        self.first_tries: list[FirstTry] = []
        self.left_at: dict[str, float] = {}
        self.left_running = 0
        self.ran_on: list[str] = []
        self.late_arrivals: list[str] = []
        self.crash_lines: list[bytes] = []

    async def run(self) -> None:
        """Run, and read the logs before they are deleted."""
        await super().run()
        for number in range(1, self.instance_count + 1):
            lines = self.instances.log_path(number).read_bytes().splitlines()
            self.crash_lines += [
                line for line in lines if any(mark in line for mark in CRASH_MARKS)
            ]

    # Setup and load

    async def start_upstreams(self, nursery: trio.Nursery) -> None:
        """Publish a configuration, start upstreams and register them."""
        self.deployment.slots = 32
        self.deployment.publish()
        for number, upstream in enumerate(self.upstreams, 1):
            upstream.on_arrival = self._note_arrival
            address = listen = f"127.0.7.{number}:{self.ports}"
            if self.silent_proxy is None:
                listen = f"127.0.6.{number}:{self.ports}"
                self.silent_proxy = FaultProxy(listen)
                await nursery.start(self.silent_proxy.run, address)
            await nursery.start(upstream.run, listen)
            pool = DRAFTS if number <= ENGINES else ORDERS
            zone = f"zone-{number % 2}"
            self.deployment.register(upstream.id, pool, address, zone=zone)

    async def generate_load(self, callers: trio.Nursery) -> None:
        """Generate requests, and cut the instances for a while."""
        callers.start_soon(self._repeat, self._call_once, CALLS_PER_S, callers)
        callers.start_soon(self._repeat, self._leave, LEAVERS_PER_S, callers)
        await trio.sleep(BEFORE_S)
        self.began_at = trio.current_time()
        self._set_cut(self.cut)
        callers.start_soon(self._silence_an_engine)
        await trio.sleep(self.cut_s)
        self._set_cut(Cut.NONE)

    def _set_cut(self, cut: Cut) -> None:
        for number in self.cut_instances:
            cut_path(self.instances.settings_path(number)).write_text(cut.value)

    async def _silence_an_engine(self) -> None:
        await trio.sleep(SILENT_AFTER_S)
        self.silent_proxy.set_fault(ProxyFault.SILENT)
        await trio.sleep(SILENT_S)
        self.silent_proxy.set_fault(ProxyFault.NONE)

    async def _repeat(self, make_call, per_s: float, callers: trio.Nursery) -> None:
        while True:
            callers.start_soon(make_call, self.rng.randint(1, self.instance_count))
            await trio.sleep(self.rng.expovariate(per_s))

    async def _call_once(self, number: int) -> None:
        sent_at = trio.current_time()
        served = await self.callers.call(number)
        self.first_tries.append(FirstTry(number, sent_at, served))

    async def _leave(self, number: int) -> None:
        """Leave at the first byte of a stream, and see which upstreams go on."""
        request = self.callers.next_request()
        prompt = ("900,10", f"{request[1:]}a:900")
        headers = make_request_headers(request, HOST, API_KEY, CLIENT_TIMEOUT_S, prompt)
        connection = None
        with trio.move_on_after(CLIENT_TIMEOUT_S):
            try:
                address = f"127.0.8.{number}:{self.ports}"
                connection = await ClientConnection.connect(address, 1.0)
                await connection.send(b"POST", b"/draft/x", headers, b"")
                await connection.receive_head()
                await connection.receive_data()
            except ExchangeError:
                return
            finally:
                if connection is not None:
                    connection.close()
        self.left_at[request] = trio.current_time()
        if self._upstreams_running(request):
            self.left_running += 1
            await trio.sleep(LEFT_RUN_S)
            self.ran_on += self._upstreams_running(request)

    def _note_arrival(self, request: str) -> None:
        left_at = self.left_at.get(request, math.inf)
        if trio.current_time() > left_at + LEFT_RUN_S:
            self.late_arrivals.append(request)

    def _upstreams_running(self, request: str) -> list[str]:
        return [
            f"{request} at {upstream.id}"
            for upstream in self.upstreams
            if request in upstream.running_requests
        ]

    # Results

    def tally(self, is_cut: bool, start: float, end: float) -> Tally:
        """Return the tally of first tries at cut or other instances in a time.

        Parameters
        ----------
        is_cut
            Whether to count at the instances that are cut, or at the others.
        start, end
            Seconds after the cut began. Instances do not count while they restart.
        """
        served = [
            each.served
            for each in self.first_tries
            if (each.instance in self.cut_instances) is is_cut
            and start <= each.sent_at - self.began_at < end
            and not self.has_restarted(each.instance, each.sent_at, RESTART_GRACE_S)
        ]
        return Tally(sum(served), len(served))

    def describe(self) -> str:
        """Return the case, and how often first tries were served during the cut."""
        times = (-BEFORE_S, 0.0, STABLE_S, self.cut_s, math.inf)
        served = {
            name: " ".join(
                "{}/{}".format(*self.tally(is_cut, start, end))
                for start, end in pairwise(times)
            )
            for name, is_cut in (("cut", True), ("others", False))
        }
        return (
            f"{self.share} {self.cut.value} cuts {sorted(self.cut_instances)} of "
            f"{self.instance_count}; served before, early, during, after: {served}; "
            f"{len(self.left_at)} clients left, {self.left_running} of them a run, "
            f"{len(self.ran_on)} ran on, {len(self.late_arrivals)} arrived later"
        )


def find_service_violations(soak: IsolationSoak) -> list[str]:
    """Return a line for each bound on served first tries that is not kept."""
    cut = soak.tally(True, STABLE_S, soak.cut_s)
    others = soak.tally(False, STABLE_S, soak.cut_s)
    before = soak.tally(False, -BEFORE_S, 0)
    allowed = ALLOWED_FAILURES + ALLOWED_SHARE * (cut.tries + others.tries)
    lines = []
    if cut.share < MIN_RATIO * others.share and cut.tries - cut.served > allowed:
        lines.append(f"cut instances served {tuple(cut)}, others {tuple(others)}")
    if others.share < MIN_OTHERS * before.share:
        lines.append(f"others served {tuple(others)}, {tuple(before)} before")
    return lines


def find_violations(soak: IsolationSoak) -> list[str]:
    """Return a line for each violation in a run."""
    soak.callers.check_runs(soak.upstreams)
    lines = find_service_violations(soak)
    lines += soak.callers.result.violations
    if len(soak.ran_on) > MAX_RAN_ON_SHARE * soak.left_running:
        lines.append(f"ran on after clients left: {soak.ran_on[:10]}")
    if len(soak.late_arrivals) > MAX_LATE_ARRIVALS:
        lines.append(f"arrived after clients left: {soak.late_arrivals[:10]}")
    if soak.crash_lines:
        count, first = len(soak.crash_lines), soak.crash_lines[0]
        lines.append(f"{count} lines on crashes, first: {first!r}")
    return lines


def main(arguments: list[str] | None = None) -> int:
    """Run seeds one after the other; return 1 if any violates a bound."""
    parser = make_parser(__doc__, 12.0, 9100)
    parser.add_argument("--share", choices=SHARES, help="sampled by default")
    parser.add_argument("--cut", choices=[cut.value for cut in CUTS], help="likewise")
    options = parser.parse_args(arguments)

    def make_soak(settings: RunSettings) -> IsolationSoak:
        share = options.share or SHARES[settings.seed % 3]
        cut = Cut(options.cut) if options.cut else CUTS[settings.seed // 3 % 3]
        return IsolationSoak(settings, share, cut)

    return run_seeds(options, make_soak, find_violations)


if __name__ == "__main__":
    sys.exit(main())
