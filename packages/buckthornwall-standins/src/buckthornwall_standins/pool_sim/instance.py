"""A simulated instance: its local counts and the product's decisions."""

from dataclasses import replace

from buckthornwall.peers import Work, outstanding_work, subtract_local
from buckthornwall.pools import (
    Admission,
    Choice,
    PoolSettings,
    PoolTable,
    RequestTraits,
    StepObserver,
    UpstreamEntry,
    UpstreamState,
    UpstreamView,
    Verdict,
    choose_upstream,
    find_overload,
    record_decision,
)
from buckthornwall.routing import (
    EngineSpec,
    Pool,
    PublishedConfig,
    RoutedRequest,
    RoutingTable,
)
from buckthornwall.utils import Clock, UpstreamId, ZoneId

from .engine import EngineSpeed, SimEngine
from .request import POOL, SimRequest, Traffic

__all__ = ["ZONE", "SimInstance"]

ZONE = ZoneId("z")


class SimInstance:
    """An instance that routes requests to one pool.

    Parameters
    ----------
    clock
        Source of time.
    engines
        Registered engines.
    traffic
        Traffic of the callers, one entry for each route.
    settings
        Which of the decisions under load are used.
    """

    def __init__(
        self,
        clock: Clock,
        engines: list[SimEngine],
        traffic: list[Traffic],
        settings: PoolSettings | None = None,
    ) -> None:
        self.clock = clock
        self.pools = PoolTable(clock, settings=settings)
        speed = engines[0].speed
        traits = EngineSpec(speed.slots, speed.memory_tokens, speed.tokens_per_event)
        self.pool = Pool(POOL, "/", 100, traits)
        self._admission: Admission | None = None
        self.table = RoutingTable()
        self.table.adopt(
            PublishedConfig(1, tuple(t.route() for t in traffic), (self.pool,))
        )
        for engine in engines:
            self.register(engine.id, speed)

    def register(self, engine: UpstreamId, speed: EngineSpeed) -> None:
        """Register an engine."""
        address, state = "10.0.0.1:80", UpstreamState.READY
        self.pools.adopt(UpstreamEntry(engine, POOL, address, ZONE, speed.slots, state))
        self.pools.set_contracts([self.pool], self.table.routes)

    def decide(
        self, request: SimRequest, number: int, tried: set[UpstreamId]
    ) -> tuple[RequestTraits, Choice | None]:
        """Return the request's traits and the engine chosen for it, if any."""
        path = f"/{request.traffic.name}/x"
        now = self.clock.now()
        routed = RoutedRequest(
            f"r{number}", b"POST", path.encode(), "h", path, [], b"", now
        )
        routed.prompt = request.prompt
        resolution = replace(self.table.resolve(routed), team=request.team)
        traits = RequestTraits.of(routed, resolution, self.pools)
        return traits, choose_upstream(self.pools, traits, tried, ZONE, now)

    def overload_retry_after_s(
        self, request: SimRequest, traits: RequestTraits, choice: Choice
    ) -> float | None:
        """Return the retry-after time of a refusal in seconds, or None if admitted."""
        now = self.clock.now()
        time_left_s = request.deadline - now
        overload = find_overload(self.pools, traits, choice, now, time_left_s)
        self._admission = record_decision(
            self.pools, traits, overload is None, now, choice
        )
        return None if overload is None else overload.retry_after_s

    def record_not_taken(self) -> None:
        """Record that no engine took the request that was admitted last."""
        if self._admission is not None:
            self.pools.ledger(POOL).record_ended(self._admission)
            self._admission = None

    def _record_unserved(
        self, admission: Admission | None, request: SimRequest, now: float
    ) -> None:
        """Record that a request got no response; as refused after its target."""
        if admission is None:
            return
        ledger = self.pools.ledger(POOL)
        ledger.record_ended(admission)
        if now - request.last_asked_at >= request.traffic.target_s:
            ledger.record_refused(admission.rank, admission.tokens, now)

    def record_unreachable(self, view: UpstreamView) -> None:
        """Record that an engine could not be reached."""
        self.pools.record_outcome(view, Verdict.UNREACHABLE)

    def send(
        self,
        request: SimRequest,
        traits: RequestTraits,
        choice: Choice,
        engine: SimEngine,
    ) -> None:
        """Count a request in its engine's load until the request ends."""
        load, rank = choice.view.load, traits.resolution.rank
        calibration, model = self.pools.wait_calibration(POOL), self.pools.model(POOL)
        observer = StepObserver(
            choice.view,
            model,
            self.pool.engine.tokens_per_event,
            traits.pause_sensitive,
        )
        sent_at = self.clock.now()
        admission, self._admission = self._admission, None
        load.requests += 1
        load.pause_sensitive += traits.pause_sensitive
        load.memory += request.prompt.memory_tokens
        load.add_pending_prefill(rank, choice.uncached_tokens)
        load.waits.begin(rank, request, sent_at)
        choice.view.health.record_sent(sent_at)
        self.pools.note_prompt(choice.view, request.prompt)
        has_begun = False

        def on_first(now: float) -> None:
            load.add_pending_prefill(rank, -choice.uncached_tokens)
            load.waits.end(rank, request, is_served=not request.failed)
            if request.failed:
                self._record_unserved(admission, request, now)
                return
            if admission is not None:
                self.pools.ledger(POOL).record_begun(admission, now)
            load.record_report(engine.report(now), now)
            calibration.record(rank, choice.wait_s, now - sent_at)
            if choice.is_prefill_idle and not choice.copy_from:
                usual_s = (now - sent_at) / choice.view.slowness(now)
                model.record_first_token(choice.uncached_tokens, usual_s)

        def on_event(now: float, done: bool) -> None:
            nonlocal has_begun
            if not has_begun:
                has_begun = True
                on_first(now)
            if not request.failed:
                choice.view.reachability.record_answered(now)
            if not done:
                observer.record(1, now)
            if done:
                load.requests -= 1
                load.pause_sensitive -= traits.pause_sensitive
                load.memory -= request.prompt.memory_tokens
                verdict = Verdict.FAILED if request.failed else Verdict.GOOD
                self.pools.record_outcome(choice.view, verdict)

        request.on_event = on_event

    def receive_work(
        self, totals: dict[UpstreamId, Work], local: dict[UpstreamId, Work]
    ) -> None:
        """Store the peers' work: the totals less this instance's reported work."""
        nothing = Work()
        for view in self.pools.views.values():
            total = totals.get(view.id, nothing)
            view.load.peers = subtract_local(total, local.get(view.id, nothing))

    def work(self) -> dict[UpstreamId, Work]:
        """Return this instance's outstanding work, by engine with requests of it."""
        now = self.clock.now()
        return {
            view.id: outstanding_work(view.load, now)
            for view in self.pools.views.values()
            if view.load.requests
        }
