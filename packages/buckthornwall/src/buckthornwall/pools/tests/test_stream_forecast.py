"""Tests of the forecast of pause-sensitive streams."""

import pytest

from buckthornwall.pools.stream_forecast import StreamForecast


def follow(forecast: StreamForecast, running, since: float, until: float) -> float:
    """Return the forecast after updates each 10 ms; `running` maps times to counts."""
    now, value = since, 0.0
    while now < until:
        value = forecast.update(running(now), now)
        now += 0.01
    return value


def test_steady_load_keeps_room_for_twice_as_many_streams():
    assert follow(StreamForecast(), lambda now: 100, 0.0, 3.0) == pytest.approx(200)


def test_jump_is_expected_before_it_has_arrived():
    """Streams grow from 100 to 500 within two seconds of a jump.

    A second after its start, when 300 run, engines are reserved for all of them.
    """
    forecast = StreamForecast()

    def running(now: float) -> float:
        return 100 + 200 * min(2.0, max(0.0, now - 5.0))

    assert follow(forecast, running, 0.0, 6.0) >= 500


def test_reserved_room_is_given_back_once_the_streams_have_gone():
    forecast = StreamForecast()
    follow(forecast, lambda now: 100, 0.0, 3.0)
    after = follow(forecast, lambda now: 0, 3.0, 3.5)
    assert after > 100
    assert follow(forecast, lambda now: 0, 3.5, 20.0) < 1


def test_noise_of_arrivals_does_not_flap():
    """Counts between 95 and 105 move the forecast by less than an engine in ten."""
    forecast = StreamForecast()
    follow(forecast, lambda now: 100, 0.0, 2.0)
    values = [
        forecast.update(95 + 10 * (int(step / 7) % 2), 2.0 + step / 100)
        for step in range(500)
    ]
    assert max(values) - min(values) < 0.2 * min(values)


def test_report_that_is_lost_does_not_drop_the_forecast():
    """A speaker that is lost leaves an instance with its own streams for a moment."""
    forecast = StreamForecast()
    follow(forecast, lambda now: 100, 0.0, 2.0)
    assert forecast.update(1, 2.3) > 150


def test_clock_that_steps_back_starts_again():
    forecast = StreamForecast()
    follow(forecast, lambda now: 100, 100.0, 102.0)
    assert forecast.update(10, 50.0) == pytest.approx(20)


def test_clock_that_jumps_ahead_forgets_the_growth():
    forecast = StreamForecast()
    follow(forecast, lambda now: 10, 0.0, 2.0)
    assert forecast.update(100, 1000.0) == pytest.approx(200)


def test_state_is_bounded():
    forecast = StreamForecast()
    follow(forecast, lambda now: now, 0.0, 60.0)
    assert len(forecast._samples) <= 20
