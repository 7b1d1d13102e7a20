"""The attempts of a request until it is answered or refused."""

import json
import math
from collections.abc import Callable
from functools import partial

import trio

from buckthornwall.capacity import MemoryBudget
from buckthornwall.codes import Executed, Refusal, ResultCode
from buckthornwall.http1 import ExchangeFailure, ResponseAborted, ResponseWriter
from buckthornwall.peers.relay_candidates import RelayCandidate
from buckthornwall.pools import (
    Choice,
    PoolTable,
    RequestTraits,
    choose_upstream,
    expected_s,
    is_served_in_order,
)
from buckthornwall.quarantine import (
    QuarantineTable,
    fingerprint_of,
    part_fingerprints,
)
from buckthornwall.routing import RoutedRequest, RoutingTable
from buckthornwall.stream_origins import StreamOriginTable
from buckthornwall.telemetry import RouterMetrics
from buckthornwall.utils import (
    Clock,
    UpstreamId,
    ZoneId,
)

from .admissions import Admissions
from .attempt import Attempt, AttemptEnd, AttemptResult
from .attempt_limits import (
    event_timeout_s,
    head_timeout_s,
    max_idle_s,
)
from .budgets import RetryBudgets
from .completeness import CompletenessChecks
from .connections import ConnectionCache
from .continuation import Continuations, Target
from .crash_guard import CrashGuard
from .delivery import Delivery
from .first_token import record_first_token
from .identity import IdentityCheck
from .in_flight import InFlightLimit
from .isolation_monitor import IsolationMonitor
from .job import Job
from .limit_gate import LimitGate
from .liveness import LivenessChecks
from .no_upstream import NO_UPSTREAM_RETRY_S, refusal_without_upstream
from .patience import Reviews
from .relaying import Relaying, reached_before
from .reply import WireCodec
from .reply_memory import ReplyMemory
from .request_telemetry import RequestTelemetry
from .settings import ForwardingSettings
from .verdicts import health_verdict

__all__ = ["Forwarder"]

# Statuses that mean to a client that its request was not and will not be run. They are
# never used for a request that may have run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
BAD_GATEWAY = 502
# Ends of attempts that sent nothing. They are no retries of the budget.
UNSENT_ENDS = frozenset({AttemptEnd.NOT_SENT, AttemptEnd.WITHHELD})
MIN_REMAINING_S = 0.02
DRAINING_RETRY_S = 0.05


