"""Tests of the retry budget, of parsing server-sent events, and of responses."""

import httpcore
import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from buckthornwall.codes import UpstreamError
from buckthornwall.upstreams import (
    EngineClient,
    RetryBudget,
    ServiceClient,
    UpstreamSettings,
)
from buckthornwall.upstreams.engine import extract_sse_events


def test_retries_do_not_exceed_fraction_of_first_attempts():
    budget = RetryBudget(ratio=0.1, reserve=2)
    assert [budget.spend() for _ in range(3)] == [True, True, False]
    for _ in range(10):
        budget.earn()
    assert [budget.spend() for _ in range(2)] == [True, False]


@given(
    st.lists(st.text("ab{}: ", min_size=1, max_size=5), max_size=6),
    st.integers(1, 7),
)
def test_no_event_is_lost_however_the_stream_is_split(texts, size):
    events = [text.strip().encode() for text in texts]
    stream = b"".join(b"data: " + event + b"\n\n" for event in events)
    buffer = bytearray()
    found = []
    for start in range(0, len(stream), size):
        buffer += stream[start : start + size]
        found += extract_sse_events(buffer)
    assert found == events
    assert not buffer


def test_sse_comments_are_skipped():
    assert extract_sse_events(bytearray(b": ping\n\ndata: x\n\n")) == [b"x"]


RESTING = (
    b"HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nServer-Leaving: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)


def collect_responses(client):
    """Let a client append each response to the returned list."""
    responses = []
    client.on_response = lambda upstream, status, headers: responses.append(
        (upstream, status, {name.lower(): value for name, value in headers})
    )
    return responses


async def test_listener_receives_the_response_of_an_engine(raw_upstream, view, clock):
    address = await raw_upstream(RESTING)
    engine = msgspec.structs.replace(view.upstreams["e1"], address=address)
    async with httpcore.AsyncConnectionPool() as pool:
        client = EngineClient(UpstreamSettings(), pool, clock)
        responses = collect_responses(client)
        with pytest.raises(UpstreamError):
            async for _ in client.stream(engine, "/x", {}, "a", None):
                pass
    ((upstream, status, headers),) = responses
    assert (upstream, status) == ("e1", 503)
    assert (headers[b"retry-after"], headers[b"server-leaving"]) == (b"3", b"1")


@pytest.mark.parametrize(
    "body", [b'{"x":' + b"[" * 2001, b'{"server_load": 1e400}', b'{"server_load": -1}']
)
async def test_load_that_cannot_be_read_ended_the_instance(
    raw_upstream, view, clock, body
):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    address = await raw_upstream(head + body)
    engine = msgspec.structs.replace(view.upstreams["e1"], address=address)
    async with httpcore.AsyncConnectionPool() as pool:
        client = EngineClient(UpstreamSettings(), pool, clock)
        assert await client.read_load(engine) is None


ENDLESS = [
    (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n", 0.01),
    (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536, 0.0),
    (b"HTTP/1.1 200 OK\r\n\r\n", b" ", 0.01),
    (b"HTTP/1.1 503 Busy\r\n\r\n", b"x" * 65536, 0.0),
    (b"HTTP/1.1 400 Bad\r\n\r\n", b" ", 0.01),
    (b"HTTP/1.1 200 OK\r\n\r\n", b'data: {"id": "other"}\n\n' * 99, 0.0),
]
SHORT = UpstreamSettings(connect_s=0.1, stall_s=0.3)


@pytest.mark.parametrize(("first", "repeated", "interval_s"), ENDLESS, ids=range(6))
async def test_response_without_end_was_read_for_ever(
    endless_server, view, clock, first, repeated, interval_s
):
    """Each read is in time, so that no timeout of the library applies."""
    server = await endless_server(first, repeated, interval_s)
    engine = msgspec.structs.replace(view.upstreams["e1"], address=server.address)
    async with httpcore.AsyncConnectionPool() as pool:
        client = EngineClient(SHORT, pool, clock)
        with trio.fail_after(2.5):
            assert await client.read_load(engine) is None
        await server.wait_closed()
        with trio.fail_after(2.5), pytest.raises(UpstreamError):
            async for _ in client.stream(engine, "/x", {}, "a", None):
                pass
        await server.wait_closed()
        service = ServiceClient(SHORT, pool)
        with trio.fail_after(2.5), pytest.raises(UpstreamError):
            await service.call(engine, "GET", "/", [], b"", 0.5)
        await server.wait_closed()
    assert server.sent_bytes < 32 * 2**20


async def test_listener_receives_the_response_of_a_service(raw_upstream, view):
    address = await raw_upstream(RESTING)
    service = msgspec.structs.replace(view.upstreams["e1"], address=address)
    async with httpcore.AsyncConnectionPool() as pool:
        client = ServiceClient(UpstreamSettings(), pool)
        responses = collect_responses(client)
        await client.call(service, "GET", "/", [], b"", 1.0)
    assert [status for _, status, _ in responses] == [503]


async def test_unframed_response_of_service_that_ended_is_not_complete(
    ending_upstream, view
):
    """Its process closed the connection, perhaps in the middle of the body."""
    address = await ending_upstream(b"HTTP/1.1 200 OK\r\n\r\npart")
    service = msgspec.structs.replace(view.upstreams["e1"], address=address)
    async with httpcore.AsyncConnectionPool() as pool:
        client = ServiceClient(UpstreamSettings(), pool)
        with pytest.raises(UpstreamError) as caught:
            await client.call(service, "GET", "/", [], b"", 1.0)
    assert caught.value.sent


async def test_unframed_response_of_service_is_complete_with_its_connection(
    raw_upstream, view
):
    address = await raw_upstream(b"HTTP/1.1 200 OK\r\n\r\nwhole", b"")
    service = msgspec.structs.replace(view.upstreams["e1"], address=address)
    async with httpcore.AsyncConnectionPool() as pool:
        client = ServiceClient(UpstreamSettings(), pool)
        status, _, body = await client.call(service, "GET", "/", [], b"", 1.0)
    assert (status, body) == (200, b"whole")
