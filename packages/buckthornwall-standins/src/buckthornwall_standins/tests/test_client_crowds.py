"""Guards against clients that take the memory, descriptors or time of an instance.

Each test starts an instance as a process of its own. A machine as small as any has 88
MiB, and keeps 200 of its descriptors for files.
"""

from contextlib import suppress
from functools import partial

import pytest
import trio
from buckthornwall.forwarding.relay_messages import RelayedRequest, encode_relayed

from buckthornwall_standins.client_crowd import (
    HANG_S,
    MIB,
    SLOW_PATH,
    SLOW_S,
    open_run,
    read_until_end,
)
from buckthornwall_standins.users_platform import Upstream
from buckthornwall_standins.users_platform.deployment import API_KEY, HOST

pytestmark = [pytest.mark.live, pytest.mark.crowd]

MACHINE_MIB = 88
# What the settings keep of it for the instance itself.
OWN_MIB = 56
FILE_DESCRIPTORS = 200
PORTS = 6900
CROWD = 100
# Of the descriptors of a machine as small as any, 2,875 are left for sockets.
LARGE_CROWD = 2500
CHUNKED = "Transfer-Encoding: chunked"
CALLERS, READY, PEERS, METRICS = range(4)
# Statuses that promise that a request has not run and will not.
NOT_RUN = {b"408", b"413", b"429", b"431", b"503"}


@pytest.fixture
async def run(tmp_path):
    async with open_run(PORTS, tmp_path) as run:
        yield run


def chunks(size, count, data=b"x"):
    """Return `count` chunks of `size` bytes."""
    return (b"%x\r\n" % size + data * size + b"\r\n") * count


