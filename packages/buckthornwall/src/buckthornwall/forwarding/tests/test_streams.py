"""Tests of streams of events: what passes, resumes elsewhere or is cut."""

import pytest

from buckthornwall.http1 import AnswerCut
from buckthornwall.routing import (
    ResponseMode,
)

from .helpers import event, stream


async def test_a_stream_passes_by_whole_events(forward):
    answer = await forward([stream(1, 2, 3)], response_mode=ResponseMode.EVENT_STREAM)
    assert answer.body == event(1) + event(2) + event(3)
    assert answer.ended


async def test_what_was_expected_of_a_stream_is_compared_with_what_was_seen(forward):
    await forward([0.1, stream(1, 2)], response_mode=ResponseMode.EVENT_STREAM)
    text, _ = forward.metrics.render("text/plain")
    assert b'buckthornwall_first_token_error_seconds_count{tier="1"} 1' in text
    assert b'first_token_error_seconds_bucket{le="0.05",tier="1"} 0' in text
    assert b'buckthornwall_pause_error_seconds_count{tier="1"} 1' in text


async def test_a_resumable_stream_goes_on_after_its_last_event(forward):
    answer = await forward(
        [stream(1, 2, end=False), b""],
        [stream(3, 4)],
        response_mode=ResponseMode.EVENT_STREAM,
    )
    assert answer.body == event(1) + event(2) + event(3) + event(4)
    assert answer.ended
    assert b"last-event-id: 2" in forward.requests[forward.addresses[1]][0]


async def test_a_resumable_stream_goes_on_elsewhere_when_its_connection_goes_silent(
    forward,
):
    """No reset tells of it: the connection stays open and brings nothing more."""
    answer = await forward(
        [stream(1, 2, end=False), 5.0, b""],
        [stream(3, 4)],
        response_mode=ResponseMode.EVENT_STREAM,
    )
    assert answer.body == event(1) + event(2) + event(3) + event(4)
    assert answer.ended


async def test_a_resumable_stream_that_never_begins_is_begun_elsewhere(forward):
    answer = await forward(
        [5.0, b""], [stream(1, 2)], response_mode=ResponseMode.EVENT_STREAM
    )
    assert answer.body == event(1) + event(2)


async def test_a_silent_stream_that_may_not_be_resumed_is_waited_for(forward):
    answer = await forward(
        [0.9, stream(1, 2)],
        [stream(1)],
        response_mode=ResponseMode.EVENT_STREAM,
        retryable=False,
    )
    assert answer.body == event(1) + event(2)
    assert forward.arrivals() == [1, 0]


async def test_events_that_come_again_are_left_out(forward):
    answer = await forward(
        [stream(1, 2, end=False), b""],
        [stream(2, 3)],
        response_mode=ResponseMode.EVENT_STREAM,
    )
    assert answer.body == event(1) + event(2) + event(3)


async def test_a_stream_that_may_not_be_resumed_is_cut_visibly(forward):
    with pytest.raises(AnswerCut):
        await forward(
            [stream(1, end=False), b""],
            [stream(2)],
            response_mode=ResponseMode.EVENT_STREAM,
            retryable=False,
        )
    assert forward.arrivals() == [1, 0]


async def test_an_event_cut_in_the_middle_is_not_passed_on(forward):
    part = b"5\r\nid: 9\r\n"
    answer = await forward(
        [stream(1, end=False) + part, b""],
        [stream(2)],
        response_mode=ResponseMode.EVENT_STREAM,
    )
    assert answer.body == event(1) + event(2)
