"""Tests of what is learned of engines from the times of their streams."""

import random

import pytest

from buckthornwall.engine_model import EngineModel, QuantileEstimate


@pytest.fixture
def draw():
    return random.Random(7)


@pytest.mark.parametrize("share", [0.5, 0.9])
@pytest.mark.parametrize("first", [0.001, 0.03, 1.0])
def test_a_quantile_is_found_from_any_first_guess(draw, share, first):
    estimate = QuantileEstimate(first, share)
    for _ in range(2000):
        estimate.note(draw.uniform(0.0, 0.1))
    assert estimate.value == pytest.approx(0.1 * share, rel=0.25)


def test_a_few_stalls_move_a_quantile_little(draw):
    estimate = QuantileEstimate(0.01, 0.5)
    for step in range(1000):
        estimate.note(60.0 if step % 20 == 0 else draw.uniform(0.008, 0.012))
    assert estimate.value == pytest.approx(0.01, rel=0.15)


class Engine:
    """An engine that shows a model its gaps: steps with and without reading."""

    def __init__(self, draw, quiet_s, tokens_per_s, piece=2048, tokens_per_event=4):
        self.draw = draw
        self.quiet_s = quiet_s
        self.tokens_per_s = tokens_per_s
        self.piece = piece
        self.tokens_per_event = tokens_per_event

    def step_s(self, pending_prefill):
        reading_s = min(pending_prefill, self.piece) / self.tokens_per_s
        return (self.quiet_s + reading_s) * self.draw.uniform(0.95, 1.15)

    def show(self, model, events=400):
        for _ in range(events):
            pending_prefill = self.draw.choice([0, 0, 60_000])
            gap_s = 0.0
            left = pending_prefill
            for _ in range(self.tokens_per_event):
                gap_s += self.step_s(left)
                left = max(0, left - self.piece)
            model.note_gap(gap_s, self.tokens_per_event, not pending_prefill)
            model.note_first(8000, 8000 / self.tokens_per_s + 0.004)


@pytest.mark.parametrize("speed", [0.5, 1.0, 2.0])
@pytest.mark.parametrize("tokens_per_event", [1, 3, 5])
def test_engines_of_any_speed_are_learned(draw, speed, tokens_per_event):
    engine = Engine(draw, 0.004 / speed, 60_000 * speed, 2048, tokens_per_event)
    model = EngineModel()
    engine.show(model)
    step_s = engine.quiet_s + 2048 / engine.tokens_per_s
    assert model.quiet_step_s == pytest.approx(engine.quiet_s, rel=0.2)
    assert model.reading_step_s == pytest.approx(step_s, rel=0.2)
    assert model.tokens_per_s == pytest.approx(engine.tokens_per_s, rel=0.2)
    assert model.long_step_s >= model.reading_step_s


def test_a_pause_is_bounded_by_what_there_is_to_read(draw):
    model = EngineModel()
    Engine(draw, 0.004, 60_000).show(model)
    quiet_s = 4 * model.quiet_step_s
    assert model.pause_s(4, 0) == pytest.approx(quiet_s)
    assert model.pause_s(4, 2_000) == pytest.approx(quiet_s + model.read_s(2_000))
    assert model.pause_s(4, 900_000) == pytest.approx(4 * model.long_step_s)


def test_quiet_steps_said_to_be_beside_reading_do_not_count_as_such(draw):
    """The counts of pending prefill tokens are 0.1 to 0.5 s old and clear late."""
    model = EngineModel()
    Engine(draw, 0.004, 60_000).show(model)
    before = model.reading_step_s, model.long_step_s
    for _ in range(500):
        model.note_gap(4 * 0.004, 4, was_idle=False)
    assert (model.reading_step_s, model.long_step_s) == before


def test_a_gap_of_no_length_says_nothing():
    model = EngineModel()
    before = (model.quiet_step_s, model.reading_step_s, model.long_step_s)
    for _ in range(50):
        model.note_gap(0.0, 4, was_idle=True)
        model.note_gap(0.1, 0, was_idle=True)
    assert (model.quiet_step_s, model.reading_step_s, model.long_step_s) == before


def test_steps_of_engines_kept_apart_do_not_count_as_beside_long_prompts(draw):
    model = EngineModel()
    Engine(draw, 0.004, 60_000).show(model)
    before = model.long_step_s
    for _ in range(500):
        model.note_gap(4 * 0.015, 4, was_idle=False, is_reserved=True)
    assert model.long_step_s == before
