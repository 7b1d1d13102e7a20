"""Detection and refusal of requests, and of parts of prompts, that crash upstreams."""

from buckthornwall.codes import Refusal, ResultCode
from buckthornwall.pools import Choice, PoolTable, UpstreamEntry
from buckthornwall.quarantine import (
    QuarantineTable,
    format_fingerprint,
    incarnation_tag,
)
from buckthornwall.utils import Clock

from .attempt import AttemptEnd, AttemptResult
from .job import Job
from .liveness import LivenessChecks

__all__ = ["CrashGuard"]


class CrashGuard:
    """Refuses requests that crash upstreams, by themselves or by a part of the prompt.

    Parameters
    ----------
    quarantine
        Records of requests and parts that crash upstreams.
    pools
        Registered upstreams.
    liveness
        Distinguishes an upstream that ended from a lost connection.
    clock
        Source of time.
    """

    def __init__(
        self,
        quarantine: QuarantineTable,
        pools: PoolTable,
        liveness: LivenessChecks,
        clock: Clock,
    ) -> None:
        self.quarantine = quarantine
        self.pools = pools
        self.liveness = liveness
        self.clock = clock

    def refusal(self, job: Job) -> Refusal | None:
        """Return a refusal if the request crashes upstreams, else None."""
        now = self.clock.now()
        if not self.quarantine.is_refused(job.fingerprint, now):
            return self._refusal_of_part(job, now)
        self.quarantine.record_refused(job.fingerprint, now)
        crashes = self.quarantine.crashes(job.fingerprint)
        return Refusal(
            ResultCode.REQUEST_QUARANTINED,
            f"crashes={crashes}",
            job.run,
            self.quarantine.settings.forget_s,
        )

    def _refusal_of_part(self, job: Job, now: float) -> Refusal | None:
        pool = job.resolution.pool.id
        refused = self.quarantine.find_refused_parts(job.parts, pool, now)
        if refused is None:
            return None
        fingerprints = ",".join(map(format_fingerprint, sorted(refused.group)))
        return Refusal(
            ResultCode.PART_QUARANTINED,
            f"crashes={refused.crashes} parts={fingerprints}",
            job.run,
            refused.retry_after_s,
        )

    def record_answer(self, job: Job, choice: Choice) -> None:
        """Record that an upstream has begun to answer a request."""
        if job.parts:
            pool, now = choice.view.entry.pool, self.clock.now()
            self.quarantine.record_answer(job.parts, pool, now)

    async def record(
        self, job: Job, choice: Choice, result: AttemptResult, sent_at: float
    ) -> bool:
        """Record the end of an attempt; return whether its upstream ended with it."""
        entry = choice.view.entry
        if result.end is AttemptEnd.DONE:
            now = self.clock.now()
            self.quarantine.record_success(job.fingerprint, entry.pool, now)
            self.record_answer(job, choice)
            return False
        is_listed = self.pools.views.get(entry.id) is choice.view
        was_ended = self.liveness.ended_before(entry.id, sent_at)
        if not result.is_connection_lost or not await self.liveness.has_ended(entry):
            return False
        if is_listed and not choice.view.is_leaving:  # else a planned departure
            self._record_termination(job, entry, result.began or was_ended)
        return True

    def _record_termination(
        self, job: Job, entry: UpstreamEntry, is_exonerated: bool
    ) -> None:
        """Record an upstream that ended while serving a request.

        The parts of the request are suspected unless it was answered, or sent too late.
        """
        tag = incarnation_tag(entry.pool, entry.id, entry.incarnation)
        now = self.clock.now()
        self.quarantine.record_termination(job.fingerprint, tag, now)
        if is_exonerated or not job.parts:
            return
        names = dict.fromkeys(job.request.prompt.shareable_parts)
        for part, name in zip(job.parts, names, strict=True):
            self.quarantine.record_part_termination(part, name, tag, now)