class Forwarder:
    """Forwards requests to upstreams, with retries.

    Parameters
    ----------
    settings
        The ``[forwarding]`` section.
    zone
        Zone of this instance.
    table
        Routes, teams and pools in force.
    pools
        Upstreams and their state.
    codec
        Translation of requests and replies.
    clock
        Source of time; the clock that trio runs on.
    metrics
        Metrics of this instance.
    quarantine
        Records of requests that crash upstreams.
    origins
        Records of what began streams.
    memory
        The account of what is held for clients; without limit by default.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        zone: ZoneId,
        table: RoutingTable,
        pools: PoolTable,
        codec: WireCodec,
        clock: Clock,
        metrics: RouterMetrics,
        quarantine: QuarantineTable,
        origins: StreamOriginTable | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.metrics = metrics
        self.telemetry = RequestTelemetry(metrics, clock)
        self.settings = settings
        self.zone = zone
        self.table = table
        self.pools = pools
        self.codec = codec
        self.clock = clock
        self.budgets = RetryBudgets(settings.retry_ratio, settings.retry_reserve)
        connect_timeout_s = settings.connect_timeout_ms / 1000
        self.connections = ConnectionCache(clock, connect_timeout_s)
        self.isolation = pools.isolation
        self.isolation_monitor = IsolationMonitor(pools, self.connections, clock)
        self.liveness = LivenessChecks(
            clock, connect_timeout_s, self.isolation_monitor.check
        )
        self.isolation_monitor.is_known_ended = self.liveness.is_known_ended
        identity = IdentityCheck(codec, lambda pool: table.pools[pool].health_path)
        self.completeness = CompletenessChecks(self.liveness, identity)
        self.reply_memory = ReplyMemory(memory or MemoryBudget(math.inf, clock))
        self.crash_guard = CrashGuard(quarantine, pools, self.liveness, clock)
        self.limit_gate = LimitGate(pools, clock, self._choose)
        self.admissions = Admissions(pools, clock)
        self.in_flight = InFlightLimit()
        self.reviews = Reviews()
        self.isolation.on_isolated = self.reviews.review_now
        self.relay_candidates: Callable[[], list[RelayCandidate]] = list
        self.relaying = Relaying(
            zone,
            self.isolation,
            lambda: self.relay_candidates(),
            clock,
            ConnectionCache(clock, connect_timeout_s),
            settings.once_idle_ms / 1000,
            self.budgets,
            self.completeness,
            self.reply_memory,
            self._spend_retry,
            metrics,
            lambda job: self.continuations.is_bound(job),
        )
        self.continuations = Continuations(
            table, pools, origins or StreamOriginTable(), clock, metrics
        )

    async def forward(self, request: RoutedRequest, answer: ResponseWriter) -> None:
        """Send a client the response to its request.

        Raises
        ------
        ResponseAborted
            If the response began and cannot be completed.
        """
        try:
            resolution = self.table.resolve(request)
            target = await self.continuations.find_target(request, resolution)
            slot = self.in_flight.take(target.resolution.pool.id)
        except Refusal as refusal:
            await self._refuse(request.id, None, answer, refusal)
            return
        with slot:
            await self._forward_to(request, answer, target)

    async def _forward_to(
        self, request: RoutedRequest, answer: ResponseWriter, target: Target
    ) -> None:
        resolution, route = target.resolution, target.resolution.route
        self.budgets.earn(resolution.pool.id)
        timeout_s = route.timeout_s
        if request.client_timeout_s is not None:
            timeout_s = min(timeout_s, request.client_timeout_s)
        traits = RequestTraits.of(request, resolution, self.pools, target.versions)
        job = Job(
            request,
            resolution,
            Delivery(answer, self.clock, request.resume_after),
            request.received_at + timeout_s,
            traits,
            fingerprint_of(request, resolution.team),
            part_fingerprints(resolution.pool.id, request.prompt),
            tried=reached_before(self.pools, request, traits),
            origin=target.origin,
        )
        if request.relay_origin is not None:
            job.runs = request.relay_origin.runs
        job.delivery.on_begin = lambda: self.admissions.record_begun(job)
        job.delivery.on_first_event = partial(self.continuations.record_begun, job)
        try:
            await self._answer(job, answer)
        except (ResponseAborted, trio.Cancelled):
            self.telemetry.record_end(
                job, "cut" if job.delivery.started else "caller_gone"
            )
            raise
        finally:
            job.record_failed(None)
            self.admissions.record_unserved(job)

    def forget_upstream(self, upstream: UpstreamId) -> None:
        """Drop the connections and liveness results of an upstream that is gone."""
        self.connections.forget(upstream)
        self.liveness.forget(upstream)

    async def refuse_unreadable(self, answer: ResponseWriter, refusal: Refusal) -> None:
        """Refuse a request that could not be decoded."""
        await self._refuse("", None, answer, refusal)

    async def refuse_relayed(
        self, request_id: str, answer: ResponseWriter, refusal: Refusal
    ) -> None:
        """Decline a request of a peer."""
        await self._refuse(request_id, None, answer, refusal)

    async def refuse_draining(
        self, request: RoutedRequest, answer: ResponseWriter
    ) -> None:
        """Refuse a request while draining, so that the client retries elsewhere."""
        refusal = Refusal(
            ResultCode.NOT_READY, "leaving", retry_after_s=DRAINING_RETRY_S
        )
        await self._refuse(request.id, None, answer, refusal)

    async def _answer(self, job: Job, answer: ResponseWriter) -> None:
        with trio.CancelScope(deadline=job.deadline) as scope:
            refusal = await self._run_attempts(job)
        if scope.cancelled_caught:
            job.detail = "deadline"
            code = ResultCode.UPSTREAM_TIMEOUT if job.runs else ResultCode.NO_ENGINE
            refusal = Refusal(code, run=job.run, retry_after_s=NO_UPSTREAM_RETRY_S)
        if job.delivery.done:
            self.telemetry.record_end(job, "answered")
        elif job.delivery.started:
            await answer.abort(refusal, job.runs_here)
        elif job.last_failed is not None:
            await job.delivery.send_complete(
                job.last_failed.reply, job.last_failed.body
            )
            self.telemetry.record_end(job, "upstream_failed")
        else:
            await self._refuse(job.request.id, job, answer, refusal)

    async def _run_attempts(self, job: Job) -> Refusal | None:
        """Try upstreams or peers until one answers; return the refusal if none did."""
        while True:
            if refusal := self.crash_guard.refusal(job) or self.relaying.refusal(job):
                return refusal
            if self.relaying.is_due(job):
                result = await self.relaying.attempt(job)
            elif (choice := await self._next_choice(job)) is None:
                if self.relaying.is_due(job):  # isolated while it waited
                    continue
                break
            elif refusal := self.admissions.refusal(job, choice):
                return refusal
            else:
                result = await self._attempt(job, choice)
            if result.end is AttemptEnd.DONE:
                return None
            if job.is_settled or not self._may_try_another(job, result):
                break
        return job.peer_refusal or refusal_without_upstream(self.pools, job)

    async def _next_choice(self, job: Job) -> Choice | None:
        """Return the next upstream to try once it may be, None if there is none."""
        is_last = len(job.tried) >= self.settings.most_upstreams
        if is_last or self.relaying.is_exhausted(job):
            return None
        return await self.limit_gate.admit(job)

    def _choose(self, job: Job) -> Choice | None:
        now = self.clock.now()
        return choose_upstream(self.pools, job.traits, job.tried, self.zone, now)

    async def _attempt(self, job: Job, choice: Choice) -> AttemptResult:
        view = choice.view
        job.tried.add(view.id)
        view.rate_limit.take(self.clock.now())
        job.last_choice = choice
        remaining_s = job.deadline - self.clock.now()
        attempt = Attempt(
            request=job.request,
            resolution=job.resolution,
            choice=choice,
            delivery=job.delivery,
            connections=self.connections,
            codec=self.codec,
            clock=self.clock,
            remaining_s=remaining_s,
            max_idle_s=max_idle_s(job, self.settings.once_idle_ms / 1000),
            head_timeout_s=head_timeout_s(self.pools, job, choice, remaining_s),
            note_prompt=self.pools.note_prompt,
            record_rate_limit=self.pools.rate_limits.record,
            record_brittle=self.pools.brittle.record,
            record_notice=self.pools.notices.record,
            model=self.pools.model(job.resolution.pool.id),
            should_give_up=lambda: self._should_give_up(job, choice),
            find_obstacle=self.pools.forbidding_obstacle,
            completeness=self.completeness,
            reply_memory=self.reply_memory,
            event_timeout_s=event_timeout_s(job),
            pause_sensitive=job.traits.pause_sensitive,
            reviews=self.reviews,
            on_first_event=lambda: self.crash_guard.record_answer(job, choice),
        )
        self.telemetry.record_placement(
            job, choice, expected_s(self.pools, job.traits, choice)
        )
        # The attempt may be cancelled, and counts as run until known otherwise.
        job.runs += 1
        sent_at = self.clock.now()
        with view.brittleness.count_request():
            result = await attempt.run()
        if result.end in UNSENT_ENDS or result.end is AttemptEnd.NOT_RUN:
            job.runs -= 1
        if result.end in UNSENT_ENDS:
            view.rate_limit.refund()
        else:
            job.arrivals += 1
            job.reached.add(view.id)
        self.isolation_monitor.record_result(view.id, result)
        verdict = health_verdict(choice, result)
        if verdict is not None:
            self.pools.record_outcome(view, verdict)
        ended = await self.crash_guard.record(job, choice, result, sent_at)
        self.telemetry.record_attempt(job, choice, result, sent_at, ended)
        record_first_token(self.pools, job, choice, sent_at)
        if result.end is not AttemptEnd.DONE:
            job.detail = result.detail
        return result

    def _should_give_up(self, job: Job, choice: Choice) -> bool:
        """Return whether a silent attempt ends for one at another upstream or a peer.

        It does only with a retry, which is taken here: otherwise a response that is
        late would become a failure.
        """
        if self.relaying.is_due(job):
            return self._spend_retry(job)
        now = self.clock.now()
        alternative = choose_upstream(self.pools, job.traits, job.tried, self.zone, now)
        if alternative is None:
            return False
        may_wait_in_order = not job.delivery.started and is_served_in_order(
            self.pools, job.traits, choice, alternative, now
        )
        return not may_wait_in_order and self._spend_retry(job)

    def _may_try_another(self, job: Job, result: AttemptResult) -> bool:
        """Return whether another upstream may be tried after this result."""
        if result.end is AttemptEnd.FAILED:
            job.record_failed(result)
        if job.deadline - self.clock.now() < MIN_REMAINING_S:
            return False
        if result.end in UNSENT_ENDS:
            return True
        if result.end is AttemptEnd.NOT_RUN:
            return self._spend_retry(job)
        route = job.resolution.route
        if not route.may_repeat or job.runs >= route.max_runs:
            return False
        is_paid = result.failure is ExchangeFailure.TIMED_OUT
        if not is_paid and not self._spend_retry(job):
            return False
        job.delivery.joiner.resume()
        return True

    def _spend_retry(self, job: Job) -> bool:
        """Take one retry from the budget; log and return False if it is spent."""
        pool = job.resolution.pool.id
        if not self.budgets.spend(pool):
            if not job.is_retry_denied:
                self.telemetry.record_budget_spent(job, self.budgets.instances)
            job.is_retry_denied = True
            return False
        self.metrics.retries.inc({"pool": pool})
        return True

    async def _refuse(
        self, request_id: str, job: Job | None, answer: ResponseWriter, refusal: Refusal
    ) -> None:
        """Send the refusal of a request as its response."""
        status = refusal.code.status
        if refusal.run is not Executed.NO and status in NOT_RUN_STATUSES:
            status = BAD_GATEWAY
        headers = [(b"Content-Type", b"application/json")]
        if refusal.run is Executed.NO and refusal.retry_after_s is not None:
            headers.append((b"Retry-After", b"%.2f" % refusal.retry_after_s))
        headers += answer.refusal_headers(
            refusal, job.runs_here if job is not None else 0
        )
        body = {
            "code": refusal.code.number,
            "message": refusal.code.meaning,
            "run": refusal.run.value,
        }
        self.telemetry.record_refusal(request_id, job, refusal, status)
        await answer.send_complete(status, headers, json.dumps(body).encode())
