"""Log lines and metrics of requests."""

import math
from collections.abc import Callable

from buckthornwall.codes import Refusal
from buckthornwall.http1 import ExchangeFailure
from buckthornwall.pools import Choice, TeamStanding
from buckthornwall.quarantine import format_fingerprint
from buckthornwall.telemetry import RouterMetrics, log_event
from buckthornwall.utils import Clock

from .attempt import AttemptEnd, AttemptResult
from .job import Job, Prediction

__all__ = ["RequestTelemetry"]


class RequestTelemetry:
    """Logs and counts requests, with the inputs of each decision.

    Parameters
    ----------
    metrics
        Metrics of this instance.
    clock
        Source of time.
    """

    def __init__(self, metrics: RouterMetrics, clock: Clock) -> None:
        self.metrics = metrics
        self.clock = clock
        # Returns the log fields on the age of the configuration, for requests without a
        # route.
        self.describe_freshness: Callable[[], dict[str, object]] = dict

    def record_refusal(
        self, request_id: str, job: Job | None, refusal: Refusal, status: int
    ) -> None:
        """Log and count a refusal; `job` is None if no route was resolved."""
        self.metrics.refusals.inc({"code": refusal.code.name})
        if job is not None and job.overload is not None:
            reason = job.overload.reason.value
            tier = str(job.resolution.route.tier)
            self.metrics.overload_refusals.inc({"tier": tier, "reason": reason})
        self._count_end(job, "refused")
        log_event(
            "request_refused",
            "WARNING",
            request=request_id,
            code=refusal.code.number,
            status=status,
            run=refusal.run.value,
            retry_after_s=round(refusal.retry_after_s or 0, 2),
            detail=refusal.detail,
            **self._describe(job),
            **_describe_overload(job),
        )

    def record_budget_spent(self, job: Job, instances: float) -> None:
        """Log and count that the retry budget is spent when a request needs a retry."""
        self.metrics.retries_denied.inc(
            {"pool": job.resolution.pool.id, "tier": str(job.resolution.route.tier)}
        )
        log_event(
            "budget_spent",
            "WARNING",
            request=job.request.id,
            pool=job.resolution.pool.id,
            rank=job.resolution.rank,
            instances=round(instances, 1),
        )

    def _describe(self, job: Job | None) -> dict[str, object]:
        """Return the log fields that describe a request and its attempts."""
        if job is None:
            return self.describe_freshness()
        now = self.clock.now()
        first_at = job.delivery.first_sent_at
        choice = job.last_choice
        received_at = job.request.received_at
        return {
            "fingerprint": format_fingerprint(job.fingerprint),
            "route": job.resolution.route.id,
            "pool": job.resolution.pool.id,
            "team": job.resolution.team,
            "tier": job.resolution.route.tier,
            "rank": job.resolution.rank,
            "number": job.resolution.number,
            "upstream": choice.view.id if choice else "",
            "version": choice.view.entry.version or "" if choice else "",
            "began_at_version": job.origin.version if job.origin is not None else "",
            "arrivals": job.arrivals,
            "tried": len(job.tried),
            "age_ms": round((now - received_at) * 1000),
            "first_ms": round((first_at - received_at) * 1000) if first_at else "",
            "pause_ms": round(job.delivery.longest_pause_s * 1000),
        }

    def record_placement(self, job: Job, choice: Choice, expected_s: float) -> None:
        """Log the upstream of an attempt and the inputs of its choice."""
        view = choice.view
        job.prediction = Prediction(self.clock.now(), expected_s, choice.pause_s)
        log_event(
            "request_placed",
            request=job.request.id,
            fingerprint=format_fingerprint(job.fingerprint),
            parts=_format_parts(job),
            upstream=view.id,
            version=view.entry.version,
            attempt=len(job.tried),
            resumes_after=job.delivery.joiner.last_id,
            rank=job.resolution.rank,
            fresh_tokens=choice.uncached_tokens,
            copy_from=choice.copy_from,
            unread_before=view.load.pending_prefill_before(job.resolution.rank),
            oldest_ms=round(choice.oldest_wait_s * 1000),
            expected_ms=round(expected_s * 1000),
            expected_pause_ms=round(choice.pause_s * 1000),
            in_flight=view.load.in_flight(self.clock.now()),
            in_flight_of_peers=view.load.peers.requests,
            slowness=round(view.slowness(self.clock.now()), 2),
            report_age_ms=view.load.report_age_ms(self.clock.now()),
            remaining_ms=round((job.deadline - self.clock.now()) * 1000),
        )

    def record_attempt(
        self,
        job: Job,
        choice: Choice,
        result: AttemptResult,
        sent_at: float,
        upstream_ended: bool,
    ) -> None:
        """Count the end of an attempt, and log it if it failed."""
        upstream = choice.view.id
        now = self.clock.now()
        self.metrics.attempts.inc({"upstream": upstream, "end": result.end.value})
        if result.failure is ExchangeFailure.TIMED_OUT:
            self.metrics.timeouts.inc({"tier": str(job.resolution.route.tier)})
        if result.end is AttemptEnd.DONE:
            return
        log_event(
            "attempt_failed",
            "WARNING",
            request=job.request.id,
            upstream=upstream,
            fingerprint=format_fingerprint(job.fingerprint),
            end=result.end.value,
            detail=result.detail,
            began=result.began,
            parts=_format_parts(job),
            **_describe_framing(job),
            upstream_ended=upstream_ended,
            rank=job.resolution.rank,
            waited_ms=round((now - sent_at) * 1000),
            upstream_quiet_ms=_silent_ms(choice, now),
            unread_before=choice.view.load.pending_prefill_before(job.resolution.rank),
            oldest_ms=round(
                choice.view.load.oldest_wait_before_s(job.resolution.rank, now) * 1000
            ),
            busy_share=round(choice.slot_utilization, 2),
            remaining_ms=round((job.deadline - now) * 1000),
        )

    def _count_end(self, job: Job | None, outcome: str) -> None:
        if job is None:
            self.metrics.requests.inc({"tier": "", "outcome": outcome})
            return
        tier = {"tier": str(job.resolution.route.tier)}
        received_at = job.request.received_at
        delivery = job.delivery
        self.metrics.requests.inc(tier | {"outcome": outcome})
        self.metrics.request_duration.add(
            tier | {"outcome": outcome}, self.clock.now() - received_at
        )
        if delivery.first_sent_at is not None:
            self.metrics.first_token.add(tier, delivery.first_sent_at - received_at)
        if delivery.joiner.event_count > 1:
            self.metrics.pause.add(tier, delivery.longest_pause_s)
            self._record_prediction_errors(job, tier)

    def _record_prediction_errors(self, job: Job, tier: dict[str, str]) -> None:
        """Count the prediction errors of a stream with one attempt."""
        if len(job.tried) != 1 or job.prediction is None:
            return
        seen_s = job.delivery.first_sent_at - job.prediction.placed_at
        self.metrics.first_token_error.add(
            tier, abs(seen_s - job.prediction.first_token_s)
        )
        pause_s = job.delivery.longest_pause_s
        self.metrics.pause_error.add(tier, abs(pause_s - job.prediction.pause_s))

    def record_end(self, job: Job, outcome: str) -> None:
        """Log and count the end of a request that was not refused."""
        self._count_end(job, outcome)
        log_event(
            "request_finished",
            "INFO" if outcome == "answered" else "WARNING",
            request=job.request.id,
            outcome=outcome,
            status=job.delivery.status,
            detail=job.detail,
            events=job.delivery.joiner.event_count,
            **_describe_framing(job),
            **self._describe(job),
        )


