"""Guards against falls of brittle upstreams with many instances and late reports."""

import random
from collections import deque

import pytest
from buckthornwall.pools.brittleness import Brittleness
from buckthornwall.pools.limit_share import Fleet
from buckthornwall.pools.load import Load, PeerLoad
from buckthornwall.pools.slot_share import local_slots
from buckthornwall.utils import ZoneId

ENGINES, SLOTS, ROOM, LIMIT = 9, 4, 1, 3
SERVICE_S, FALL_S, PATIENCE_S, STEP_S = 0.6, 2.0, 1.0, 0.01
STEPS = 1000
ZONE = ZoneId("z")


class Replay:
    """Instances and engines in steps of time; counts falls and served requests."""

    def __init__(self, seed, instances, load, is_limited):
        self.rng = random.Random(seed)
        self.arrivals = random.Random(seed)
        self.is_limited = is_limited
        self.count = instances
        self.per_step = load * ENGINES * SLOTS / SERVICE_S * STEP_S
        self.ages = [self.rng.uniform(0.1, 2.0) for _ in range(instances)]
        self.running = [[] for _ in range(ENGINES)]
        self.waiting = [deque() for _ in range(ENGINES)]
        self.rejected = [deque() for _ in range(ENGINES)]
        self.down_until = [0.0] * ENGINES
        self.states = [[None] * ENGINES for _ in range(instances)]
        self.loads = [[Load() for _ in range(ENGINES)] for _ in range(instances)]
        self.queues = [deque() for _ in range(instances)]
        self.history = deque(maxlen=int(2.1 / STEP_S))
        self.falls = self.served = self.arrived = 0
        members = tuple(f"10.0.0.{n}:1" for n in range(instances))
        slots = [(f"e{n}", SLOTS) for n in range(ENGINES)]
        extras = [(f"e{n}/extra", LIMIT) for n in range(ENGINES)]
        fleets = [Fleet(each, ZONE, (ZONE,), members, instances) for each in members]
        self.shares = [local_slots(slots, f) | local_slots(extras, f) for f in fleets]
        for engine in range(ENGINES):
            self.start(engine, -100.0)

    def start(self, engine, now):
        for place in range(self.count):
            state = self.states[place][engine] = Brittleness()
            state.slots = SLOTS if self.is_limited else 0
            state.instances, state.report_age_s = self.count, self.ages[place]
            state.first_seen_at = now
            state.record_answer(LIMIT, max(now, 0.0))
            state.set_share(self.shares[place][f"e{engine}"], now)
            state.extra = self.shares[place][f"e{engine}/extra"]
            self.loads[place][engine] = Load()

    def run(self):
        for step in range(STEPS):
            self.step(step * STEP_S)
        return self

    def step(self, now):
        for engine in range(ENGINES):
            self.work(engine, now)
        counts = [[load.requests for load in row] for row in self.loads]
        self.history.append([sum(column) for column in zip(*counts, strict=True)])
        for place, age in enumerate(self.ages):
            steps = min(len(self.history), int(age / STEP_S))
            for engine, total in enumerate(self.history[-steps]):
                load = self.loads[place][engine]
                others = max(0, total - load.requests)
                load.peers = PeerLoad(requests=others)
        arrivals = int(self.per_step) + (self.arrivals.random() < self.per_step % 1)
        for _ in range(arrivals):
            self.arrived += 1
            self.queues[self.arrivals.randrange(self.count)].append(now)
        for place, queue in enumerate(self.queues):
            while queue and now - queue[0] > PATIENCE_S:
                queue.popleft()
            while queue and self.place(place, now):
                queue.popleft()

    def place(self, place, now):
        loads, states = self.loads[place], self.states[place]
        free = [
            engine
            for engine in range(ENGINES)
            if now >= self.down_until[engine]
            and states[engine].may_send(loads[engine], now)
        ]
        if not free:
            return False
        engine = min(free, key=lambda e: (loads[e].in_flight(now), self.rng.random()))
        if len(self.running[engine]) == SLOTS and len(self.waiting[engine]) >= ROOM:
            states[engine].record_rejection(now)
            self.reject(engine, now)
            return True
        loads[engine].requests += 1
        states[engine].in_flight += 1
        self.waiting[engine].append(place)
        self.work(engine, now)
        return True

    def work(self, engine, now):
        for ends_at, place in list(self.running[engine]):
            if ends_at <= now:
                self.running[engine].remove((ends_at, place))
                self.loads[place][engine].requests -= 1
                self.states[place][engine].in_flight -= 1
                self.states[place][engine].record_answer(LIMIT, now)
                self.served += 1
        while self.waiting[engine] and len(self.running[engine]) < SLOTS:
            ends_at = now + SERVICE_S * self.rng.uniform(0.7, 1.3)
            self.running[engine].append((ends_at, self.waiting[engine].popleft()))

    def reject(self, engine, now):
        rejected = self.rejected[engine]
        rejected.append(now)
        while now - rejected[0] > 1.0:
            rejected.popleft()
        if len(rejected) > LIMIT:
            self.falls += 1
            self.down_until[engine] = now + FALL_S
            for items in (rejected, self.running[engine], self.waiting[engine]):
                items.clear()
            self.start(engine, now + FALL_S)


@pytest.mark.parametrize("instances", [3, 12, 24])
@pytest.mark.parametrize("seed", [1, 2])
def test_under_twice_the_load_few_engines_fall(seed, instances):
    limited = Replay(seed, instances, 2.0, is_limited=True).run()
    unlimited = Replay(seed, instances, 2.0, is_limited=False).run()
    print(instances, limited.falls, limited.served / limited.arrived)
    print(instances, unlimited.falls, unlimited.served / unlimited.arrived)
    assert limited.falls <= 2 + 0.1 * ENGINES < unlimited.falls
    assert limited.served > 1.5 * unlimited.served


@pytest.mark.parametrize("instances", [3, 12, 24])
def test_without_overload_nearly_all_requests_are_served(instances):
    limited = Replay(1, instances, 0.5, is_limited=True).run()
    unlimited = Replay(1, instances, 0.5, is_limited=False).run()
    print(instances, limited.served, unlimited.served, limited.falls)
    assert limited.falls == 0
    assert limited.served >= 0.98 * unlimited.served
