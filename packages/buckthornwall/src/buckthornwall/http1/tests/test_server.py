"""Tests of callers' connections: framing, limits, gone callers, planned stops."""

import pytest
import trio

HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"


async def echo(request, answer):
    await answer.send_complete(200, [(b"X-Target", request.target)], request.body)


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
async def test_what_is_no_proper_request_is_refused_and_closed(serve, head, status):
    _, call = await serve(echo)
    caller = await call()
    await caller.send(head)
    data = await caller.read_all()
    assert data.startswith(b"HTTP/1.1 " + status)
    assert b"connection: close" in data.lower()


@pytest.mark.parametrize(
    "body",
    [
        b"Content-Length: 5\r\n\r\nhello",
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    ],
)
async def test_a_body_comes_with_a_length_or_in_chunks(serve, body):
    _, call = await serve(echo)
    caller = await call()
    await caller.send(HEAD + body)
    assert (await caller.read_until(b"hello")).endswith(b"hello")


async def test_requests_sent_ahead_are_answered_in_turn(serve):
    _, call = await serve(echo)
    caller = await call()
    first = HEAD + b"Content-Length: 3\r\n\r\none"
    await caller.send(first + HEAD + b"Content-Length: 3\r\n\r\ntwo")
    data = await caller.read_until(b"two")
    assert data.index(b"one") < data.index(b"two")
    assert data.count(b"HTTP/1.1 200") == 2


async def test_a_caller_that_leaves_stops_its_request(serve):
    stopped = trio.Event()

    async def hang(request, answer):
        try:
            await trio.sleep_forever()
        finally:
            stopped.set()

    _, call = await serve(hang)
    caller = await call()
    await caller.send(HEAD + b"\r\n")
    await trio.sleep(0.05)
    await caller.stream.aclose()
    with trio.fail_after(0.5):
        await stopped.wait()


async def test_one_fault_ends_its_connection_only(serve):
    async def fail(request, answer):
        if request.target == b"/bad":
            raise RuntimeError("a fault")
        await echo(request, answer)

    _, call = await serve(fail)
    good, bad = await call(), await call()
    await bad.send(b"GET /bad HTTP/1.1\r\nHost: h\r\n\r\n")
    assert await bad.read_all() == b""
    await good.send(HEAD + b"Content-Length: 2\r\n\r\nok")
    assert (await good.read_until(b"ok")).endswith(b"ok")


async def test_an_answer_that_is_not_ended_does_not_look_whole(serve):
    async def cut(request, answer):
        await answer.begin(200, [], b"id: 1\n\n")

    _, call = await serve(cut)
    caller = await call()
    await caller.send(HEAD + b"\r\n")
    data = await caller.read_all()
    assert b"id: 1" in data
    assert not data.endswith(b"0\r\n\r\n")


async def test_a_stopping_server_asks_its_callers_to_leave(serve):
    server, call = await serve(echo)
    caller, idle = await call(), await call()
    await idle.send(HEAD + b"Content-Length: 2\r\n\r\nok")
    await idle.read_until(b"ok")
    server.closing = True
    await caller.send(HEAD + b"\r\n")
    assert b"connection: close" in (await caller.read_all()).lower()
    server.close_idle()
    assert await idle.read_all() == b""
