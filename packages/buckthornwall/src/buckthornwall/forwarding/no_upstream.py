"""Refusals of requests for which no upstream is available."""

from buckthornwall.codes import Refusal, ResultCode
from buckthornwall.pools import PoolTable, retry_after_s

from .job import Job

__all__ = ["NO_UPSTREAM_RETRY_S", "refusal_without_upstream"]

NO_UPSTREAM_RETRY_S = 0.3
# Used where only an operator or a returning upstream makes one available again.
NONE_ALLOWED_RETRY_S = 1.0
MIN_RESTING_RETRY_S = 0.05


def refusal_without_upstream(pools: PoolTable, job: Job) -> Refusal:
    """Return the refusal of a request for which no upstream is left."""
    if job.runs_here:
        return Refusal(ResultCode.UPSTREAM_BROKEN, job.detail, job.run)
    pool, regions = job.resolution.pool.id, job.resolution.regions
    if pools.is_resting(pool, regions):
        # When a rest ends is known, and a client that returns before is refused again.
        wait_s = max(MIN_RESTING_RETRY_S, pools.limit_wait_s(pool, regions))
        code = ResultCode.UPSTREAMS_RESTING
        return Refusal(code, job.detail, retry_after_s=wait_s)
    if job.tried or job.peers:
        code = ResultCode.UPSTREAM_UNREACHABLE
        return Refusal(code, job.detail, retry_after_s=NO_UPSTREAM_RETRY_S)
    if not pools.has_ready_in(pool, regions):
        return _none_allowed_refusal(ResultCode.REGIONS_WITHOUT_UPSTREAM)
    if pools.is_evacuated(pool, regions):
        return _none_allowed_refusal(ResultCode.UPSTREAMS_EVACUATED)
    if pools.is_brittle(pool, regions):
        wait_s = retry_after_s(pools.limit_wait_s(pool, regions))
        return Refusal(ResultCode.UPSTREAMS_BRITTLE, retry_after_s=wait_s)
    if pools.is_limited(pool, regions):
        wait_s = retry_after_s(pools.limit_wait_s(pool, regions))
        return Refusal(ResultCode.UPSTREAMS_LIMITED, retry_after_s=wait_s)
    return Refusal(ResultCode.NO_ENGINE, job.detail, retry_after_s=NO_UPSTREAM_RETRY_S)


def _none_allowed_refusal(code: ResultCode) -> Refusal:
    return Refusal(code, retry_after_s=NONE_ALLOWED_RETRY_S)
