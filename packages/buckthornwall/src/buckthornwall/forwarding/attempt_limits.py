"""Limits of an attempt: whether another may follow, and how long it may be silent."""

from buckthornwall.pools import Choice, PoolTable, expected_s
from buckthornwall.routing import ResponseMode

from .job import Job

__all__ = [
    "event_timeout_s",
    "head_timeout_s",
    "max_idle_s",
    "may_run_again",
]

# An upstream that sends no reply is given up after this multiple of the target, or this
# fraction of the remaining time, if another may be tried.
HEAD_TIMEOUT_TARGETS = 4.0
HEAD_TIMEOUT_FRACTION = 0.5
# A resumable stream is given up before its first event after these multiples of the
# target or of the expected wait, and later after this multiple of the longest pause
# that its route allows. A connection may go silent for good without a reset, and
# clients leave after eight such pauses.
STREAM_HEAD_TIMEOUT_TARGETS = 2.0
STREAM_HEAD_TIMEOUT_WAITS = 3.0
EVENT_TIMEOUT_PAUSES = 4.0


def may_run_again(job: Job) -> bool:
    """Return whether the request may run again after the next attempt."""
    route = job.resolution.route
    return route.may_repeat and job.runs + 1 < route.max_runs


def max_idle_s(job: Job, once_idle_s: float) -> float:
    """Return the longest idle time of a connection for this request, in seconds.

    A request sent on a connection that the upstream has closed meanwhile is lost, and
    cannot be known not to have run.
    """
    return float("inf") if job.resolution.route.may_repeat else once_idle_s


def head_timeout_s(
    pools: PoolTable, job: Job, choice: Choice, remaining_s: float
) -> float | None:
    """Return the timeout for the head of a reply, None if no other may be tried."""
    if not may_run_again(job):
        return None
    route = job.resolution.route
    limit_s = HEAD_TIMEOUT_TARGETS * route.target_s
    if route.response_mode is ResponseMode.EVENT_STREAM:
        limit_s = max(
            STREAM_HEAD_TIMEOUT_TARGETS * route.target_s,
            STREAM_HEAD_TIMEOUT_WAITS * expected_s(pools, job.traits, choice),
        )
    return min(remaining_s * HEAD_TIMEOUT_FRACTION, limit_s)


def event_timeout_s(job: Job) -> float | None:
    """Return the timeout for the next event, None if no other may continue."""
    if not may_run_again(job):
        return None
    return EVENT_TIMEOUT_PAUSES * job.resolution.route.max_pause_s or None
