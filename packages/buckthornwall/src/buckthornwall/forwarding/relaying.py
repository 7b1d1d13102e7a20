"""Forwarding of requests through a peer while no upstream can be reached."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from buckthornwall.capacity import MemoryFull
from buckthornwall.codes import Executed, Refusal, ResultCode
from buckthornwall.engine_model import EngineModel
from buckthornwall.peers.relay_candidates import RelayCandidate
from buckthornwall.pools import (
    Choice,
    PoolTable,
    RequestTraits,
    UpstreamEntry,
    UpstreamState,
    UpstreamView,
)
from buckthornwall.pools.isolation import Isolation
from buckthornwall.routing import RoutedRequest
from buckthornwall.telemetry import RouterMetrics, log_event
from buckthornwall.utils import Clock, UpstreamId, ZoneId

from .attempt import Attempt, AttemptEnd, AttemptResult
from .attempt_limits import (
    HEAD_TIMEOUT_FRACTION,
    event_timeout_s,
    max_idle_s,
    may_run_again,
)
from .budgets import RetryBudgets
from .completeness import CompletenessChecks
from .connections import ConnectionCache
from .job import Job
from .relay_messages import (
    RELAY_PATH,
    RELAY_STREAM_PATH,
    encode_relayed,
    relayed_request,
)
from .relay_order import choose_peer
from .reply import WireCodec
from .reply_memory import ReplyMemory

__all__ = ["Relaying", "reached_before"]

MAX_PEERS = 2
# A peer gives up a silent upstream itself. It is given up after this multiple of the
# time that it grants its upstream.
SILENT_UPSTREAMS = 2.0
# How long a peer that failed or declined is asked only after all others.
FAILED_S = 1.0
# Refusals of a peer that another peer may not share.
DECLINING_CODES = frozenset(
    {
        ResultCode.NOT_READY,
        ResultCode.UPSTREAM_UNREACHABLE,
        ResultCode.PEER_MESSAGE,
    }
)


@dataclass(slots=True)
class Relaying:
    """Forwards the requests of an isolated instance through its peers.

    `candidates` returns the instances that reach upstreams, and `codec` translates to
    and from the headers between instances; without it nothing is forwarded.
    `spend_retry` takes a retry from the budget, and returns False if it is spent.
    `is_bound` returns whether a request is a stream that may only be continued at the
    software version that began it, which earlier builds do not know.
    """

    zone: ZoneId
    isolation: Isolation
    candidates: Callable[[], list[RelayCandidate]]
    clock: Clock
    connections: ConnectionCache
    once_idle_s: float
    budgets: RetryBudgets
    completeness: CompletenessChecks
    reply_memory: ReplyMemory
    spend_retry: Callable[[Job], bool]
    metrics: RouterMetrics
    is_bound: Callable[[Job], bool]
    codec: WireCodec | None = None
    failed_at: dict[str, float] = field(default_factory=dict)

    def is_due(self, job: Job) -> bool:
        """Return whether a request is to be forwarded through a peer now."""
        return (
            self.isolation.is_isolated
            and job.request.relay_origin is None
            and self.codec is not None
            and job.traits.versions != frozenset()
            and self._next_peer(job) is not None
        )

    def is_exhausted(self, job: Job) -> bool:
        """Return whether no peer is left for a request that needs one."""
        return self.isolation.is_isolated and bool(job.peers)

    def refusal(self, job: Job) -> Refusal | None:
        """Return a refusal if a peer forwarded the request to this isolated instance.

        It is forwarded once at most.
        """
        if job.request.relay_origin is None or not self.isolation.is_isolated:
            return None
        return Refusal(ResultCode.NOT_READY, "isolated", job.run)

    async def attempt(self, job: Job) -> AttemptResult:
        """Forward a request through the next peer; return the result.

        The request is settled if the peer has refused it, or has passed on a failure:
        it has tried what it could.
        """
        peer = self._next_peer(job)
        job.peers.append(peer.address)
        with self.reply_memory.budget.hold() as held:
            try:
                held.resize(len(job.request.body))  # the message has a copy
            except MemoryFull:
                return AttemptResult(AttemptEnd.NOT_SENT, "memory")
            return await self._attempt_at(job, peer)

    async def _attempt_at(self, job: Job, peer: RelayCandidate) -> AttemptResult:
        attempt = self._make_attempt(job, peer)
        job.last_choice, job.prediction = attempt.choice, None
        self._log_sent(job, peer, attempt.remaining_s)
        # The peer may run it until it says otherwise.
        job.runs += 1
        sent_at = self.clock.now()
        received = await attempt.run()
        result = received
        if result.end in (AttemptEnd.NOT_SENT, AttemptEnd.NOT_RUN):
            job.runs -= 1
        elif result.reply is not None:
            job.runs += max(0, result.reply.runs - 1)
        result = _outcome(result)
        if result.end is not AttemptEnd.DONE:
            job.detail = result.detail
            self._record_failure(job, peer, result, sent_at)
        if result.end is not AttemptEnd.NOT_SENT:
            # The peer has counted the request too.
            self.budgets.take_back(job.resolution.pool.id)
        if (refusal := _peer_refusal(result)) is not None:
            job.peer_refusal = Refusal(
                refusal.code, refusal.detail, job.run, refusal.retry_after_s
            )
        elif result.end is AttemptEnd.FAILED:
            job.record_failed(result)
        if received.held is not None and job.last_failed is not result:
            received.held.close()
        job.is_settled = refusal is not None or result.end is AttemptEnd.FAILED
        self.metrics.relays.inc({"end": result.end.value})
        return result

    def _next_peer(self, job: Job) -> RelayCandidate | None:
        if len(job.peers) >= MAX_PEERS:
            return None
        limit = self.clock.now() - FAILED_S
        self.failed_at = {peer: at for peer, at in self.failed_at.items() if at > limit}
        return choose_peer(
            job.request.id, self.zone, self.candidates(), job.peers, self.failed_at
        )

    def _make_attempt(self, job: Job, peer: RelayCandidate) -> Attempt:
        """Return an attempt whose upstream is the peer."""
        now = self.clock.now()
        remaining_s = job.deadline - now
        pause_s = event_timeout_s(job)
        body = encode_relayed(relayed_request(job, now))
        path = RELAY_STREAM_PATH if self.is_bound(job) else RELAY_PATH
        request = replace(
            job.request, method=b"POST", target=path, body=body, prompt=None
        )
        return Attempt(
            request=request,
            resolution=job.resolution,
            choice=Choice(_view_of(job, peer), 0, 0.0, 0.0, 0.0),
            delivery=job.delivery,
            connections=self.connections,
            codec=self.codec,
            clock=self.clock,
            remaining_s=remaining_s,
            max_idle_s=max_idle_s(job, self.once_idle_s),
            head_timeout_s=(
                remaining_s * HEAD_TIMEOUT_FRACTION if may_run_again(job) else None
            ),
            note_prompt=lambda view, prompt: None,
            record_rate_limit=lambda view, limit: None,
            record_brittle=lambda view, per_s: None,
            record_notice=lambda view, notice: None,
            model=EngineModel(),
            should_give_up=lambda: self.is_due(job) and self.spend_retry(job),
            find_obstacle=lambda view: None,
            completeness=self.completeness,
            reply_memory=self.reply_memory,
            event_timeout_s=pause_s and pause_s * SILENT_UPSTREAMS,
        )

    def _log_sent(self, job: Job, peer: RelayCandidate, remaining_s: float) -> None:
        log_event(
            "request_relayed",
            request=job.request.id,
            peer=peer.address,
            zone=peer.zone,
            reason="isolated",
            attempt=len(job.peers),
            runs=job.runs,
            rank=job.resolution.rank,
            resumes_after=job.delivery.joiner.last_id,
            remaining_ms=round(remaining_s * 1000),
        )

    def _record_failure(
        self, job: Job, peer: RelayCandidate, result: AttemptResult, sent_at: float
    ) -> None:
        """Log an attempt that failed, and ask its peer after others if it did."""
        now = self.clock.now()
        is_declined = result.end is AttemptEnd.NOT_SENT
        if is_declined or result.end is AttemptEnd.BROKEN:
            self.failed_at[peer.address] = now
        log_event(
            "relay_declined" if is_declined else "relay_failed",
            "WARNING",
            request=job.request.id,
            peer=peer.address,
            zone=peer.zone,
            end=result.end.value,
            detail=result.detail,
            attempt=len(job.peers),
            runs=job.runs,
            waited_ms=round((now - sent_at) * 1000),
            remaining_ms=round((job.deadline - now) * 1000),
        )


def reached_before(
    pools: PoolTable, request: RoutedRequest, traits: RequestTraits
) -> set[UpstreamId]:
    """Return the upstreams that a peer tried before it forwarded a request here.

    None if there are no others: they may have failed because the peer is isolated.
    """
    origin = request.relay_origin
    if origin is None:
        return set()
    reached = set(origin.reached)
    pool = traits.resolution.pool.id
    has_others = pools.usable(pool, reached, traits.permitted)
    return reached if has_others else set()


def _view_of(job: Job, peer: RelayCandidate) -> UpstreamView:
    """Return a view of the peer, which is in no pool."""
    return UpstreamView(
        UpstreamEntry(
            UpstreamId(f"peer {peer.address}"),
            job.resolution.pool.id,
            peer.address,
            peer.zone,
            1,
            UpstreamState.READY,
            version=None,
        )
    )


def _peer_refusal(result: AttemptResult) -> Refusal | None:
    return result.reply.refusal if result.reply is not None else None


def _outcome(result: AttemptResult) -> AttemptResult:
    """Return the result as that of the upstreams behind the peer.

    Nothing was sent to them if the peer declined. If it declines the rest of a request
    that it may have run, it counts as broken.
    """
    refusal = _peer_refusal(result)
    if refusal is None:
        if result.end is not AttemptEnd.NOT_RUN:
            return result
        return AttemptResult(AttemptEnd.NOT_SENT, f"other build, {result.detail}")
    detail = f"{refusal.code.number} {refusal.detail}"
    if refusal.code in DECLINING_CODES:
        is_run = refusal.run is not Executed.NO
        return AttemptResult(
            AttemptEnd.BROKEN if is_run else AttemptEnd.NOT_SENT, detail
        )
    return replace(result, detail=detail)
