"""A pool of engines, instances and callers on one simulated clock."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from buckthornwall.peers import Work, add_work
from buckthornwall.pools import (
    CachedPrefixes,
    Unreachable,
    add_unreachable,
    merge_cached_prefixes,
)
from buckthornwall.routing import PromptSegment, PromptShape
from buckthornwall.utils import ModelId, UpstreamId

from buckthornwall_standins.tiers import RequestAttempt

from .engine import EngineSpeed, SimEngine
from .instance import SimInstance
from .request import SimRequest, Traffic

__all__ = ["EngineFault", "PoolSimulation"]

# How often instances hear of each other's work, in seconds.
TOLD_EVERY_S = 0.1
# Engines that one request is offered to at most, as in the product.
MOST_ENGINES = 4
# The longest log-normal length, in means.
MOST_TIMES_MEAN = 14.0
# The way to a caller and back, in seconds.
CALLER_S = 0.002


@dataclass(frozen=True, slots=True)
class EngineFault:
    """So many engines crash at a time, and return empty after some seconds."""

    at: float
    count: int
    down_s: float


def _length(rng: random.Random, mean: int, width: float, log_sigma: float) -> int:
    """Draw a length in tokens: log-normal, or evenly within `width` of the mean."""
    if not log_sigma:
        return int(mean * rng.uniform(1 - width, 1 + width))
    factor = rng.lognormvariate(-(log_sigma**2) / 2, log_sigma)
    return max(1, int(mean * min(factor, MOST_TIMES_MEAN)))


class _Clock:
    def __init__(self) -> None:
        self.time = 0.0

    def now(self) -> float:
        return self.time


class PoolSimulation:
    """Instances before one pool of engines, under some traffic.

    Parameters
    ----------
    speed
        How quickly the engines work.
    traffic
        What callers send.
    engines, instances
        How many of each.
    seed
        Of the arrivals and the lengths.
    staleness_s
        How old what instances hear of each other is when they hear it, in seconds.
    faults
        Engines that crash.

    Attributes
    ----------
    unreached : int
        How often a request was offered to an engine that had crashed.
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
    ) -> None:
        self.draw = random.Random(seed)
        self.clock = _Clock()
        self.speed = speed
        self.traffic = traffic
        self.staleness_s = staleness_s
        self.faults = faults
        self._names = (UpstreamId(f"e{number}") for number in itertools.count())
        self.engines: dict[UpstreamId, SimEngine] = {}
        for _ in range(engines):
            self._add_engine()
        self.instances = [
            SimInstance(self.clock, list(self.engines.values()), traffic)
            for _ in range(instances)
        ]
        for instance in self.instances:
            instance.pools.instances = float(instances)
        self.requests: list[SimRequest] = []
        self.unreached = 0
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def _add_engine(self) -> SimEngine:
        engine = SimEngine(next(self._names), self.speed)
        self.engines[engine.id] = engine
        return engine

    def run(self, seconds: float) -> list[SimRequest]:
        """Let requests come for so long, and return all when they have ended."""
        for traffic in self.traffic:
            self._plan_arrivals(traffic, seconds)
        for fault in self.faults:
            self._at(fault.at, lambda fault=fault: self._crash(fault))
        self._at(TOLD_EVERY_S, lambda: self._tell(seconds))
        while self._events:
            self.clock.time, _, act = heapq.heappop(self._events)
            act()
        return self.requests

    # What is to be seen

    def share_in_time(self, name: str) -> float:
        """Return the share of a route's requests that were answered in time."""
        own = self.of(name)
        return sum(each.in_time for each in own) / len(own)

    def credit(self, name: str) -> float:
        """Return what a route's callers got, from 0 to 1."""
        own = self.of(name)
        return sum(each.credit for each in own) / len(own)

    def attempts(self) -> Iterable[RequestAttempt]:
        """Return every attempt: refused ones, and the last of each request."""
        for each in self.requests:
            name, tier = each.traffic.name, each.traffic.tier
            tokens = each.prompt.prompt_tokens
            for at in each.refused_at:
                yield RequestAttempt(name, tier, tokens, at, None)
            if not each.refused:
                yield RequestAttempt(
                    name, tier, tokens, each.last_asked_at, each.first_event_at
                )

    def of(self, name: str) -> list[SimRequest]:
        """Return a route's requests."""
        return [each for each in self.requests if each.traffic.name == name]

    # Events

    def _at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), act))

    def _plan_arrivals(self, traffic: Traffic, seconds: float) -> None:
        at = 0.0
        while (at := at + self.draw.expovariate(traffic.rate(at))) < seconds:
            request = self._request(traffic, at)
            self._at(at, lambda request=request: self._arrive(request))
            self.requests.append(request)

    def _request(self, traffic: Traffic, at: float) -> SimRequest:
        subject = self.draw.randrange(traffic.subjects)
        log_sigma, of_subject = traffic.length_log_sigma, random.Random(subject)
        shared = _length(of_subject, traffic.shared_tokens, 0.6, log_sigma)
        own = _length(self.draw, traffic.unique_tokens, 0.7, log_sigma)
        answer = max(8, _length(self.draw, traffic.answer_tokens, 0.8, log_sigma))
        segments = [
            PromptSegment(f"{traffic.name}{subject}", shared),
            PromptSegment(f"own{next(self._numbers)}", own),
        ]
        if traffic.root_tokens:
            segments.insert(0, PromptSegment(traffic.name, traffic.root_tokens))
        most = 2 * traffic.answer_tokens
        tokens = sum(segment.tokens for segment in segments)
        prompt = PromptShape(ModelId("m"), tokens, most, tuple(segments))
        return SimRequest(traffic, at, prompt, answer)

    def _arrive(self, request: SimRequest) -> None:
        request.last_asked_at = self.clock.now()
        number = next(self._numbers)
        instance = self.draw.choice(self.instances)
        tried: set[UpstreamId] = set()
        while len(tried) < MOST_ENGINES:
            traits, choice = instance.decide(request, number, tried)
            if choice is None:
                break
            if not tried:
                after_s = instance.refused_for_s(traits, choice)
                if after_s is not None:
                    self._refuse(request, after_s)
                    return
            tried.add(choice.view.id)
            engine = self.engines[choice.view.id]
            if not engine.is_live:
                self.unreached += 1
                instance.note_unreachable(choice.view)
            elif engine.submit(request, traits.resolution.rank, number):
                instance.send(request, traits, choice, engine)
                self._wake(engine)
                return
        self._refuse(request, TOLD_EVERY_S)

    def _refuse(self, request: SimRequest, after_s: float) -> None:
        now = self.clock.now()
        request.refused_at.append(now)
        retry_delay_s = request.retry_delay_s(after_s, now)
        if retry_delay_s is None:
            request.refused = True
            return
        self._at(now + retry_delay_s + CALLER_S, lambda: self._arrive(request))

    def _wake(self, engine: SimEngine) -> None:
        if not engine.is_stepping:
            engine.is_stepping = True
            self._step(engine)

    def _step(self, engine: SimEngine) -> None:
        if not engine.waiting and not engine.running:
            engine.is_stepping = False
            return
        duration = engine.step(self.clock.time)
        self._at(self.clock.time + duration, lambda: self._step(engine))

    def _crash(self, fault: EngineFault) -> None:
        live = [engine for engine in self.engines.values() if engine.is_live]
        for engine in self.draw.sample(live, fault.count):
            engine.crash(self.clock.now())
            self._at(self.clock.now() + fault.down_s, lambda e=engine: self._return(e))

    def _return(self, gone: SimEngine) -> None:
        """Let an engine start under a new id in the place of one that is gone."""
        engine = self._add_engine()
        for instance in self.instances:
            instance.pools.remove(gone.id)
            instance.register(engine.id, self.speed)

    def _tell(self, seconds: float) -> None:
        """Let each instance know of the others' work and of the segments sent."""
        now = self.clock.now()
        works = [instance.work() for instance in self.instances]
        totals: dict[UpstreamId, Work] = {}
        cached_prefixes: CachedPrefixes = {}
        lost: Unreachable = {}
        for instance, work in zip(self.instances, works, strict=True):
            add_work(totals, work)
            merge_cached_prefixes(
                cached_prefixes, instance.pools.prefix_updates.to_send(now)
            )
            add_unreachable(lost, dict.fromkeys(instance.pools.unreachable(), 1))
        self._at(
            now + self.staleness_s,
            lambda: self._hear(totals, works, cached_prefixes, lost),
        )
        if now < seconds:
            self._at(now + TOLD_EVERY_S, lambda: self._tell(seconds))

    def _hear(
        self,
        totals: dict[UpstreamId, Work],
        works: list[dict[UpstreamId, Work]],
        cached_prefixes: CachedPrefixes,
        lost: Unreachable,
    ) -> None:
        for instance, own in zip(self.instances, works, strict=True):
            instance.receive_work(totals, own)
            instance.pools.receive_unreachable(lost)
            instance.pools.receive_cached_prefixes(cached_prefixes)
