"""Outstanding work of instances at upstreams, and sums of it."""

from buckthornwall.pools.load import NO_PEERS, Load, PeerLoad
from buckthornwall.utils import UpstreamId, add_counts

from .messages import Work

__all__ = ["NO_WORK", "add_work", "subtract_local", "outstanding_work"]

NO_WORK = Work()
MS_PER_S = 1000.0
# Shorter waits add bytes, but nothing that the pending prefill tokens do not show.
MIN_REPORTED_WAIT_S = 0.2


def outstanding_work(load: Load, now: float, has_waits: bool = True) -> Work:
    """Return the outstanding work of this instance at an upstream.

    Without `has_waits`, how long it has waited says nothing about the upstream.
    """
    oldest_wait_ms = {
        rank: int(age * MS_PER_S)
        for rank, age in load.waits.oldest_wait_s(now).items()
        if has_waits and age >= MIN_REPORTED_WAIT_S
    }
    return Work(
        load.requests,
        dict(load.pending_prefill),
        load.pause_sensitive,
        oldest_wait_ms,
        load.memory,
    )


def add_work(total: dict[UpstreamId, Work], added: dict[UpstreamId, Work]) -> None:
    """Add the work of some instances to a total."""
    for upstream, work in added.items():
        previous = total.get(upstream, NO_WORK)
        pending_prefill = dict(previous.pending_prefill)
        for rank, tokens in work.pending_prefill.items():
            pending_prefill[rank] = add_counts(pending_prefill.get(rank, 0), tokens)
        oldest_wait_ms = dict(previous.oldest_wait_ms)
        for rank, age in work.oldest_wait_ms.items():
            oldest_wait_ms[rank] = max(age, oldest_wait_ms.get(rank, 0))
        total[upstream] = Work(
            add_counts(previous.requests, work.requests),
            pending_prefill,
            add_counts(previous.pause_sensitive, work.pause_sensitive),
            oldest_wait_ms,
            add_counts(previous.memory, work.memory),
        )


def subtract_local(work: Work, local: Work) -> PeerLoad:
    """Return a sum less the share of this instance.

    The oldest waits stay, whichever instance sent the request.
    """
    requests = max(0, work.requests - local.requests)
    pending_prefill = {
        rank: tokens - local.pending_prefill.get(rank, 0)
        for rank, tokens in work.pending_prefill.items()
        if tokens > local.pending_prefill.get(rank, 0)
    }
    if not requests and not pending_prefill:
        return NO_PEERS
    oldest_wait_s = {rank: age / MS_PER_S for rank, age in work.oldest_wait_ms.items()}
    return PeerLoad(
        requests,
        pending_prefill,
        max(0, work.pause_sensitive - local.pause_sensitive),
        oldest_wait_s,
        max(0, work.memory - local.memory),
    )
