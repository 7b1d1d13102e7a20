"""A pool of model engines in simulated time, played against the pure decisions.

Instances decide by the product's own code, each by its own counts and by what the
others told a moment before. No socket, no process: what is left out is everything but
load.
"""

import heapq
import itertools
import random
from collections.abc import Callable

from buckthornwall.pools import (
    Choice,
    PoolTable,
    RequestTraits,
    UpstreamEntry,
    UpstreamState,
    choose_upstream,
    refused_for_s,
)
from buckthornwall.pools.load import PeerLoad
from buckthornwall.routing import (
    EngineTraits,
    Pool,
    PromptPart,
    PromptShape,
    Published,
    RoutedRequest,
    RoutingTable,
)
from buckthornwall.utils import ModelId, UpstreamId, ZoneId

from .engine_sim import POOL, EngineSpeed, SimEngine, SimRequest, Traffic

__all__ = ["PoolSimulation"]

ZONE = ZoneId("z")
# How old what instances know of each other is, in seconds.
TOLD_EVERY_S = 0.1


class _Clock:
    def __init__(self) -> None:
        self.time = 0.0

    def now(self) -> float:
        return self.time


class SimInstance:
    """One instance: its own counts, and the product's decisions."""

    def __init__(
        self, clock: _Clock, engines: list[SimEngine], traffic: list[Traffic]
    ) -> None:
        self.clock = clock
        self.pools = PoolTable(clock)
        speed = engines[0].speed
        traits = EngineTraits(speed.slots, speed.memory_tokens, speed.tokens_per_event)
        self.pool = Pool(POOL, "/", 100, traits)
        self.table = RoutingTable()
        self.table.adopt(Published(1, tuple(t.route() for t in traffic), (self.pool,)))
        for engine in engines:
            self.pools.adopt(
                UpstreamEntry(
                    engine.id,
                    POOL,
                    "10.0.0.1:80",
                    ZONE,
                    speed.slots,
                    UpstreamState.READY,
                )
            )
        self.pools.set_pool_traits([self.pool])

    def decide(self, request: SimRequest, number: int) -> tuple[RequestTraits, Choice]:
        """Return the request's traits and the engine chosen for it."""
        path = f"/{request.traffic.name}/x"
        now = self.clock.now()
        routed = RoutedRequest(
            f"r{number}", b"POST", path.encode(), "h", path, [], b"", now
        )
        routed.prompt = request.prompt
        resolution = self.table.resolve(routed)
        traits = RequestTraits.of(routed, resolution, self.pools)
        return traits, choose_upstream(self.pools, traits, set(), ZONE, now)

    def is_refused(self, traits: RequestTraits, choice: Choice) -> bool:
        """Tell whether the request is refused at once."""
        now = self.clock.now()
        return refused_for_s(self.pools, traits, choice, now) is not None

    def send(self, request: SimRequest, traits: RequestTraits, choice: Choice) -> None:
        """Count a request at its engine until it ends."""
        load, rank = choice.view.load, traits.resolution.rank
        model = self.pools.model(POOL)
        tokens_per_event = self.pool.engine.tokens_per_event
        load.requests += 1
        load.tight += traits.tight
        load.memory += request.prompt.memory_tokens
        load.add_unread(rank, choice.fresh_tokens)
        load.waits.begin(rank, request, self.clock.now())
        self.pools.note_prompt(choice.view, request.prompt)
        last_at: float | None = None
        was_idle = False

        def on_event(now: float, done: bool) -> None:
            nonlocal last_at, was_idle
            if last_at is None:
                load.add_unread(rank, -choice.fresh_tokens)
                load.waits.end(rank, request, is_served=True)
                if choice.is_first and not choice.copy_from:
                    model.note_first(choice.fresh_tokens, now - request.at)
            is_idle = not load.unread_all()
            if last_at is not None and not done:
                gap_s = now - last_at
                model.note_gap(
                    gap_s, tokens_per_event, is_idle and was_idle, traits.tight
                )
            last_at, was_idle = now, is_idle
            if done:
                load.requests -= 1
                load.tight -= traits.tight
                load.memory -= request.prompt.memory_tokens

        request.on_event = on_event


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
    """

    def __init__(
        self,
        speed: EngineSpeed,
        traffic: list[Traffic],
        engines: int = 9,
        instances: int = 7,
        seed: int = 1,
    ) -> None:
        self.draw = random.Random(seed)
        self.clock = _Clock()
        self.traffic = traffic
        self.engines = {
            UpstreamId(f"e{n}"): SimEngine(UpstreamId(f"e{n}"), speed)
            for n in range(engines)
        }
        self.instances = [
            SimInstance(self.clock, list(self.engines.values()), traffic)
            for _ in range(instances)
        ]
        self.requests: list[SimRequest] = []
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def run(self, seconds: float) -> list[SimRequest]:
        """Let requests come for so long, and return all when they have ended."""
        for traffic in self.traffic:
            self._plan_arrivals(traffic, seconds)
        self._at(TOLD_EVERY_S, lambda: self._tell(seconds))
        while self._events:
            self.clock.time, _, act = heapq.heappop(self._events)
            act()
        return self.requests

    def share_in_time(self, name: str) -> float:
        """Return the share of a route's requests that were answered in time."""
        own = [each for each in self.requests if each.traffic.name == name]
        return sum(each.in_time for each in own) / len(own)

    def _at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), act))

    def _plan_arrivals(self, traffic: Traffic, seconds: float) -> None:
        at = 0.0
        while (at := at + self.draw.expovariate(traffic.per_s)) < seconds:
            request = self._request(traffic, at)
            self._at(at, lambda request=request: self._arrive(request))

    def _request(self, traffic: Traffic, at: float) -> SimRequest:
        subject = self.draw.randrange(traffic.subjects)
        shared = int(traffic.shared_tokens * random.Random(subject).uniform(0.4, 1.6))
        own = int(traffic.own_tokens * self.draw.uniform(0.3, 1.7))
        answer = max(8, int(traffic.answer_tokens * self.draw.uniform(0.2, 1.8)))
        parts = (
            PromptPart(f"{traffic.name}{subject}", shared),
            PromptPart(f"own{next(self._numbers)}", own),
        )
        most = 2 * traffic.answer_tokens
        prompt = PromptShape(ModelId("m"), shared + own, most, parts)
        return SimRequest(traffic, at, prompt, answer)

    def _arrive(self, request: SimRequest) -> None:
        self.requests.append(request)
        number = next(self._numbers)
        instance = self.draw.choice(self.instances)
        traits, choice = instance.decide(request, number)
        if instance.is_refused(traits, choice):
            request.refused = True
            return
        instance.send(request, traits, choice)
        engine = self.engines[choice.view.id]
        engine.submit(request, traits.resolution.rank, number)
        if not engine.is_awake:
            engine.is_awake = True
            self._step(engine)

    def _step(self, engine: SimEngine) -> None:
        if not engine.waiting and not engine.running:
            engine.is_awake = False
            return
        duration = engine.step(self.clock.time)
        self._at(self.clock.time + duration, lambda: self._step(engine))

    def _tell(self, seconds: float) -> None:
        """Let each instance know of the others' work and of the parts sent."""
        now = self.clock.now()
        for instance in self.instances:
            others = [each for each in self.instances if each is not instance]
            for other in others:
                instance.pools.hear_held(other.pools.news.told(now))
            for view in instance.pools.views.values():
                loads = [other.pools.views[view.id].load for other in others]
                view.load.peers = _sum(loads, now)
        if now < seconds:
            self._at(now + TOLD_EVERY_S, lambda: self._tell(seconds))


def _sum(loads: list, now: float) -> PeerLoad:
    unread: dict[int, int] = {}
    oldest_s: dict[int, float] = {}
    for load in loads:
        for rank, tokens in load.unread.items():
            unread[rank] = unread.get(rank, 0) + tokens
        for rank, age in load.waits.oldest_s(now).items():
            oldest_s[rank] = max(age, oldest_s.get(rank, 0.0))
    return PeerLoad(
        requests=sum(load.requests for load in loads),
        unread=unread,
        tight=sum(load.tight for load in loads),
        oldest_s=oldest_s,
        memory=sum(load.memory for load in loads),
    )
