"""Which requests are refused for overload, and when they are to come back."""

from dataclasses import dataclass
from enum import Enum

from .expectation import count_based_s, expected_on_engine_s, expected_s
from .overload import is_hopeless, is_loaded, is_overloaded, retry_after_s
from .placement import Choice
from .table import PoolTable
from .traits import RequestTraits
from .view import UpstreamView

__all__ = [
    "Overload",
    "RefusalReason",
    "find_overload",
    "has_deficit",
    "record_decision",
]


class RefusalReason(Enum):
    """Why a request is refused for overload."""

    LATE = "late"  # its first token would come far too late
    YIELDS = "yields"  # more urgent ones were refused lately


@dataclass(frozen=True, slots=True)
class Overload:
    """Why a request is refused, and when it is to come back; all in seconds.

    `expected_s` is when its first token is expected at the engine chosen,
    `count_based_s` the same by the counts alone, `own_prefill_s` the reading of its own
    prompt, and `oldest_wait_s` how long the oldest request before it has waited.
    `min_expected_s` is what is expected at the engine of the pool where it is least.
    """

    reason: RefusalReason
    expected_s: float
    count_based_s: float
    own_prefill_s: float
    oldest_wait_s: float
    target_s: float
    min_expected_s: float
    retry_after_s: float


def find_overload(
    pools: PoolTable, traits: RequestTraits, choice: Choice, now: float
) -> Overload | None:
    """Return why a request is refused at once, or None to take it.

    Parameters
    ----------
    pools
        What is known of upstreams.
    traits
        The request; one with nothing more urgent than it is always taken.
    choice
        Where it would go.
    now
        The time in seconds.
    """
    resolution = traits.resolution
    if traits.prompt is None or resolution.urgent:
        return None
    wait_s = expected_s(pools, traits, choice)
    usable = pools.usable(resolution.pool.id, frozenset(), resolution.regions)
    reason = _refusal_reason(pools, traits, choice, usable, now)
    if reason is None:
        return None
    return Overload(
        reason=reason,
        expected_s=wait_s,
        count_based_s=count_based_s(pools, traits, choice),
        own_prefill_s=choice.own_prefill_s,
        oldest_wait_s=choice.oldest_wait_s,
        target_s=resolution.route.target_s,
        min_expected_s=min(
            expected_on_engine_s(pools, traits, view, now) for view in usable
        ),
        retry_after_s=retry_after_s(wait_s),
    )


def record_decision(
    pools: PoolTable, traits: RequestTraits, is_admitted: bool, now: float
) -> None:
    """Record that a prompt was let in, or refused for overload."""
    if traits.prompt is None:
        return
    resolution = traits.resolution
    ledger = pools.ledger(resolution.pool.id)
    record = ledger.record_admitted if is_admitted else ledger.record_refused
    record(resolution.rank, traits.prompt.prompt_tokens, now)


def _refusal_reason(
    pools: PoolTable,
    traits: RequestTraits,
    choice: Choice,
    usable: list[UpstreamView],
    now: float,
) -> RefusalReason | None:
    """Return why a request is refused where it would go, or None to take it."""
    wait_s = expected_s(pools, traits, choice)
    target_s = traits.resolution.route.target_s
    pool, regions = traits.resolution.pool.id, traits.resolution.regions
    # With nothing before it a prompt would only be refused for its own length.
    has_no_queue = choice.wait_s <= choice.own_prefill_s and not choice.oldest_wait_s
    if has_no_queue or not is_overloaded(
        wait_s, choice.own_prefill_s, target_s, usable, now
    ):
        is_scarce = is_loaded(usable, now) or pools.is_limited(pool, regions)
        should_defer = is_scarce and _should_defer(pools, traits, now)
        return RefusalReason.YIELDS if should_defer else None
    if choice.slot_utilization >= 1 or is_hopeless(wait_s, target_s):
        return RefusalReason.LATE
    return None if has_deficit(pools, traits, now) else RefusalReason.LATE


def _should_defer(pools: PoolTable, traits: RequestTraits, now: float) -> bool:
    """Tell whether more urgent requests were refused lately, and this one is let in."""
    resolution = traits.resolution
    ledger = pools.ledger(resolution.pool.id)
    return ledger.should_defer(resolution.rank, traits.prompt.prompt_tokens, now)


def has_deficit(pools: PoolTable, traits: RequestTraits, now: float) -> bool:
    """Tell whether less urgent requests were let in lately in place of this one.

    Be it here, or by others: an instance that has few requests may have let in none.
    What all refused is taken to be what this one did, times the instances.
    """
    resolution = traits.resolution
    rank, tokens = resolution.rank, traits.prompt.prompt_tokens
    ledger = pools.ledger(resolution.pool.id)
    if ledger.has_deficit(rank, tokens, now):
        return True
    views = pools.usable(resolution.pool.id, frozenset(), resolution.regions)
    waiting = sum(view.load.pending_prefill_after(rank) for view in views)
    return waiting > pools.instances * ledger.refused(rank, now) + tokens
