"""Predictions of an engine model for one engine, by how slow that engine is."""

from dataclasses import dataclass

from .model import EngineModel

__all__ = ["ScaledEngineModel", "scale_model"]


@dataclass(frozen=True, slots=True)
class ScaledEngineModel:
    """The predictions of a pool's model for an engine that is faster or slower.

    Attributes
    ----------
    model : EngineModel
        Model of the pool.
    slowness : float
        How long work takes there, relative to the pool's usual engine.
    """

    model: EngineModel
    slowness: float

    @property
    def tokens_per_s(self) -> float:
        """Prompt tokens that the engine prefills per second."""
        return self.model.tokens_per_s / self.slowness

    @property
    def decode_step_s(self) -> float:
        """Median time per token without prefill."""
        return self.model.decode_step_s * self.slowness

    @property
    def prefill_step_s(self) -> float:
        """Median time per token beside prefill."""
        return self.model.prefill_step_s * self.slowness

    @property
    def p90_prefill_step_s(self) -> float:
        """90th percentile of the time per token beside prefill."""
        return self.model.p90_prefill_step_s * self.slowness

    def prefill_s(self, tokens: float) -> float:
        """Return how long the prefill of some prompt tokens takes."""
        return self.model.prefill_s(tokens) * self.slowness

    def pause_s(self, tokens_per_event: int, pending_prefill: float) -> float:
        """Return the longest pause of a stream beside some pending prefill tokens.

        Prefill steps of the model are long at any engine of the pool. A fast one is not
        taken to be safer: it may be disturbed a moment later, as all may.
        """
        pause_s = self.model.pause_s(tokens_per_event, pending_prefill)
        return pause_s * max(1.0, self.slowness)


def scale_model(model: EngineModel, slowness: float) -> EngineModel | ScaledEngineModel:
    """Return a pool's model for an engine of this slowness; itself for a usual one."""
    return model if slowness == 1.0 else ScaledEngineModel(model, slowness)
