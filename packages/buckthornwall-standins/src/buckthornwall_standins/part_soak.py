"""Soak of prompts with a part that crashes engines, sent to real instances.

No two requests are alike: what they share is the part. Sound requests share the caller
and the other parts. The instances are separate processes; the store and the engines are
stand-ins in this process. A crashed engine is restarted under another id at the same
address. Some runs kill and restart the instances in turn; in some, all new connections
meet one instance for a while.
"""

import argparse
import sys
from dataclasses import dataclass

import trio

from .crash_soak import CrashSoak, SendLimits, SentRequest
from .crash_soak import find_violations as find_late_requests
from .soak_run import CLIENT_TIMEOUT_S, RunSettings, make_parser, run_seeds
from .users_platform.crashing_part import PartCrashingEngine
from .users_platform.deployment import API_KEY, HOST
from .users_platform.headers import make_request_headers

__all__ = ["PART_LIMITS", "PartScenario", "PartSoak", "find_violations", "main"]

PART_LIMITS = SendLimits(crash_threshold=5)
BAD_PREFIX = b"bad"
# Number of different parts at each place of sound prompts but the first.
SHARED_PARTS = 8
WORK_S = 0.12
# Number of requests from which on a share of them means something.
MIN_REQUESTS = 20
# Share of the requests that are resumable streams.
RESUMABLE_SHARE = 0.5


@dataclass(frozen=True)
class PartScenario:
    """What is sent.

    Prompts have `parts` parts, and that at `bad_place` of bad ones crashes engines.
    `bad_parts` parts do so, each sent `bad_per_s` times a second from `bad_from_s` on;
    they are answered until `sound_until_s`. `sound_per_s` sound requests are sent
    a second. Between `rush_s` and the end, one instance gets all requests, after
    `rush_switch_s` another. `crash_at_s` are times when an engine ends by itself,
    several where a time is repeated.
    """

    parts: int = 3
    bad_place: int = 1
    bad_parts: int = 1
    bad_per_s: float = 2.2
    bad_from_s: float = 5.0
    sound_until_s: float = 0.0
    sound_per_s: float = 40.0
    rush_s: float = float("inf")
    rush_switch_s: float = float("inf")
    crash_at_s: tuple[float, ...] = ()


@dataclass
class SoundRequest:
    """A sound request, and whether its answer began at the first attempt."""

    sent_at: float
    instance: int
    began: bool = False


