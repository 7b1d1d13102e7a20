"""Tests of event streams that are forwarded, resumed elsewhere or cut."""

from functools import partial

import pytest
import trio

from buckthornwall.forwarding.events import EventJoiner
from buckthornwall.http1 import ResponseAborted
from buckthornwall.routing import (
    ResponseMode,
)

from .helpers import POOL, event, prompt, stream


async def test_stream_is_forwarded_by_complete_events(forward):
    answer = await forward([stream(1, 2, 3)], response_mode=ResponseMode.EVENT_STREAM)
    assert answer.body == event(1) + event(2) + event(3)
    assert answer.ended


async def test_prediction_errors_of_stream_are_counted(forward):
    await forward([0.1, stream(1, 2)], response_mode=ResponseMode.EVENT_STREAM)
    text, _ = forward.metrics.render("text/plain")
    assert b'buckthornwall_first_token_error_seconds_count{tier="1"} 1' in text
    assert b'first_token_error_seconds_bucket{le="0.05",tier="1"} 0' in text
    assert b'buckthornwall_pause_error_seconds_count{tier="1"} 1' in text


async def test_resumable_stream_continues_after_last_event(forward):
    answer = await forward(
        [stream(1, 2, end=False), b""],
        [stream(3, 4)],
        response_mode=ResponseMode.EVENT_STREAM,
    )
    assert answer.body == event(1) + event(2) + event(3) + event(4)
    assert answer.ended
    assert b"last-event-id: 2" in forward.requests[forward.addresses[1]][0]


async def test_resumable_stream_continues_elsewhere_when_connection_is_silent(
    forward,
):
    """The connection stays open without a reset and delivers nothing more."""
    answer = await forward(
        [stream(1, 2, end=False), 5.0, b""],
        [stream(3, 4)],
        response_mode=ResponseMode.EVENT_STREAM,
    )
    assert answer.body == event(1) + event(2) + event(3) + event(4)
    assert answer.ended


async def test_resumable_stream_without_reply_is_started_elsewhere(forward):
    answer = await forward(
        [5.0, b""], [stream(1, 2)], response_mode=ResponseMode.EVENT_STREAM
    )
    assert answer.body == event(1) + event(2)


async def test_silent_stream_that_is_not_resumable_is_waited_for(forward):
    answer = await forward(
        [0.9, stream(1, 2)],
        [stream(1)],
        response_mode=ResponseMode.EVENT_STREAM,
        retryable=False,
    )
    assert answer.body == event(1) + event(2)
    assert forward.arrivals() == [1, 0]


async def test_stream_that_waits_in_order_is_not_given_up(forward):
    """It would lose its place, and wait behind the same queue at the next engine."""
    answer = await forward(
        [0.9, stream(1, 2)],
        [stream(1)],
        response_mode=ResponseMode.EVENT_STREAM,
        prompt=prompt(),
        waiting_tokens={"u0": 5_000, "u1": 90_000},
    )
    assert answer.body == event(1) + event(2)
    assert forward.arrivals() == [1, 0]


async def test_stream_that_waits_in_order_moves_to_an_engine_that_is_in_time(forward):
    answer = await forward(
        [3.0, b""],
        [stream(1, 2)],
        response_mode=ResponseMode.EVENT_STREAM,
        prompt=prompt(),
        waiting_tokens={"u0": 5_000},
    )
    assert answer.body == event(1) + event(2)


async def test_stream_is_waited_for_while_no_retry_is_left(forward):
    """Its response is late, not lost."""
    answer = await forward(
        [0.9, stream(1, 2)],
        [stream(1)],
        response_mode=ResponseMode.EVENT_STREAM,
        has_retries=False,
    )
    assert answer.body == event(1) + event(2)


async def test_stream_is_not_cut_in_a_pause_while_no_retry_is_left(forward, nursery):
    rest = stream(2).partition(b"\r\n\r\n")[2]

    async def send_with_pause(connection):
        await connection.receive_some()
        await connection.send_all(stream(1, end=False))
        await trio.sleep(0.9)
        await connection.send_all(rest)

    serve = partial(trio.serve_tcp, send_with_pause, 0, host="127.0.0.1")
    listeners = await nursery.start(serve)
    answer = await forward(
        f"127.0.0.1:{listeners[0].socket.getsockname()[1]}",
        [stream(2)],
        response_mode=ResponseMode.EVENT_STREAM,
        has_retries=False,
    )
    assert answer.body == event(1) + event(2)
    assert answer.ended
    assert forward.arrivals()[1] == 0


@pytest.mark.parametrize(("wait", "status"), [((5.0, b""), 504), ((0.3, None), 502)])
async def test_stream_that_ended_without_an_event_counts_as_refused(
    forward, wait, status
):
    """Less urgent requests must not be admitted in its place."""
    answer = await forward(
        [*wait],
        response_mode=ResponseMode.EVENT_STREAM,
        prompt=prompt(),
        client_timeout_s=1.0,
    )
    assert answer.status == status
    ledger = forward.pools.ledger(POOL)
    now = forward.pools.clock.now()
    assert ledger.refused(4, now) == prompt().prompt_tokens
    assert ledger.admitted_below(3, now) == 0


async def test_stream_that_fails_before_its_target_does_not_count_as_refused(forward):
    """A crash of an engine would otherwise hold back less urgent requests."""
    answer = await forward(
        [None], response_mode=ResponseMode.EVENT_STREAM, prompt=prompt()
    )
    assert answer.status == 502
    ledger = forward.pools.ledger(POOL)
    assert ledger.refused(4, forward.pools.clock.now()) == 0


async def test_duplicate_events_are_dropped(forward):
    answer = await forward(
        [stream(1, 2, end=False), b""],
        [stream(2, 3)],
        response_mode=ResponseMode.EVENT_STREAM,
    )
    assert answer.body == event(1) + event(2) + event(3)


@pytest.mark.parametrize("name", ["²", "9" * 5000, "٣"])
def test_event_id_that_is_no_number_failed_a_resumed_stream(name):
    joiner = EventJoiner("7")
    joiner.resume()
    event = f"id: {name}\ndata: x\n\n".encode("latin-1", "replace")
    assert joiner.feed(event) == event


async def test_broken_stream_that_is_not_resumable_is_cut_visibly(forward):
    with pytest.raises(ResponseAborted):
        await forward(
            [stream(1, end=False), b""],
            [stream(2)],
            response_mode=ResponseMode.EVENT_STREAM,
            retryable=False,
        )
    assert forward.arrivals() == [1, 0]


async def test_incomplete_event_is_not_forwarded(forward):
    partial_event = b"5\r\nid: 9\r\n"
    answer = await forward(
        [stream(1, end=False) + partial_event, b""],
        [stream(2)],
        response_mode=ResponseMode.EVENT_STREAM,
    )
    assert answer.body == event(1) + event(2)
