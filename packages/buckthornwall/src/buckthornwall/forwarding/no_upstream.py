"""Refusals of requests for which no upstream is available."""

from buckthornwall.codes import Refusal, ResultCode
from buckthornwall.pools import PoolTable, record_decision, retry_after_s

from .job import Job

__all__ = ["NO_UPSTREAM_RETRY_S", "refusal_without_upstream"]

NO_UPSTREAM_RETRY_S = 0.3
# Used where only an operator or a returning upstream makes one available again.
NONE_ALLOWED_RETRY_S = 1.0
MIN_RESTING_RETRY_S = 0.05
LIMIT_CODES = frozenset(
    {
        ResultCode.UPSTREAMS_LIMITED,
        ResultCode.UPSTREAMS_BRITTLE,
        ResultCode.UPSTREAMS_RESTING,
    }
)


def refusal_without_upstream(pools: PoolTable, job: Job) -> Refusal:
    """Return the refusal of a request for which no upstream is left.

    Refusals for limits of the upstreams are recorded in the ledger.
    """
    refusal = _find_refusal(pools, job)
    if refusal.code in LIMIT_CODES:
        record_decision(pools, job.traits, False, pools.clock.now())
    return refusal


def _find_refusal(pools: PoolTable, job: Job) -> Refusal:
    if job.runs_here:
        return Refusal(ResultCode.UPSTREAM_BROKEN, job.detail, job.run)
    pool, permitted = job.resolution.pool.id, job.traits.permitted
    if job.traits.versions is not None and not pools.has_ready(pool, permitted):
        return _none_allowed_refusal(ResultCode.STREAM_VERSION_GONE)
    if pools.is_resting(pool, permitted):
        # When a rest ends is known, and a client that returns before is refused again.
        wait_s = max(MIN_RESTING_RETRY_S, pools.limit_wait_s(pool, permitted))
        code = ResultCode.UPSTREAMS_RESTING
        return Refusal(code, job.detail, retry_after_s=wait_s)
    if job.tried or job.peers:
        code = ResultCode.UPSTREAM_UNREACHABLE
        return Refusal(code, job.detail, retry_after_s=NO_UPSTREAM_RETRY_S)
    if not pools.has_ready(pool, permitted):
        return _none_allowed_refusal(ResultCode.REGIONS_WITHOUT_UPSTREAM)
    if pools.is_evacuated(pool, permitted):
        return _none_allowed_refusal(ResultCode.UPSTREAMS_EVACUATED)
    if pools.is_brittle(pool, permitted):
        wait_s = retry_after_s(pools.limit_wait_s(pool, permitted))
        return Refusal(ResultCode.UPSTREAMS_BRITTLE, retry_after_s=wait_s)
    if pools.is_limited(pool, permitted):
        wait_s = retry_after_s(pools.limit_wait_s(pool, permitted))
        return Refusal(ResultCode.UPSTREAMS_LIMITED, retry_after_s=wait_s)
    return Refusal(ResultCode.NO_ENGINE, job.detail, retry_after_s=NO_UPSTREAM_RETRY_S)


def _none_allowed_refusal(code: ResultCode) -> Refusal:
    return Refusal(code, retry_after_s=NONE_ALLOWED_RETRY_S)