def unfinished_body(size):
    """Return chunks of `size` bytes that stop 1 KiB short of the limit."""
    return chunks(size, (MIB - 1024) // size)


async def expect_sound(run):
    """Assert that the process lives, within its machine, and answers."""
    assert run.process.is_alive()
    assert await run.ask() == 200
    assert run.process.peak_mib < MACHINE_MIB
    assert run.process.peak_mib + run.process.unread_mib < MACHINE_MIB


async def expect_released(run):
    """Assert that the memory is given back once the crowd has gone."""
    with trio.move_on_after(HANG_S):
        while run.process.resident_mib >= OWN_MIB:
            await trio.sleep(0.1)
    assert run.process.resident_mib < OWN_MIB


async def send_part(run, head, body, stream):
    """Send a request that stops short."""
    await stream.send_all(head() + body)


async def send_without_end(run, head, piece, stream):
    """Send a request that goes on until it is refused, or for 16 MiB."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(read_until_end, stream)
        with suppress(trio.BrokenResourceError):  # refused and closed
            await stream.send_all(head())
            for _ in range(16 * MIB // len(piece)):
                await stream.send_all(piece)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("size", [65_536, 512])
async def test_bodies_that_stop_short_took_the_memory(run, size):
    await run.start()
    kept = await run.connect()
    assert await run.ask(kept) == 200
    head = partial(run.head, framing=CHUNKED)
    async with run.crowd(CROWD, partial(send_part, run, head, unfinished_body(size))):
        assert await run.ask(kept) == 200
        await expect_sound(run)
    await expect_sound(run)
    await expect_released(run)


async def test_bodies_of_known_length_that_stop_short_took_the_memory(run):
    await run.start()
    head = partial(run.head, framing=f"Content-Length: {MIB}")
    async with run.crowd(CROWD, partial(send_part, run, head, b"x" * (MIB - 1024))):
        await expect_sound(run)
    await expect_sound(run)


async def test_bodies_without_end_took_the_memory(run):
    await run.start()
    head = partial(run.head, framing=CHUNKED)
    piece = chunks(65_536, 1)
    async with run.crowd(CROWD, partial(send_without_end, run, head, piece)):
        await expect_sound(run)
    await expect_sound(run)
    await expect_released(run)


async def test_announced_bodies_over_the_limit_are_refused(run):
    await run.start()
    head = partial(run.head, framing="Content-Length: 1073741824")
    piece = b"x" * 65_536
    async with run.crowd(CROWD, partial(send_without_end, run, head, piece)):
        await expect_sound(run)
    await expect_sound(run)


@pytest.mark.parametrize(
    "chunk", [chunks(1, 1), b"0001;a=b\r\nx\r\n", chunks(1, 1) + chunks(2, 1)]
)
async def test_chunks_of_a_byte_stopped_the_event_loop(run, chunk):
    await run.start()
    kept = await run.connect()
    assert await run.ask(kept) == 200
    head = partial(run.head, framing=CHUNKED)
    body = chunk * ((MIB - 1024) // 2)
    act = partial(send_part, run, head, body)
    async with run.crowd(CROWD, act, settle=False):
        for _ in range(5):
            assert await run.ask(kept) == 200
            assert await run.ask() == 200
    await expect_sound(run)


@pytest.mark.parametrize("size", [1, 2, 1024, MIB])
async def test_body_of_the_limit_is_answered_whatever_its_chunks(run, size):
    await run.start()
    connection = await trio.open_tcp_stream("127.0.8.1", PORTS)
    head = run.head("/order/x", CHUNKED)
    await connection.send_all(head + chunks(size, MIB // size) + b"0\r\n\r\n")
    with trio.fail_after(HANG_S):
        assert (await connection.receive_some()).startswith(b"HTTP/1.1 200")
    await expect_sound(run)


class Requests:
    """Complete requests to the slow upstream, and the statuses that they get."""

    def __init__(self, run, body=b"", lines=""):
        self.run = run
        self.body = body
        self.lines = lines
        self.statuses = {}

    async def send(self, stream):
        """Send one, and note its status if it gets one."""
        request = f"large-{next(self.run.numbers)}"
        framing = f"{self.lines}Content-Length: {len(self.body)}"
        head = self.run.head(SLOW_PATH, framing, request)
        await stream.send_all(head + self.body)
        with trio.move_on_after(2.0):
            self.statuses[request] = (await stream.receive_some())[9:12]

    def assert_not_run(self):
        """Assert that no request has run whose status promises that it has not."""
        refused = {name for name, each in self.statuses.items() if each in NOT_RUN}
        assert not refused & self.run.slow.runs.keys()


async def test_large_requests_that_wait_took_the_memory(run):
    await run.start()
    requests = Requests(run, b"x" * MIB)
    async with run.crowd(CROWD, requests.send):
        await expect_sound(run)
    await expect_sound(run)
    requests.assert_not_run()


async def test_heads_of_many_lines_took_the_memory(run):
    await run.start()
    requests = Requests(run, lines="a:\r\n" * 4000)
    async with run.crowd(CROWD, requests.send):
        await expect_sound(run)
    await expect_sound(run)
    requests.assert_not_run()


async def test_small_requests_that_wait_took_the_memory(run):
    await run.start()
    requests = Requests(run, b"x" * 2000)
    async with run.crowd(LARGE_CROWD, requests.send):
        await expect_sound(run)
    await expect_sound(run)
    requests.assert_not_run()


async def test_heads_that_stop_short_took_the_memory(run):
    run.deployment.limits["header_timeout_ms"] = 60_000
    await run.start()
    head = run.head()[:-2] + b"X: " + b"x" * 15_000
    async with run.crowd(LARGE_CROWD, partial(send_part, run, lambda: head, b"")):
        await expect_sound(run)
    await expect_sound(run)


async def test_bytes_sent_ahead_of_a_response_took_the_memory(run):
    await run.start()
    head = partial(run.head, SLOW_PATH, "Content-Length: 0")
    ahead = run.head() * (2 * MIB // 300)

    async def send_ahead(stream):
        with trio.move_on_after(3.0):
            await stream.send_all(head() + ahead)

    async with run.crowd(500, send_ahead):
        await expect_sound(run)
    await expect_sound(run)


class LargeReplies(Upstream):
    """An upstream whose replies have 3 MiB."""

    async def _answer(self, request, response, headers):
        await response.send_complete(200, headers, bytes(3 * MIB))


async def test_large_responses_that_nobody_reads_took_the_memory(run):
    run.slow = LargeReplies("slow", work_s=0.1)
    await run.start()

    async def send_and_wait(stream):
        await stream.send_all(run.head(SLOW_PATH, "Content-Length: 0"))
        await trio.sleep(2.0)

    async with run.crowd(CROWD, send_and_wait):
        await expect_sound(run)
    await expect_sound(run)


@pytest.mark.parametrize("listener", [CALLERS, READY, PEERS, METRICS])
async def test_silent_connections_took_all_descriptors(run, listener):
    limit = 600
    run.deployment.limits["idle_timeout_ms"] = 120_000
    await run.start(descriptors=limit)

    async def say_nothing(stream):
        pass

    async with run.crowd(limit, say_nothing, listener):
        await expect_sound(run)
        assert run.process.descriptors < limit - FILE_DESCRIPTORS
    await expect_sound(run)


async def test_pipelined_requests_whose_responses_nobody_reads(run):
    await run.start()
    kept = await run.connect()
    piece = run.head("/nowhere/", "Content-Length: 0") * 200

    async def send(stream):
        for _ in range(16 * MIB // len(piece)):
            await stream.send_all(piece)

    async with run.crowd(CROWD, send, settle=False):
        for _ in range(5):
            assert await run.ask(kept) == 200
            await expect_sound(run)
    await expect_sound(run)


async def test_heads_of_many_lines_stopped_the_event_loop(run):
    await run.start()
    kept = await run.connect()
    assert await run.ask(kept) == 200
    piece = run.head("/nowhere/", "a:\r\n" * 4000 + "Content-Length: 0")

    async def send(stream):
        for _ in range(4 * MIB // len(piece)):
            await stream.send_all(piece)

    async with run.crowd(400, send, settle=False):
        for _ in range(2):
            assert await run.ask(kept) == 200
            assert await run.ask() == 200
    await expect_sound(run)


async def test_bodies_at_the_listener_for_peers_took_the_memory(run):
    await run.start()
    head = b"POST /relay HTTP/1.1\r\nHost: h\r\n" + CHUNKED.encode() + b"\r\n\r\n"
    act = partial(send_part, run, lambda: head, unfinished_body(65_536))
    async with run.crowd(CROWD, act, PEERS):
        await expect_sound(run)
    await expect_sound(run)


async def test_requests_of_peers_that_wait_took_the_memory(run):
    await run.start()

    async def relay(stream):
        request = f"relayed-{next(run.numbers)}"
        message = RelayedRequest(
            id=request,
            method=b"POST",
            target=SLOW_PATH.encode(),
            host=HOST,
            path=SLOW_PATH,
            headers=[],
            body=b"x" * MIB,
            key=API_KEY,
            elapsed_ms=0,
            remaining_ms=int(SLOW_S * 1000),
            prompt=None,
            resume_after="",
            reached=[],
            runs=0,
            number=0,
        )
        body = encode_relayed(message)
        head = b"POST /relay HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        await stream.send_all(head % len(body) + body)

    async with run.crowd(CROWD, relay, PEERS):
        await expect_sound(run)
    await expect_sound(run)
