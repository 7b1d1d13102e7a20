"""What the first token of a request teaches about the speed of its upstream."""

from buckthornwall.pools import Choice, PoolTable

from .job import Job

__all__ = ["record_first_token"]


def record_first_token(
    pools: PoolTable, job: Job, choice: Choice, sent_at: float
) -> None:
    """Record how long an attempt sent at `sent_at` took to its first token.

    Nothing is recorded if an earlier attempt sent the first event.
    """
    first_sent_at = job.delivery.first_sent_at
    if job.request.prompt is None or first_sent_at is None or first_sent_at < sent_at:
        return
    pool = job.resolution.pool.id
    seen_s = first_sent_at - sent_at
    pools.wait_calibration(pool).record(job.resolution.rank, choice.wait_s, seen_s)
    if choice.is_prefill_idle and not choice.copy_from:
        usual_s = seen_s / choice.view.slowness(first_sent_at)
        pools.model(pool).record_first_token(choice.uncached_tokens, usual_s)
