"""Tests of the engine model learned from event times of streams."""

import random

import pytest

from buckthornwall.engine_model import EngineModel, QuantileEstimate


@pytest.fixture
def rng():
    return random.Random(7)


@pytest.mark.parametrize("quantile", [0.5, 0.9])
@pytest.mark.parametrize("initial", [0.001, 0.03, 1.0])
def test_quantile_converges_from_any_initial_value(rng, quantile, initial):
    estimate = QuantileEstimate(initial, quantile)
    for _ in range(2000):
        estimate.record(rng.uniform(0.0, 0.1))
    assert estimate.value == pytest.approx(0.1 * quantile, rel=0.25)


def test_stalls_do_not_distort_median(rng):
    estimate = QuantileEstimate(0.01, 0.5)
    for step in range(1000):
        estimate.record(60.0 if step % 20 == 0 else rng.uniform(0.008, 0.012))
    assert estimate.value == pytest.approx(0.01, rel=0.15)


class Engine:
    """A simulated engine with decode steps and chunked prefill."""

    def __init__(self, rng, decode_s, tokens_per_s, chunk=2048, tokens_per_event=4):
        self.rng = rng
        self.decode_s = decode_s
        self.tokens_per_s = tokens_per_s
        self.chunk = chunk
        self.tokens_per_event = tokens_per_event

    def step_s(self, pending_prefill):
        prefill_s = min(pending_prefill, self.chunk) / self.tokens_per_s
        return (self.decode_s + prefill_s) * self.rng.uniform(0.95, 1.15)

    def record_samples(self, model, events=400):
        for _ in range(events):
            pending_prefill = self.rng.choice([0, 0, 60_000])
            gap_s = 0.0
            left = pending_prefill
            for _ in range(self.tokens_per_event):
                gap_s += self.step_s(left)
                left = max(0, left - self.chunk)
            model.record_gap(gap_s, self.tokens_per_event, not pending_prefill)
            model.record_first_token(8000, 8000 / self.tokens_per_s + 0.004)


@pytest.mark.parametrize("speed", [0.5, 1.0, 2.0])
@pytest.mark.parametrize("tokens_per_event", [1, 3, 5])
def test_model_learns_speed_of_engine(rng, speed, tokens_per_event):
    engine = Engine(rng, 0.004 / speed, 60_000 * speed, 2048, tokens_per_event)
    model = EngineModel()
    engine.record_samples(model)
    step_s = engine.decode_s + 2048 / engine.tokens_per_s
    assert model.decode_step_s == pytest.approx(engine.decode_s, rel=0.2)
    assert model.prefill_step_s == pytest.approx(step_s, rel=0.2)
    assert model.tokens_per_s == pytest.approx(engine.tokens_per_s, rel=0.2)
    assert model.p90_prefill_step_s >= model.prefill_step_s


def test_pause_is_bounded_by_pending_prefill(rng):
    model = EngineModel()
    Engine(rng, 0.004, 60_000).record_samples(model)
    decode_s = 4 * model.decode_step_s
    assert model.pause_s(4, 0) == pytest.approx(decode_s)
    assert model.pause_s(4, 2_000) == pytest.approx(decode_s + model.prefill_s(2_000))
    assert model.pause_s(4, 900_000) == pytest.approx(4 * model.p90_prefill_step_s)


def test_decode_steps_beside_stale_pending_prefill_are_no_prefill_steps(rng):
    """Counts of pending prefill tokens are 0.1 to 0.5 s old, and cleared late."""
    model = EngineModel()
    Engine(rng, 0.004, 60_000).record_samples(model)
    before = model.prefill_step_s, model.p90_prefill_step_s
    for _ in range(500):
        model.record_gap(4 * 0.004, 4, is_decode_only=False)
    assert (model.prefill_step_s, model.p90_prefill_step_s) == before


def test_gap_without_length_or_tokens_is_ignored():
    model = EngineModel()
    before = (model.decode_step_s, model.prefill_step_s, model.p90_prefill_step_s)
    for _ in range(50):
        model.record_gap(0.0, 4, is_decode_only=True)
        model.record_gap(0.1, 0, is_decode_only=True)
    assert (
        model.decode_step_s,
        model.prefill_step_s,
        model.p90_prefill_step_s,
    ) == before


def test_steps_of_reserved_engines_are_no_prefill_steps(rng):
    model = EngineModel()
    Engine(rng, 0.004, 60_000).record_samples(model)
    before = model.p90_prefill_step_s
    for _ in range(500):
        model.record_gap(4 * 0.015, 4, is_decode_only=False, is_reserved=True)
    assert model.p90_prefill_step_s == before
