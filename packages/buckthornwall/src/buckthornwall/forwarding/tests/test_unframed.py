"""Tests of replies without length or chunks, which end with their connection."""

import pytest
import trio

from buckthornwall.forwarding import completeness
from buckthornwall.http1 import ResponseAborted
from buckthornwall.routing import ResponseMode

from .helpers import Recorder, event, stream

HEAD = b"HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Signed: 1\r\nConnection: close\r\n\r\n"
LEAVING_HEAD = HEAD.replace(b"X-Id", b"X-Leaving: 1\r\nX-Id")
FIRST_HALF = event(2)[:8]
BEFORE_BLANK_LINE = event(2)[:-1]
STREAM = ResponseMode.EVENT_STREAM


async def test_unframed_stream_is_complete_after_its_last_event(forward):
    answer = await forward([HEAD + event(1) + event(2), b""], response_mode=STREAM)
    assert answer.body == event(1) + event(2)
    assert answer.ended


@pytest.mark.parametrize("rest", [FIRST_HALF, BEFORE_BLANK_LINE])
@pytest.mark.parametrize("end", [b"", None])
async def test_stream_ending_inside_event_continues_elsewhere(forward, rest, end):
    answer = await forward(
        [HEAD + event(1) + rest, end], [stream(2, 3)], response_mode=STREAM
    )
    assert answer.body == event(1) + event(2) + event(3)
    assert answer.ended


@pytest.mark.parametrize("rest", [FIRST_HALF, BEFORE_BLANK_LINE])
async def test_stream_ending_inside_event_that_is_not_resumable_is_cut_visibly(
    forward, rest
):
    with pytest.raises(ResponseAborted):
        await forward(
            [HEAD + event(1) + rest, b""],
            [stream(2)],
            response_mode=STREAM,
            retryable=False,
        )
    assert forward.arrivals() == [1, 0]


@pytest.mark.parametrize("data", [b"", FIRST_HALF, BEFORE_BLANK_LINE])
async def test_stream_ending_before_its_first_event_is_not_answered(forward, data):
    answer = await forward(
        [HEAD + data, b""], [stream(1)], response_mode=STREAM, retryable=False
    )
    assert answer.status == 502
    assert answer.run == "unknown"
    assert forward.arrivals() == [1, 0]


async def test_resumed_stream_without_further_events_is_complete(forward):
    answer = await forward([HEAD + event(1), None], [HEAD, b""], response_mode=STREAM)
    assert answer.body == event(1)
    assert answer.ended


async def test_framed_stream_ending_inside_event_is_broken(forward):
    data = stream(1, end=False) + b"%x\r\n%s\r\n0\r\n\r\n" % (8, FIRST_HALF)
    answer = await forward([data], [stream(2)], response_mode=STREAM)
    assert answer.body == event(1) + event(2)


async def test_line_breaks_after_last_event_are_forwarded(forward):
    answer = await forward([HEAD + event(1) + b"\n", b""], response_mode=STREAM)
    assert answer.body == event(1) + b"\n"
    assert answer.ended


async def test_unframed_stream_of_upstream_that_ended_continues_elsewhere(
    forward, ending_upstream
):
    """Its process closed all connections, also between two events."""
    answer = await forward(
        await ending_upstream(HEAD + event(1)), [stream(2)], response_mode=STREAM
    )
    assert answer.body == event(1) + event(2)


async def test_unframed_stream_of_upstream_that_ended_is_cut_visibly(
    forward, ending_upstream
):
    with pytest.raises(ResponseAborted):
        await forward(
            await ending_upstream(HEAD + event(1)),
            response_mode=STREAM,
            retryable=False,
        )


async def test_unframed_reply_is_delivered(forward):
    answer = await forward([HEAD + b"whole", b""])
    assert answer.body == b"whole"


async def test_unframed_reply_of_upstream_that_ended_is_retried(
    forward, ending_upstream
):
    answer = await forward(await ending_upstream(HEAD + b"who"), [HEAD + b"whole", b""])
    assert answer.body == b"whole"


async def test_unframed_reply_of_upstream_that_ended_is_unknown_if_not_retryable(
    forward, ending_upstream
):
    answer = await forward(
        await ending_upstream(HEAD + b"who"), [HEAD + b"whole", b""], retryable=False
    )
    assert answer.status == 502
    assert answer.run == "unknown"


async def test_unframed_stream_of_leaving_upstream_that_ended_continues_elsewhere(
    forward, ending_upstream
):
    answer = await forward(
        await ending_upstream(LEAVING_HEAD + event(1)),
        [stream(2)],
        response_mode=STREAM,
    )
    assert answer.body == event(1) + event(2)


async def test_unframed_reply_of_leaving_upstream_that_ended_is_retried(
    forward, ending_upstream
):
    answer = await forward(
        await ending_upstream(LEAVING_HEAD + b"who"), [HEAD + b"whole", b""]
    )
    assert answer.body == b"whole"


async def test_unframed_stream_of_leaving_upstream_that_ended_looked_complete(
    forward, ending_upstream
):
    """Its route may not be resumed, and half of its events were missing."""
    with pytest.raises(ResponseAborted):
        await forward(
            await ending_upstream(LEAVING_HEAD + event(1)),
            response_mode=STREAM,
            retryable=False,
        )


async def test_unframed_reply_of_leaving_upstream_that_ended_looked_complete(
    forward, ending_upstream
):
    answer = await forward(
        await ending_upstream(LEAVING_HEAD + b"who"), retryable=False
    )
    assert answer.status == 502
    assert answer.run == "unknown"


@pytest.mark.parametrize("rest", [[HEAD, b""], [stream()]])
async def test_resumed_stream_without_the_event_that_had_begun_is_cut_visibly(
    forward, rest
):
    with pytest.raises(ResponseAborted):
        await forward(
            [HEAD + event(1) + FIRST_HALF, b""], rest, response_mode=STREAM, max_runs=2
        )


def identity(name):
    return b"HTTP/1.1 200 OK\r\nX-Instance: %s\r\nContent-Length: 0\r\n\r\n" % name


@pytest.fixture
def slow_client(monkeypatch):
    """Let clients take so long that an upstream may have restarted."""

    async def begin(self, status, headers, data=b""):
        self.started, self.status, self.body = True, status, data
        await trio.sleep(0.3)

    monkeypatch.setattr(Recorder, "begin", begin)
    monkeypatch.setattr(completeness, "MIN_RESTART_S", 0.1)


@pytest.mark.parametrize("other", [identity(b"u9"), b"HTTP/1.1 200 OK\r\n\r\n"])
async def test_unframed_stream_looked_complete_though_another_upstream_listens(
    forward, slow_client, other
):
    """Its upstream ended with it, and its address was taken before the end was read."""
    with pytest.raises(ResponseAborted):
        await forward(
            [HEAD + event(1), b"", other, b""], response_mode=STREAM, retryable=False
        )


async def test_unframed_stream_of_the_same_upstream_is_complete_for_a_slow_client(
    forward, slow_client
):
    answer = await forward(
        [HEAD + event(1), b"", identity(b"u0")], response_mode=STREAM, retryable=False
    )
    assert answer.body == event(1)
    assert answer.ended
    assert forward.arrivals() == [2]


async def test_unframed_reply_looked_complete_though_another_upstream_listens(
    forward, monkeypatch
):
    """It is read after a wait in which its upstream may restart."""
    monkeypatch.setattr(completeness, "MIN_RESTART_S", 0.0)
    answer = await forward([HEAD + b"who", b"", identity(b"u9")], retryable=False)
    assert answer.status == 502
    assert answer.run == "unknown"
