"""Choice of the engine that should respond soonest.

References
----------
.. [1] Mirrokni, V., Thorup, M. and Zadimoghaddam, M., "Consistent Hashing with
   Bounded Loads", SODA, 2018.
"""

from buckthornwall.utils import rendezvous_winner

from .engines import EngineState

__all__ = ["fastest_engine"]

LOAD_BOUND = 1.25
CACHED_PREFIX_FACTOR = 0.7
AFFINITY_FACTOR = 0.85
UNMEASURED_FACTOR = 0.9
DEFAULT_INTER_TOKEN_S = 1.0


def fastest_engine(candidates: list[EngineState], prefix: int) -> EngineState:
    """Return the engine with the lowest expected inter-token time.

    The observed inter-token time is scaled up by the load. It is scaled down for an
    engine that has the prompt's prefix in its cache, and a little less for the
    prefix's affinity engine by rendezvous hashing, unless that engine's load exceeds
    a bound [1]_.

    Parameters
    ----------
    candidates
        Engines with free slots, at least one.
    prefix
        Hash of the prompt's prefix; 0 for none.
    """
    if len(candidates) == 1:
        return candidates[0]
    mean_load = sum(len(each.running) for each in candidates) / len(candidates)
    bound = LOAD_BOUND * mean_load + 1
    affinity_engine = rendezvous_winner(str(prefix), [each.id for each in candidates])
    measured = [each.inter_token_s for each in candidates if each.inter_token_s]
    # An engine without a measurement is assumed to be faster than the fastest, or
    # the scheduler would never try another engine than its first.
    unmeasured_s = UNMEASURED_FACTOR * min(measured, default=DEFAULT_INTER_TOKEN_S)

    def score(engine: EngineState) -> float:
        inter_token_s = engine.inter_token_s or unmeasured_s
        expected = inter_token_s * (1 + len(engine.running) / engine.limit)
        if not prefix or len(engine.running) >= bound:
            return expected
        if prefix in engine.prefixes:
            return expected * CACHED_PREFIX_FACTOR
        if engine.id == affinity_engine:
            return expected * AFFINITY_FACTOR
        return expected

    return min(candidates, key=score)