class PartSoak(CrashSoak):
    """One run; see `CrashSoak` for the other parameters.

    Parameters
    ----------
    scenario
        What is sent.
    """

    def __init__(
        self, settings: RunSettings, engines: int, scenario: PartScenario
    ) -> None:
        super().__init__(settings, engines)
        self.scenario = scenario
        self.started_at = 0.0
        self.sound: list[SoundRequest] = []
        self.live_engines: list[PartCrashingEngine] = []

    @property
    def elapsed_s(self) -> float:
        """Seconds since the load began."""
        return trio.current_time() - self.started_at

    def make_engine(self) -> PartCrashingEngine:
        """Return a new incarnation of an engine."""
        engine = PartCrashingEngine(
            f"e{next(self.numbers)}",
            work_s=WORK_S,
            event_s=0.03,
            on_arrival=self.record_arrival,
            find_bad_part=self._find_bad_part,
            rng=self.rng,
        )
        self.live_engines = [e for e in self.live_engines if not e.crashed.is_set()]
        self.live_engines.append(engine)
        return engine

    def _find_bad_part(self, parts: list[bytes]) -> bytes:
        if self.elapsed_s < self.scenario.sound_until_s:
            return b""
        return next((part for part in parts if part.startswith(BAD_PREFIX)), b"")

    async def generate_load(self, callers: trio.Nursery) -> None:
        """Generate sound and bad requests, and ends of engines."""
        self.started_at = trio.current_time()
        callers.start_soon(self._send_sound, callers)
        for number in range(self.scenario.bad_parts):
            callers.start_soon(self._send_bad, BAD_PREFIX + b"%d" % number, callers)
        for at_s in self.scenario.crash_at_s:
            callers.start_soon(self._crash_engine, at_s)

    async def _crash_engine(self, at_s: float) -> None:
        await trio.sleep(at_s)
        live = [each for each in self.live_engines if not each.crashed.is_set()]
        if live:
            self.rng.choice(live).crashed.set()

    async def _send_sound(self, callers: trio.Nursery) -> None:
        while True:
            callers.start_soon(self._call_sound)
            await trio.sleep(self.rng.expovariate(self.scenario.sound_per_s))

    async def _send_bad(self, part: bytes, callers: trio.Nursery) -> None:
        await trio.sleep(self.scenario.bad_from_s)
        interval_s = 1 / self.scenario.bad_per_s
        while True:
            callers.start_soon(self._call_bad, part)
            await trio.sleep(interval_s * self.rng.uniform(0.67, 1.33))

    def _make_parts(self, bad_part: bytes = b"") -> list[bytes]:
        places = range(self.scenario.parts - 1)
        parts = [b"c0"]
        for place in places[1:]:
            parts.append(b"c%d-%d" % (place, self.rng.randrange(SHARED_PARTS)))
        if bad_part:
            parts[self.scenario.bad_place] = bad_part
        return parts

    async def _call_sound(self) -> None:
        number = self.pick_instance()
        request = SoundRequest(trio.current_time(), number)
        self.sound.append(request)

        def note_head(status: int) -> None:
            request.began = status == 200

        request_id = f"r{next(self.numbers)}"
        await self._send(request_id, number, self._make_parts(), b"", note_head)

    async def _call_bad(self, part: bytes) -> None:
        request_id = f"r{next(self.numbers)}"
        number = self.pick_instance()
        await self._send(request_id, number, self._make_parts(part), part)

    async def _send(
        self, request_id, number, parts, cause, on_head=lambda status: None
    ) -> None:
        sent_at = trio.current_time()
        is_bad = cause and self.elapsed_s >= self.scenario.sound_until_s
        self.requests[request_id] = SentRequest(
            cause if is_bad else b"", number, sent_at
        )
        path = "draft" if self.rng.random() < RESUMABLE_SHARE else "once"
        segments = [f"{part.decode()}:300" for part in parts]
        prompt = ("900,10", ",".join([*segments, f"{request_id}:100"]))
        body = request_id.encode()
        headers = make_request_headers(
            request_id, HOST, API_KEY, CLIENT_TIMEOUT_S, prompt, body
        )
        status = await self.exchange(number, path, headers, body, on_head)
        self.statuses["bad" if cause else "sound", status] += 1

    def pick_instance(self) -> int:
        """Return the number of the instance that a new connection meets."""
        if self.elapsed_s >= self.scenario.rush_switch_s:
            return self.instance_count
        if self.elapsed_s >= self.scenario.rush_s:
            return 1
        return super().pick_instance()

    def threshold_at(self) -> float:
        """Return the time of the fifth crash, or of the last one.

        Crashes that no part caused count only if there are no others.
        """
        caused = sorted(at for at, cause in self.crashes if cause)
        times = caused or sorted(at for at, _ in self.crashes)
        return times[: PART_LIMITS.crash_threshold][-1]

    def begun_share(self, since: float, until: float) -> float:
        """Return the share of sound requests sent in an interval that began.

        Requests to instances that were just killed or started are left out. Fewer than
        `MIN_REQUESTS` requests show nothing, and count as begun.
        """
        requests = [
            each
            for each in self.sound
            if since <= each.sent_at < until
            and not self.has_restarted(each.instance, each.sent_at, PART_LIMITS.grace_s)
        ]
        if len(requests) < MIN_REQUESTS:
            return 1.0
        return sum(each.began for each in requests) / len(requests)

    def begun_shares(self) -> tuple[float, float]:
        """Return the shares of sound requests that began before and after."""
        bad_at = self.started_at + max(
            self.scenario.bad_from_s, self.scenario.sound_until_s
        )
        before = self.begun_share(self.started_at, bad_at)
        after_from = self.threshold_at() + 2 * PART_LIMITS.grace_s
        end = self.started_at + self.seconds - CLIENT_TIMEOUT_S
        return before, self.begun_share(after_from, end)

    def describe(self) -> str:
        """Return the numbers of crashes and late arrivals, and the begun shares."""
        late = len(self.late_arrivals(PART_LIMITS))
        before, after = self.begun_shares()
        arrivals = f"{len(self.crashes)} crashes, {late} late of {len(self.arrivals)}"
        return f"{arrivals} arrivals, sound begun {before:.3f} then {after:.3f}"


def find_violations(soak: PartSoak) -> list[str]:
    """Return a line for each part sent on too often, and for sound requests lost."""
    violations = find_late_requests(soak, PART_LIMITS)
    before, after = soak.begun_shares()
    if after < before / 2:
        violations.append(f"sound requests begin {after:.3f}, before {before:.3f}")
    return violations


def main(arguments: list[str] | None = None) -> int:
    """Run seeds one after the other; return 1 if any exceeds the limits."""
    parser = make_parser(__doc__, 28.0, 9600)
    parser.add_argument("--engines", type=int, default=12)
    for name in ("parts", "bad-place", "bad-parts"):
        default = getattr(PartScenario, name.replace("-", "_"))
        parser.add_argument(f"--{name}", type=int, default=default)
    for name in ("bad-per-s", "sound-until-s", "sound-per-s", "rush-s"):
        default = getattr(PartScenario, name.replace("-", "_"))
        parser.add_argument(f"--{name}", type=float, default=default)
    parser.add_argument("--crash-at-s", type=float, nargs="*", default=())
    options = parser.parse_args(arguments)
    scenario = _scenario_of(options)

    def make_soak(settings: RunSettings) -> PartSoak:
        return PartSoak(settings, options.engines, scenario)

    return run_seeds(options, make_soak, find_violations)


def _scenario_of(options: argparse.Namespace) -> PartScenario:
    return PartScenario(
        parts=options.parts,
        bad_place=options.bad_place,
        bad_parts=options.bad_parts,
        bad_per_s=options.bad_per_s,
        sound_until_s=options.sound_until_s,
        sound_per_s=options.sound_per_s,
        rush_s=options.rush_s,
        rush_switch_s=options.rush_s + 8.0,
        crash_at_s=tuple(options.crash_at_s),
    )


if __name__ == "__main__":
    sys.exit(main())
