"""Replies of upstreams in trouble whose bytes do not end."""

import math
from contextlib import ExitStack

import pytest
import trio

from buckthornwall.capacity import MemoryBudget
from buckthornwall.forwarding.reply_memory import (
    FREE_BYTES,
    MAX_BODY_BYTES,
    MAX_SHARED_BYTES,
    ReplyMemory,
)
from buckthornwall.http1 import ExchangeError, ResponseAborted
from buckthornwall.routing import ResponseMode

from .helpers import event, reply, stream

STREAM = ResponseMode.EVENT_STREAM
HEAD = b"HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Signed: 1\r\n"
FOREIGN = HEAD.replace(b"X-Id: r", b"X-Id: other")
REFUSED = b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n\r\n"
LONG = b"Content-Length: 99999999999\r\n"
GARBAGE = [b"x" * 4096, bytes(range(256)) * 16, b"\n\n" * 2048, b"\r\n" * 2048]
LIMIT_S = 1.5


@pytest.mark.parametrize("repeated", GARBAGE)
@pytest.mark.parametrize("framing", [b"", LONG])
async def test_plain_reply_without_end_is_retried_elsewhere(
    forward, endless_server, repeated, framing
):
    server = await endless_server(HEAD + framing + b"\r\n", repeated)
    with trio.fail_after(LIMIT_S):
        answer = await forward(server.address, [reply(body=b"good")])
    assert (answer.status, answer.body) == (200, b"good")
    await server.wait_closed()


@pytest.mark.parametrize("repeated", GARBAGE)
async def test_plain_reply_without_end_that_may_not_be_repeated_has_failed(
    forward, endless_server, repeated
):
    server = await endless_server(HEAD + b"\r\n", repeated)
    with trio.fail_after(LIMIT_S):
        answer = await forward(server.address, [reply()], retryable=False)
    assert (answer.status, answer.run) == (502, "unknown")
    await server.wait_closed()


@pytest.mark.parametrize("framing", [b"", LONG])
async def test_reply_to_another_request_without_end_was_skipped_until_the_deadline(
    forward, endless_server, framing
):
    server = await endless_server(FOREIGN + framing + b"\r\n", b"x" * 4096)
    with trio.fail_after(LIMIT_S):
        answer = await forward(server.address, [reply(body=b"good")])
    assert answer.body == b"good"
    await server.wait_closed()


@pytest.mark.parametrize("interval_s", [0.0, 0.02])
async def test_refusal_without_end_did_not_count_as_not_run(
    forward, endless_server, interval_s
):
    """Its head says that the request has not run, and is complete."""
    server = await endless_server(REFUSED, b"x" * 512, interval_s=interval_s)
    with trio.fail_after(LIMIT_S):
        answer = await forward(server.address, retryable=False)
    assert answer.run == "no"
    await server.wait_closed()


@pytest.mark.parametrize("repeated", GARBAGE)
async def test_stream_without_end_is_continued_elsewhere(
    forward, endless_server, repeated
):
    """Bytes that are no events reach no client, however many line breaks they have."""
    server = await endless_server(HEAD + b"\r\n" + event(1), repeated)
    with trio.fail_after(LIMIT_S):
        answer = await forward(server.address, [stream(2, 3)], response_mode=STREAM)
    assert answer.body.rstrip(b"\r\n") == answer.body[:-2]
    assert (
        answer.body.replace(b"\r\n", b"\n").split()
        == (event(1) + event(2) + event(3)).split()
    )
    await server.wait_closed()


@pytest.mark.parametrize("repeated", GARBAGE)
@pytest.mark.parametrize("first", [b"", event(1)])
async def test_stream_without_end_that_may_not_be_resumed_is_cut(
    forward, endless_server, first, repeated
):
    server = await endless_server(HEAD + b"\r\n" + first, repeated)
    with trio.fail_after(LIMIT_S):
        if first:
            with pytest.raises(ResponseAborted):
                await forward(server.address, response_mode=STREAM, retryable=False)
        else:
            answer = await forward(
                server.address, response_mode=STREAM, retryable=False
            )
            assert answer.status == 502
    await server.wait_closed()


def test_large_replies_took_the_memory_of_the_instance_together(clock):
    """Small ones are received all the same."""
    memory = ReplyMemory(MemoryBudget(math.inf, clock))
    with ExitStack() as stack:
        held = [stack.enter_context(memory.hold()) for _ in range(40)]
        refused = 0
        for each in held:
            try:
                each.grow(MAX_BODY_BYTES)
            except ExchangeError:
                refused += 1
        assert 0 < refused < 40
        assert memory.shared_bytes <= MAX_SHARED_BYTES
        with memory.hold() as small:
            small.grow(FREE_BYTES)
    assert memory.shared_bytes == 0


def test_replies_find_no_room_beside_requests_that_are_held(clock):
    """Unfinished requests give way; small replies are received all the same."""
    budget = MemoryBudget(8 * MAX_BODY_BYTES, clock)
    memory = ReplyMemory(budget)
    unfinished = budget.hold()
    unfinished.resize(MAX_BODY_BYTES)
    unfinished.begin_unfinished(lambda: unfinished.charge(0))
    budget.hold().charge(7 * MAX_BODY_BYTES)
    with memory.hold() as large, memory.hold() as small:
        large.grow(MAX_BODY_BYTES // 2)
        assert unfinished.size == 0
        with pytest.raises(ExchangeError):
            large.grow(MAX_BODY_BYTES)
        small.grow(FREE_BYTES)
    assert budget.used_bytes == 7 * MAX_BODY_BYTES
