"""Tests of the server: framing, limits, disconnected clients, graceful shutdown."""

import contextlib

import pytest
import trio
import trio.testing

from buckthornwall.codes import Refusal, ResultCode
from buckthornwall.http1 import ResponseAborted
from buckthornwall.http1.connection import ConnectionState

HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"


async def echo(request, response):
    await response.send_complete(200, [(b"X-Target", request.target)], request.body)


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", b"400"),
        (HEAD + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\na", b"400"),
        (
            HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
        (b"POST /a HTTP/1.1\nHost: h\r\n\r\n", b"400"),
        (HEAD + b"X: a\rb\r\n\r\n", b"400"),
        (b"POST /a HTTP/1.1\r\n\r\n", b"400"),
        (b"POST http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", b"400"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", b"400"),
        (HEAD + b"X: " + b"a" * 3000 + b"\r\n\r\n", b"431"),
        (HEAD + b"Content-Length: 5000\r\n\r\n", b"413"),
        (HEAD + b"X: unfinished", b"408"),
        (HEAD + b"Content-Length: 9\r\n\r\nshort", b"408"),
    ],
)
async def test_invalid_or_oversized_request_is_refused_and_closed(serve, head, status):
    _, connect = await serve(echo)
    client = await connect()
    await client.send(head)
    data = await client.read_all()
    assert data.startswith(b"HTTP/1.1 " + status)
    assert b"connection: close" in data.lower()


@pytest.mark.parametrize(
    "body",
    [
        b"Content-Length: 5\r\n\r\nhello",
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    ],
)
async def test_body_is_read_by_length_or_in_chunks(serve, body):
    _, connect = await serve(echo)
    client = await connect()
    await client.send(HEAD + body)
    assert (await client.read_until(b"hello")).endswith(b"hello")


async def test_pipelined_requests_are_answered_in_order(serve):
    _, connect = await serve(echo)
    client = await connect()
    first = HEAD + b"Content-Length: 3\r\n\r\none"
    await client.send(first + HEAD + b"Content-Length: 3\r\n\r\ntwo")
    data = await client.read_until(b"two")
    assert data.index(b"one") < data.index(b"two")
    assert data.count(b"HTTP/1.1 200") == 2


async def test_handler_is_cancelled_when_client_disconnects(serve):
    stopped = trio.Event()

    async def hang(request, response):
        try:
            await trio.sleep_forever()
        finally:
            stopped.set()

    _, connect = await serve(hang)
    client = await connect()
    await client.send(HEAD + b"\r\n")
    await trio.sleep(0.05)
    await client.stream.aclose()
    with trio.fail_after(0.5):
        await stopped.wait()


async def test_handler_exception_closes_only_its_connection(serve):
    async def fail(request, response):
        if request.target == b"/bad":
            raise RuntimeError("a fault")
        await echo(request, response)

    _, connect = await serve(fail)
    good, bad = await connect(), await connect()
    await bad.send(b"GET /bad HTTP/1.1\r\nHost: h\r\n\r\n")
    assert await bad.read_all() == b""
    await good.send(HEAD + b"Content-Length: 2\r\n\r\nok")
    assert (await good.read_until(b"ok")).endswith(b"ok")


async def test_unfinished_response_has_no_final_chunk(serve):
    async def cut(request, response):
        await response.begin(200, [], b"id: 1\n\n")

    _, connect = await serve(cut)
    client = await connect()
    await client.send(HEAD + b"\r\n")
    data = await client.read_all()
    assert b"id: 1" in data
    assert not data.endswith(b"0\r\n\r\n")


async def test_stopping_server_sends_connection_close_and_closes_idle_clients(serve):
    server, connect = await serve(echo)
    client, idle = await connect(), await connect()
    await idle.send(HEAD + b"Content-Length: 2\r\n\r\nok")
    await idle.read_until(b"ok")
    server.closing = True
    await client.send(HEAD + b"\r\n")
    assert b"connection: close" in (await client.read_all()).lower()
    server.close_idle()
    assert await idle.read_all() == b""


async def test_aborted_response_without_chunks_is_reset(serve):
    """A client of HTTP/1.0 takes the end of the connection for the end of the body."""

    async def abort(request, response):
        await response.begin(200, [], b"part")
        await trio.sleep(0.05)
        raise ResponseAborted

    _, connect = await serve(abort)
    client = await connect()
    await client.send(b"GET /a HTTP/1.0\r\nHost: h\r\n\r\n")
    with pytest.raises(trio.BrokenResourceError):
        await client.read_all()


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
@pytest.mark.parametrize("trailers", [[], [(b"X-Reason", b"a")]])
async def test_aborted_response_ends_with_its_trailers_or_looks_incomplete(
    serve, version, trailers
):
    async def abort(request, response):
        response.refusal_headers = lambda refusal, runs: trailers
        await response.begin(200, [], b"one")
        await response.abort(Refusal(ResultCode.UPSTREAM_BROKEN), 1)

    _, connect = await serve(abort)
    client = await connect()
    await client.send(HEAD.replace(b"1.1", version) + b"\r\n")
    data = b""
    with contextlib.suppress(trio.BrokenResourceError):
        data = await client.read_all()
    has_end = data.endswith(b"\r\n0\r\nX-Reason: a\r\n\r\n")
    assert has_end == (version == b"1.1" and bool(trailers))
    assert b"\r\n0\r\n" not in data or has_end


@pytest.mark.parametrize("is_last", [True, False])
async def test_aborted_response_has_no_end_inside_a_piece(serve, is_last):
    aborted = trio.Event()

    async def abort(request, response):
        response.refusal_headers = lambda refusal, runs: [(b"X-Reason", b"a")]
        await response.begin(200, [], b"one")
        send = response.end if is_last else response.send
        with trio.move_on_after(0.1):
            await send(b"x" * 20_000_000)
        aborted.set()
        await response.abort(Refusal(ResultCode.UPSTREAM_BROKEN), 1)

    _, connect = await serve(abort)
    client = await connect()
    await client.send(HEAD + b"\r\n")
    await aborted.wait()
    data = b""
    with contextlib.suppress(trio.BrokenResourceError):
        data = await client.read_all()
    assert b"X-Reason" not in data
    assert not data.endswith(b"\r\n0\r\n\r\n")


async def test_new_connections_found_no_room_beside_silent_ones(serve):
    """The one that was idle longest gives way, a request in flight does not."""
    server, connect = await serve(echo)
    server.max_connections = 3
    idle = [await connect() for _ in range(3)]
    await trio.testing.wait_all_tasks_blocked()
    new = await connect()
    await new.send(HEAD + b"Content-Length: 2\r\n\r\nok")
    assert (await new.read_until(b"ok")).endswith(b"ok")
    assert await idle[0].read_all() == b""
    assert (server.evicted, server.refused) == (1, 0)


async def test_connection_with_a_request_in_flight_does_not_give_way(serve):
    release = trio.Event()

    async def wait(request, response):
        await release.wait()
        await echo(request, response)

    server, connect = await serve(wait)
    server.max_connections = 1
    busy = await connect()
    await busy.send(HEAD + b"Content-Length: 2\r\n\r\nok")
    await trio.testing.wait_all_tasks_blocked()
    with contextlib.suppress(trio.BrokenResourceError):
        assert await (await connect()).read_all() == b""
    release.set()
    assert (await busy.read_until(b"ok")).endswith(b"ok")
    assert (server.evicted, server.refused) == (0, 1)


async def test_requests_in_flight_leave_connections_for_others(serve):
    """A request beyond the limit is refused with a status that means it did not run."""
    release = trio.Event()

    async def wait(request, response):
        await release.wait()
        await echo(request, response)

    server, connect = await serve(wait)
    server.max_connections = 4
    clients = [await connect() for _ in range(4)]
    for client in clients[:3]:
        await client.send(HEAD + b"Content-Length: 2\r\n\r\nok")
    await trio.testing.wait_all_tasks_blocked()
    await clients[3].send(HEAD + b"Content-Length: 2\r\n\r\nok")
    data = (await clients[3].read_all()).lower()
    assert data.startswith(b"http/1.1 503")
    assert b"retry-after: " in data
    release.set()
    for client in clients[:3]:
        assert (await client.read_until(b"ok")).endswith(b"ok")


@pytest.mark.parametrize("closes", ["idle", "for_another"])
async def test_request_that_was_read_as_its_connection_closed_was_lost(serve, closes):
    """Closing idle connections does not cancel one that has begun to read."""
    read = []

    async def answer(request, response):
        read.append(request)
        await echo(request, response)

    server, connect = await serve(answer)
    answered = 0
    for _ in range(30):
        client = await connect()
        await trio.testing.wait_all_tasks_blocked()
        client.stream.socket._sock.send(HEAD + b"Content-Length: 2\r\n\r\nok")
        await trio.lowlevel.checkpoint()  # its task may have been woken
        if closes == "idle":
            server.close_idle()
        else:
            server.max_connections = len(server.connections)
            other = await connect()
            await trio.testing.wait_all_tasks_blocked()
            await other.stream.aclose()
        with contextlib.suppress(trio.BrokenResourceError):
            answered += (await client.read_until(b"ok")).endswith(b"ok")
        await client.stream.aclose()
    assert len(read) == answered


async def test_evicted_head_is_not_continued_by_later_bytes(serve):
    """What follows bytes that were dropped is never taken for a request."""
    read = []

    async def answer(request, response):
        read.append(request.target)
        await echo(request, response)

    server, connect = await serve(answer)
    for _ in range(30):
        client = await connect()
        await client.send(b"POST /first HTTP/1.1\r\nHost: h\r\nX: ")
        await trio.testing.wait_all_tasks_blocked()
        client.stream.socket._sock.send(b"GET /inner HTTP/1.1\r\nHost: h\r\n\r\n\r\n")
        await trio.lowlevel.checkpoint()
        for connection in server.connections:
            if connection.state is ConnectionState.READING:
                connection.holding.on_evicted()
        with contextlib.suppress(trio.BrokenResourceError):
            await client.read_until(b"\r\n\r\n")
        await client.stream.aclose()
        await trio.testing.wait_all_tasks_blocked()
    assert b"/inner" not in read
