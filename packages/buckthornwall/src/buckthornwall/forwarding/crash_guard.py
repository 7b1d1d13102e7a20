"""Detection and refusal of requests that crash upstreams."""

from buckthornwall.codes import Refusal, ResultCode
from buckthornwall.pools import Choice, PoolTable
from buckthornwall.quarantine import QuarantineTable, incarnation_tag
from buckthornwall.utils import Clock

from .attempt import AttemptEnd, AttemptResult
from .job import Job
from .liveness import LivenessChecks

__all__ = ["CrashGuard"]


class CrashGuard:
    """Refuses requests that crash upstreams.

    Parameters
    ----------
    quarantine
        Records of requests that crash upstreams.
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
            return None
        self.quarantine.record_refused(job.fingerprint, now)
        crashes = self.quarantine.crashes(job.fingerprint)
        return Refusal(
            ResultCode.REQUEST_QUARANTINED,
            f"crashes={crashes}",
            job.run,
            self.quarantine.settings.forget_s,
        )

    async def record(self, job: Job, choice: Choice, result: AttemptResult) -> bool:
        """Record the end of an attempt; return whether its upstream ended with it."""
        entry = choice.view.entry
        if result.end is AttemptEnd.DONE:
            now = self.clock.now()
            self.quarantine.record_success(job.fingerprint, entry.pool, now)
            return False
        is_listed = self.pools.views.get(entry.id) is choice.view
        if not result.is_connection_lost or not await self.liveness.has_ended(entry):
            return False
        if is_listed and not choice.view.is_leaving:  # else a planned departure
            tag = incarnation_tag(entry.pool, entry.id, entry.incarnation)
            self.quarantine.record_termination(job.fingerprint, tag, self.clock.now())
        return True
