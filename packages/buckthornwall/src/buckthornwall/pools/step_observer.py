"""What the gaps between a stream's events teach about speeds."""

from buckthornwall.engine_model import EngineModel

from .view import UpstreamView

__all__ = ["StepObserver"]


class StepObserver:
    """Records the gaps of one stream in the model of the pool and the engine's speed.

    Parameters
    ----------
    view
        The engine.
    model
        Model of the pool.
    tokens_per_event
        Tokens in one event.
    is_reserved
        Whether the engine is reserved for streams like this one.
    """

    def __init__(
        self,
        view: UpstreamView,
        model: EngineModel,
        tokens_per_event: int,
        is_reserved: bool,
    ) -> None:
        self.view = view
        self.model = model
        self.tokens_per_event = tokens_per_event
        self.is_reserved = is_reserved
        self._last_event_at: float | None = None
        self._was_idle = False
        self._step_before_s: float | None = None

    def record(self, events: int, now: float) -> None:
        """Record that `events` arrived together at `now`."""
        is_idle = not self.view.load.total_pending_prefill()
        was_idle, self._was_idle = self._was_idle and is_idle, is_idle
        last_at, self._last_event_at = self._last_event_at, now
        if last_at is None or events != 1:
            self._step_before_s = None
            return
        gap_s, speed = now - last_at, self.view.speed
        # Pauses are predicted for disturbances too: no statement foretells them when a
        # stream is placed.
        self.model.record_gap(
            gap_s, self.tokens_per_event, was_idle, self.is_reserved, speed.slowness
        )
        if gap_s > 0 and self.tokens_per_event > 0:
            step_s = gap_s / self.tokens_per_event
            self._record_step(step_s / self.view.load.slowdown.value(now), now)

    def _record_step(self, step_s: float, now: float) -> None:
        """Record a gap by token as it would be without a disturbance."""
        speed, model = self.view.speed, self.model
        before_s, self._step_before_s = self._step_before_s, step_s
        sample = model.steady_steps.record(
            before_s, step_s, speed.slowness, model.decode_step_s
        )
        if sample is not None:
            speed.record(sample, now)
            self._step_before_s = None
