"""Tests of steady prefill steps and of the model of engines of several speeds."""

import pytest

from buckthornwall.engine_model import EngineModel, SteadySteps, scale_model

DECODE_STEP_S = 0.005
CHUNK_STEP_S = 0.045


def test_only_gaps_of_whole_chunks_in_a_row_are_steady():
    steps = SteadySteps()
    for _ in range(200):
        steps.record(CHUNK_STEP_S, CHUNK_STEP_S, 1.0, DECODE_STEP_S)
    assert steps.record(None, CHUNK_STEP_S, 1.0, DECODE_STEP_S) is None
    assert steps.record(DECODE_STEP_S, DECODE_STEP_S, 1.0, DECODE_STEP_S) is None
    assert steps.record(0.015, 0.015, 1.0, DECODE_STEP_S) is None
    assert steps.record(0.030, CHUNK_STEP_S, 1.0, DECODE_STEP_S) is None
    assert steps.record(0.044, CHUNK_STEP_S, 1.0, DECODE_STEP_S) is not None


def test_samples_of_two_instances_differ_by_the_speed_alone():
    new, old = SteadySteps(), SteadySteps()
    for _ in range(500):
        old.record(CHUNK_STEP_S, CHUNK_STEP_S, 1.0, DECODE_STEP_S)
    samples = [
        steps.record(CHUNK_STEP_S, CHUNK_STEP_S, 1.0, DECODE_STEP_S)
        for steps in (new, old)
    ]
    assert samples[0] == samples[1]
    slow = old.record(2 * CHUNK_STEP_S, 2 * CHUNK_STEP_S, 1.0, DECODE_STEP_S)
    assert slow == pytest.approx(2 * samples[0])


def test_model_is_that_of_the_usual_engine_whatever_the_mix_of_speeds():
    model = EngineModel()
    for number in range(2000):
        slowness = (0.6, 1.0, 1.7)[number % 3]
        model.record_gap(5 * DECODE_STEP_S * slowness, 5, True, slowness=slowness)
    assert model.decode_step_s == pytest.approx(DECODE_STEP_S, rel=0.1)
    slow = scale_model(model, 1.7)
    assert slow.decode_step_s == pytest.approx(1.7 * DECODE_STEP_S, rel=0.1)


def test_fast_engine_is_not_taken_to_be_safer_for_pauses():
    model = EngineModel()
    usual_s = model.pause_s(5, 100_000)
    assert scale_model(model, 0.6).pause_s(5, 100_000) == usual_s
    assert scale_model(model, 1.7).pause_s(5, 100_000) == pytest.approx(1.7 * usual_s)
