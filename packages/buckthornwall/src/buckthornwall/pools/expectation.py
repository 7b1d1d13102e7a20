"""Predict the time to the first token of a request."""

from buckthornwall.engine_model import scale_model

from .placement import Choice
from .table import PoolTable
from .traits import RequestTraits
from .view import UpstreamView

__all__ = ["count_based_s", "expected_on_engine_s", "expected_s", "calibration_factor"]


def expected_s(pools: PoolTable, traits: RequestTraits, choice: Choice) -> float:
    """Return the expected time to the first token, in seconds.

    It is at least the wait of the oldest request served before this one, since in
    overload the count-based estimate is a fraction of the actual wait.
    """
    return max(count_based_s(pools, traits, choice), choice.oldest_wait_s)


def count_based_s(pools: PoolTable, traits: RequestTraits, choice: Choice) -> float:
    """Return the calibrated estimate from counts of pending tokens, in seconds."""
    return choice.wait_s * calibration_factor(pools, traits)


def calibration_factor(pools: PoolTable, traits: RequestTraits) -> float:
    """Return the factor from a count-based wait to the wait observed recently."""
    resolution = traits.resolution
    return pools.wait_calibration(resolution.pool.id).factor(resolution.rank)


def expected_on_engine_s(
    pools: PoolTable, traits: RequestTraits, view: UpstreamView, now: float
) -> float:
    """Return the expected time to the first token on an engine, in seconds."""
    resolution = traits.resolution
    uncached = max(
        0, traits.prompt.prompt_tokens - view.prefixes.cached_tokens(traits.prompt)
    )
    pending_prefill = uncached + view.load.pending_prefill_before(resolution.rank)
    model = scale_model(pools.model(resolution.pool.id), view.slowness(now))
    wait_s = model.prefill_s(pending_prefill)
    factor = calibration_factor(pools, traits)
    return max(wait_s * factor, view.load.oldest_wait_before_s(resolution.rank, now))