def _describe_framing(job: Job) -> dict[str, object]:
    """Return the log fields on the framing and the end of the last reply."""
    framing = job.delivery.framing
    return {
        "framing": framing.value if framing is not None else "",
        "partial_bytes": job.delivery.joiner.partial_bytes,
    }


def _format_parts(job: Job) -> str:
    """Return the ids of the prompt segments that other prompts may share."""
    prompt = job.request.prompt
    return "" if prompt is None else ",".join(prompt.shareable_parts)


def _describe_overload(job: Job | None) -> dict[str, object]:
    """Return the log fields of an overload refusal, or none."""
    overload = job.overload if job is not None else None
    if overload is None:
        return {}
    return {
        "reason": overload.reason.value,
        "counted_ms": round(overload.count_based_s * 1000),
        "own_ms": round(overload.own_prefill_s * 1000),
        "oldest_ms": round(overload.oldest_wait_s * 1000),
        "target_ms": round(overload.target_s * 1000),
        "least_ms": round(overload.min_expected_s * 1000),
        "busy_share": round(overload.slot_utilization, 2),
        "admitted_below": overload.balance.admitted_below,
        "refused_so_far": overload.balance.refused,
        "refused_above": overload.balance.refused_above,
        "waiting_below": overload.balance.waiting_below,
        "mean_wait_ms": round(overload.mean_wait_s * 1000),
        "shed_share": round(overload.shed_share, 2),
        "remaining_ms": _format_time_left(overload.time_left_s),
        **_describe_team(overload.team),
    }


def _describe_team(team: TeamStanding | None) -> dict[str, object]:
    """Return the log fields of a team's share, or none while room was not short."""
    if team is None:
        return {}
    return {
        "team_demand": team.demand,
        "team_share": team.share,
        "team_refused_share": round(team.refused_share, 2),
        "team_age_ms": round(team.age_s * 1000),
    }


def _format_time_left(time_left_s: float) -> int | str:
    """Return how long a client still waits in milliseconds, or '' if unknown."""
    return "" if math.isinf(time_left_s) else round(time_left_s * 1000)


def _silent_ms(choice: Choice, now: float) -> int | str:
    """Return the time since the last data from an upstream, or '' if none."""
    answered_at = choice.view.reachability.answered_at
    return "" if math.isinf(answered_at) else round((now - answered_at) * 1000)
