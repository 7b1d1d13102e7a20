"""Chat and text completions, streamed from engines to a client."""

from collections.abc import Callable
from contextlib import aclosing
from typing import Any

import trio

from buckthornwall.admission import Admission, TeamConcurrencyLimiter
from buckthornwall.codes import Refusal, ResultCode, UpstreamError
from buckthornwall.links import ReleaseKind
from buckthornwall.records import TargetKind, Upstream
from buckthornwall.scheduling import EntryAgent, SlotRequest
from buckthornwall.scheduling.entry import HeldSlot
from buckthornwall.telemetry import Metrics, Tracing
from buckthornwall.upstreams import EngineClient, RetryBudget
from buckthornwall.utils import AttemptId, Clock, ModelId, UpstreamId, new_id

from .completion_response import BufferedResponse, StreamedResponse, has_finish_reason
from .http import ClientDisconnected, Exchange
from .job import CHAT_PATH, CompletionJob, check_body, hash_prefix
from .token_timings import TokenTimings

__all__ = ["CompletionHandler"]

BODY_BYTES_PER_TOKEN = 4
MAX_ATTEMPTS = 4
CLASS_HEADER = "x-service-class"


class CompletionHandler:
    """Serve completions: wait for a slot, stream, resume after a failure.

    Parameters
    ----------
    admission
        Authenticates teams and admits their requests.
    teams
        Limits the concurrent requests of each team.
    entry
        Acquires slots.
    engines
        Opens the streams.
    budget
        Retry budget, for attempts that replace a failed one.
    metrics, tracing, clock
        Metrics, trace spans and the time source of this instance.
    limits
        The ``[gateway]`` section.
    coalesce_s
        Seconds within which chunks are forwarded together.
    on_engine_leaving
        Called with the id of an engine that refuses new work because it is leaving.
    rest_s
        Returns for how many more seconds an engine wants no requests.
    """

    def __init__(
        self,
        admission: Admission,
        teams: TeamConcurrencyLimiter,
        entry: EntryAgent,
        engines: EngineClient,
        budget: RetryBudget,
        metrics: Metrics,
        tracing: Tracing,
        clock: Clock,
        limits: Any,
        coalesce_s: float,
        on_engine_leaving: Callable[[UpstreamId], None],
        rest_s: Callable[[UpstreamId], float],
    ) -> None:
        self.admission = admission
        self.teams = teams
        self.entry = entry
        self.engines = engines
        self.budget = budget
        self.metrics = metrics
        self.tracing = tracing
        self.clock = clock
        self.limits = limits
        self.coalesce_s = coalesce_s
        self.on_engine_leaving = on_engine_leaving
        self.rest_s = rest_s

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request; cancel its work as soon as the client disconnects."""
        started_at = self.clock.now()
        team = self.admission.authenticate(exchange.headers.get("authorization"))
        raw_body = await exchange.read_body(
            self.limits.body_limit_bytes, self.limits.body_timeout_s
        )
        body = check_body(exchange.path, raw_body)
        requested_class = exchange.headers.get(CLASS_HEADER)
        admitted = self.admission.admit(
            team, TargetKind.MODEL, body["model"], requested_class
        )
        response_type = StreamedResponse if body.get("stream") else BufferedResponse
        response = response_type(exchange, exchange.path == CHAT_PATH)
        job = CompletionJob(
            exchange.path,
            body,
            admitted,
            response,
            started_at,
            exchange.headers.get("traceparent"),
            hash_prefix(body),
            len(raw_body) // BODY_BYTES_PER_TOKEN,
        )
        outcome = "cut"
        try:
            with self.teams.hold(team):
                await self._run_until_disconnect(exchange, job)
            outcome = "served"
        except Refusal:
            outcome = "refused"
            raise
        except ClientDisconnected:
            outcome = "gone"
            raise
        finally:
            self._record_outcome(job, outcome)

    async def _run_until_disconnect(
        self, exchange: Exchange, job: CompletionJob
    ) -> None:
        disconnected = False
        failure: Refusal | None = None
        async with trio.open_nursery() as nursery:

            async def watch_connection() -> None:
                nonlocal disconnected
                await exchange.wait_for_disconnect()
                disconnected = True
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch_connection)
            try:
                with self.tracing.span(
                    "completion", job.traceparent, route=job.admitted.route.id
                ) as outgoing:
                    job.traceparent = outgoing
                    await self._run_attempts(job)
            except Refusal as refusal:
                failure = refusal
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if disconnected and not job.response.finished:
            raise ClientDisconnected

    async def _run_attempts(self, job: CompletionJob) -> None:
        """Make attempts until the response is complete or no retry is allowed.

        A preempted attempt is not a failure: it does not count towards the
        maximum of attempts and takes nothing from the retry budget.
        """
        self.budget.earn()
        excluded: list[UpstreamId] = []
        while True:
            slot = await self._acquire_slot(job, excluded)
            try:
                await self._attempt(job, slot)
            except UpstreamError as error:
                excluded.append(slot.engine)
                job.may_have_executed = job.may_have_executed or error.sent
                if not self._may_retry(job, error, len(excluded)):
                    raise self._refusal_for(job, error) from error
                self.metrics.retries.inc({"code": str(error.code.number)})
                continue
            if job.response.finished:
                return
            job.preempted = True
            job.may_have_executed = True

    def _may_retry(
        self, job: CompletionJob, error: UpstreamError, failures: int
    ) -> bool:
        if error.code is ResultCode.UPSTREAM_REJECTED or failures >= MAX_ATTEMPTS:
            return False
        if job.response.tokens and not job.resumable:
            return False
        return self.budget.spend()

    @staticmethod
    def _refusal_for(job: CompletionJob, error: UpstreamError) -> Refusal:
        return Refusal(error.code, error.detail, job.executed, retry_after_s=1.0)

    async def _acquire_slot(
        self, job: CompletionJob, excluded: list[UpstreamId]
    ) -> HeldSlot:
        service_class = job.admitted.service_class
        request = SlotRequest(
            ModelId(job.admitted.route.target),
            service_class,
            job.admitted.team.id,
            job.prompt_tokens,
            job.prefix_hash,
            job.started_at,
            list(excluded),
            resumed=bool(excluded) or job.preempted,
            preemptible=job.resumable,
        )
        requested_at = self.clock.now()
        with self.tracing.span("slot", job.traceparent, pool=request.pool):
            try:
                slot = await self.entry.acquire(request)
            except Refusal as refusal:
                refusal.run = job.executed
                raise
        waited_s = self.clock.now() - requested_at
        self.metrics.slot_wait.observe({"class": service_class.id}, waited_s)
        return slot

    async def _attempt(self, job: CompletionJob, slot: HeldSlot) -> None:
        """Stream one attempt; release its slot however it ends."""
        kind = ReleaseKind.CANCELLED
        timings = TokenTimings(self.clock)
        try:
            engine = self.admission.view.upstreams.get(slot.engine)
            if engine is None:
                raise UpstreamError(ResultCode.UPSTREAM_UNREACHABLE, sent=False)
            if self.rest_s(engine.id):  # its scheduler does not know of the rest yet
                detail = "the engine asked for a rest"
                raise UpstreamError(ResultCode.UPSTREAM_UNREACHABLE, detail, sent=False)
            with self.tracing.span(
                "upstream", job.traceparent, engine=engine.id
            ) as outgoing:
                await self._relay(job, slot, engine, timings, outgoing)
            kind = ReleaseKind.DONE if job.response.finished else ReleaseKind.CANCELLED
        except UpstreamError as error:
            kind = self._release_kind(error, slot)
            raise
        finally:
            self.entry.release(
                slot,
                kind,
                timings.first_token_s,
                timings.mean_gap_s(slot.tokens),
                self.rest_s(slot.engine),
            )

    def _release_kind(self, error: UpstreamError, slot: HeldSlot) -> ReleaseKind:
        if error.code is ResultCode.UPSTREAM_REJECTED:
            return ReleaseKind.DONE
        if "leaving" in error.detail:
            self.on_engine_leaving(slot.engine)
            return ReleaseKind.LEAVING
        return ReleaseKind.FAILED

    async def _relay(
        self,
        job: CompletionJob,
        slot: HeldSlot,
        engine: Upstream,
        timings: TokenTimings,
        traceparent: str | None,
    ) -> None:
        attempt = AttemptId(f"{new_id():x}")
        body = self._engine_body(job)
        # Preemption is checked between writes, since cancelling a write half-way
        # would break the client's stream. Chunks are coalesced by the sleep in
        # this loop: they collect in the socket meanwhile, and one read returns
        # them all.
        stream = self.engines.stream(engine, job.path, body, attempt, traceparent)
        async with aclosing(stream):
            async for chunks in stream:
                new_tokens = job.response.record_chunks(chunks)
                slot.tokens += new_tokens
                if new_tokens:
                    is_first = job.response.tokens == new_tokens
                    timings.record_tokens()
                    if is_first:
                        self._observe_first_token(job)
                await job.response.write_chunks(chunks)
                if slot.preempted and not has_finish_reason(chunks):
                    return
                if timings.should_coalesce(len(chunks), self.coalesce_s):
                    await trio.sleep(self.coalesce_s)
        await job.response.finish()

    def _observe_first_token(self, job: CompletionJob) -> None:
        class_id = job.admitted.service_class.id
        self.metrics.first_token.observe(
            {"class": class_id}, self.clock.now() - job.started_at
        )

    def _engine_body(self, job: CompletionJob) -> dict[str, Any]:
        """Return the body of the next attempt, which continues the text so far."""
        body = dict(job.body)
        body["stream"] = True
        body["stream_options"] = {"include_usage": True}
        body["priority"] = job.admitted.service_class.tier
        body["model"] = job.admitted.route.target
        received_text = job.response.text
        if not received_text:
            return body
        if job.path == CHAT_PATH:
            partial = {"role": "assistant", "content": received_text}
            body["messages"] = [*job.body["messages"], partial]
            body["add_generation_prompt"] = False
            body["continue_final_message"] = True
        else:
            body["prompt"] = job.body["prompt"] + received_text
        if job.body.get("max_tokens"):
            body["max_tokens"] = max(1, job.body["max_tokens"] - job.response.tokens)
        return body

    def _record_outcome(self, job: CompletionJob, outcome: str) -> None:
        class_id = job.admitted.service_class.id
        self.metrics.requests.inc({"class": class_id, "outcome": outcome})
        if job.response.tokens:
            self.metrics.tokens.add({"class": class_id}, job.response.tokens)
            if outcome != "served":
                self.metrics.wasted_tokens.add({"class": class_id}, job.response.tokens)
