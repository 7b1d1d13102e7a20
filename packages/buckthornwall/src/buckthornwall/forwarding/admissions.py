"""Admission of requests by the expected time of their response."""

from dataclasses import dataclass

from buckthornwall.codes import Refusal, ResultCode
from buckthornwall.pools import Choice, PoolTable, find_overload, record_decision
from buckthornwall.utils import Clock

from .job import Job

__all__ = ["Admissions"]


@dataclass(frozen=True, slots=True)
class Admissions:
    """Admits and refuses requests, and keeps the ledgers of their pools."""

    pools: PoolTable
    clock: Clock

    def refusal(self, job: Job, choice: Choice) -> Refusal | None:
        """Return a refusal if the expected response is far too late, else None.

        A request that was sent before is not refused.
        """
        if job.tried or job.runs:
            return None
        now = self.clock.now()
        time_left_s = job.deadline - now
        overload = find_overload(self.pools, job.traits, choice, now, time_left_s)
        job.admission = record_decision(
            self.pools, job.traits, overload is None, now, choice
        )
        if overload is None:
            return None
        job.overload = overload
        job.last_choice = choice
        detail = f"expected_ms={overload.expected_s * 1000:.0f}"
        return Refusal(
            ResultCode.OVERLOADED, detail, retry_after_s=overload.retry_after_s
        )

    def record_begun(self, job: Job) -> None:
        """Record in the ledger that the response to an admitted request began."""
        if job.admission is not None:
            ledger = self.pools.ledger(job.resolution.pool.id)
            ledger.record_begun(job.admission, self.clock.now())
            job.admission = None

    def record_unserved(self, job: Job) -> None:
        """Record in the ledger that an admitted request got no response, if so.

        One that ends before its target failed, or its client left, for other reasons
        than the load, and so does one that this instance could send nowhere.
        """
        admission = job.admission
        if admission is None:
            return
        ledger, now = self.pools.ledger(job.resolution.pool.id), self.clock.now()
        ledger.record_ended(admission)
        if self.pools.isolation.is_isolated:
            return
        if now - job.request.received_at >= job.resolution.route.target_s:
            ledger.record_refused(admission.rank, admission.tokens, now)
