"""A pool of engines, instances and callers on one simulated clock."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from buckthornwall.peers import Work, add_work
from buckthornwall.pools import (
    CachedPrefixes,
    Fleet,
    PoolReports,
    PoolSettings,
    RankTokens,
    Unreachable,
    add_rank_tokens,
    add_unreachable,
    merge_cached_prefixes,
    subtract_pool_reports,
    subtract_rank_tokens,
    sum_pool_reports,
)
from buckthornwall.routing import PromptSegment, PromptShape
from buckthornwall.utils import ModelId, UpstreamId

from buckthornwall_standins.tiers import RequestAttempt

from .engine import Disturbance, EngineSpeed, SimEngine
from .instance import ZONE, SimInstance
from .request import SimRequest, Traffic

__all__ = ["EngineFault", "PoolSimulation"]

# Interval between exchanges of reports among instances, in seconds.
REPORT_INTERVAL_S = 0.1
# Engines to which one request is offered at most, as in the product.
MAX_ENGINES = 4
# Cap of log-normal lengths, in multiples of the mean.
MAX_LENGTH_MEANS = 14.0
# Round trip between an instance and a caller, in seconds.
CALLER_ROUND_TRIP_S = 0.002


@dataclass(frozen=True, slots=True)
class EngineFault:
    """`count` engines crash at `at` and return empty after `down_s` seconds."""

    at: float
    count: int
    down_s: float


def _sample_length(
    rng: random.Random, mean: int, half_width: float, log_sigma: float
) -> int:
    """Sample a length in tokens: log-normal, or uniform about the mean.

    `half_width` is half the width of the uniform range, relative to the mean.
    """
    if not log_sigma:
        return int(mean * rng.uniform(1 - half_width, 1 + half_width))
    factor = rng.lognormvariate(-(log_sigma**2) / 2, log_sigma)
    return max(1, int(mean * min(factor, MAX_LENGTH_MEANS)))


class _SimClock:
    def __init__(self) -> None:
        self.time = 0.0

    def now(self) -> float:
        return self.time


class PoolSimulation:
    """Instances that route traffic to one pool of engines, on a simulated clock.

    Parameters
    ----------
    speed
        Speed and capacity of each engine.
    traffic
        Traffic of the callers, one entry for each route.
    engines, instances
        Numbers of both.
    seed
        Seed of the arrivals and the lengths.
    staleness_s
        Age of peers' reports when they arrive, in seconds.
    faults
        Crashes of engines.
    relative_speeds
        Speeds of the engines relative to `speed`, given to them in turn.
    disturbance
        What slows the engines' machines down at times.
    settings
        Which of the decisions under load are used.

    Attributes
    ----------
    unreachable_offers : int
        Number of offers of requests to engines that had crashed.
    """

    def __init__(
        self,
        speed: EngineSpeed,
        traffic: list[Traffic],
        engines: int = 9,
        instances: int = 7,
        seed: int = 1,
        staleness_s: float = 0.0,
        faults: tuple[EngineFault, ...] = (),
        relative_speeds: tuple[float, ...] = (1.0,),
        disturbance: Disturbance | None = None,
        settings: PoolSettings | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = _SimClock()
        self.speed = speed
        self.traffic = traffic
        self.staleness_s = staleness_s
        self.faults = faults
        self.disturbance = disturbance
        self._relative_speeds = itertools.cycle(relative_speeds)
        self._names = (UpstreamId(f"e{number}") for number in itertools.count())
        self.engines: dict[UpstreamId, SimEngine] = {}
        for _ in range(engines):
            self._add_engine()
        self.instances = [
            SimInstance(self.clock, list(self.engines.values()), traffic, settings)
            for _ in range(instances)
        ]
        members = tuple(f"i{number}" for number in range(instances))
        for address, instance in zip(members, self.instances, strict=True):
            instance.pools.prefill_owners.set_fleet(
                Fleet(address, ZONE, (ZONE,), members, instances)
            )
        self.requests: list[SimRequest] = []
        self.unreachable_offers = 0
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def _add_engine(self) -> SimEngine:
        speed = self.speed.scaled(next(self._relative_speeds))
        engine = SimEngine(next(self._names), speed, disturbance=self.disturbance)
        self.engines[engine.id] = engine
        return engine

    def run(self, seconds: float) -> list[SimRequest]:
        """Let requests arrive for some seconds; return all once they have ended."""
        for traffic in self.traffic:
            self._plan_arrivals(traffic, seconds)
        for fault in self.faults:
            self._schedule(fault.at, lambda fault=fault: self._crash(fault))
        self._schedule(REPORT_INTERVAL_S, lambda: self._exchange_reports(seconds))
        while self._events:
            self.clock.time, _, callback = heapq.heappop(self._events)
            callback()
        return self.requests

    # Results

    def share_in_time(self, name: str) -> float:
        """Return the share of a route's requests that were answered in time."""
        requests = self.requests_of(name)
        return sum(each.in_time for each in requests) / len(requests)

    def credit(self, name: str) -> float:
        """Return the mean credit of a route's requests, from 0 to 1."""
        requests = self.requests_of(name)
        return sum(each.credit for each in requests) / len(requests)

    def attempts(self) -> Iterable[RequestAttempt]:
        """Yield every attempt: refused ones, and each request's last if not refused."""
        for each in self.requests:
            name, tier = each.traffic.name, each.traffic.tier
            tokens = each.prompt.prompt_tokens
            for at in each.refused_at:
                yield RequestAttempt(name, tier, tokens, at, None)
            if not each.refused:
                yield RequestAttempt(
                    name, tier, tokens, each.last_asked_at, each.first_event_at
                )

    def requests_of(self, name: str) -> list[SimRequest]:
        """Return a route's requests."""
        return [each for each in self.requests if each.traffic.name == name]

    # Events

    def _schedule(self, when: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), callback))

    def _plan_arrivals(self, traffic: Traffic, seconds: float) -> None:
        at = 0.0
        while (at := at + self.rng.expovariate(traffic.rate(at))) < seconds:
            request = self._make_request(traffic, at)
            self._schedule(at, lambda request=request: self._arrive(request))
            self.requests.append(request)

    def _make_request(self, traffic: Traffic, at: float) -> SimRequest:
        subject = self.rng.randrange(traffic.subjects)
        log_sigma, of_subject = traffic.length_log_sigma, random.Random(subject)
        shared = _sample_length(of_subject, traffic.shared_tokens, 0.6, log_sigma)
        unique = _sample_length(self.rng, traffic.unique_tokens, 0.7, log_sigma)
        answer = max(8, _sample_length(self.rng, traffic.answer_tokens, 0.8, log_sigma))
        segments = [
            PromptSegment(f"{traffic.name}{subject}", shared),
            PromptSegment(f"own{next(self._numbers)}", unique),
        ]
        if traffic.root_tokens:
            segments.insert(0, PromptSegment(traffic.name, traffic.root_tokens))
        max_tokens = 2 * traffic.answer_tokens
        tokens = sum(segment.tokens for segment in segments)
        prompt = PromptShape(ModelId("m"), tokens, max_tokens, tuple(segments))
        team = traffic.sample_team(self.rng, at)
        return SimRequest(traffic, at, prompt, answer, team=team)

    def _arrive(self, request: SimRequest) -> None:
        request.last_asked_at = self.clock.now()
        number = next(self._numbers)
        instance = self.rng.choice(self.instances)
        tried: set[UpstreamId] = set()
        while len(tried) < MAX_ENGINES:
            traits, choice = instance.decide(request, number, tried)
            if choice is None:
                break
            if not tried:
                retry_after_s = instance.overload_retry_after_s(request, traits, choice)
                if retry_after_s is not None:
                    self._refuse(request, retry_after_s)
                    return
            tried.add(choice.view.id)
            engine = self.engines[choice.view.id]
            if not engine.is_live:
                self.unreachable_offers += 1
                instance.record_unreachable(choice.view)
            elif engine.submit(request, traits.resolution.rank, number):
                instance.send(request, traits, choice, engine)
                self._wake(engine)
                return
        instance.record_not_taken()
        self._refuse(request, REPORT_INTERVAL_S)

    def _refuse(self, request: SimRequest, retry_after_s: float) -> None:
        now = self.clock.now()
        request.refused_at.append(now)
        retry_delay_s = request.retry_delay_s(retry_after_s, now)
        if retry_delay_s is None:
            request.refused = True
            return
        self._schedule(
            now + retry_delay_s + CALLER_ROUND_TRIP_S, lambda: self._arrive(request)
        )

    def _wake(self, engine: SimEngine) -> None:
        if not engine.is_stepping:
            engine.is_stepping = True
            self._step(engine)

    def _step(self, engine: SimEngine) -> None:
        if not engine.waiting and not engine.running:
            engine.is_stepping = False
            return
        duration = engine.step(self.clock.time)
        self._schedule(self.clock.time + duration, lambda: self._step(engine))

    def _crash(self, fault: EngineFault) -> None:
        live = [engine for engine in self.engines.values() if engine.is_live]
        for engine in self.rng.sample(live, fault.count):
            engine.crash(self.clock.now())
            self._schedule(
                self.clock.now() + fault.down_s,
                lambda crashed=engine: self._replace_crashed(crashed),
            )

    def _replace_crashed(self, crashed: SimEngine) -> None:
        """Start an engine under a new id in place of one that crashed."""
        engine = self._add_engine()
        for instance in self.instances:
            instance.pools.remove(crashed.id)
            instance.register(engine.id, self.speed)

    def _exchange_reports(self, seconds: float) -> None:
        """Collect the instances' reports and schedule their delivery to all."""
        now = self.clock.now()
        works = [instance.work() for instance in self.instances]
        totals: dict[UpstreamId, Work] = {}
        cached_prefixes: CachedPrefixes = {}
        lost: Unreachable = {}
        tokens = [instance.pools.rank_tokens() for instance in self.instances]
        reports = [instance.pools.reports() for instance in self.instances]
        total_tokens: RankTokens = {}
        for each in tokens:
            add_rank_tokens(total_tokens, each)
        for instance, work in zip(self.instances, works, strict=True):
            add_work(totals, work)
            merge_cached_prefixes(
                cached_prefixes, instance.pools.prefix_updates.to_send(now)
            )
            add_unreachable(lost, dict.fromkeys(instance.pools.unreachable(), 1))
        self._schedule(
            now + self.staleness_s,
            lambda: self._deliver_reports(
                totals, works, cached_prefixes, lost, total_tokens, tokens, reports
            ),
        )
        if now < seconds:
            self._schedule(
                now + REPORT_INTERVAL_S, lambda: self._exchange_reports(seconds)
            )

    def _deliver_reports(
        self,
        totals: dict[UpstreamId, Work],
        works: list[dict[UpstreamId, Work]],
        cached_prefixes: CachedPrefixes,
        lost: Unreachable,
        total_tokens: RankTokens,
        tokens: list[RankTokens],
        reports: list[PoolReports],
    ) -> None:
        total_reports = sum_pool_reports(reports)
        for instance, local, local_tokens, local_reports in zip(
            self.instances, works, tokens, reports, strict=True
        ):
            others = subtract_pool_reports(total_reports, local_reports)
            instance.pools.receive_reports(others)
            peers = subtract_rank_tokens(total_tokens, local_tokens)
            instance.pools.receive_rank_tokens(peers)
            instance.receive_work(totals, local)
            instance.pools.receive_unreachable(lost)
            instance.pools.receive_cached_prefixes(cached_prefixes)
