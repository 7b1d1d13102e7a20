"""Guards against clients that take the memory of an instance's completions interface.

The instance is a process of its own, on a machine as small as any.
"""

from contextlib import suppress
from dataclasses import replace
from functools import partial

import httpcore
import msgspec
import pytest
import trio

from buckthornwall_standins.client_crowd import HANG_S, InstanceProcess
from buckthornwall_standins.deployments import make_api_key
from buckthornwall_standins.fleet import Fleet

from .conftest import POOL, SMALL_DEPLOYMENT

pytestmark = [pytest.mark.live, pytest.mark.crowd]

MACHINE_MIB = 88
CROWD = 100
ONE_INSTANCE = replace(SMALL_DEPLOYMENT, nodes=1, pools={POOL: 1})
LOAD = ONE_INSTANCE.loads[0]
BODY = 1_000_000
CHUNK = b"10000\r\n" + b"x" * 65_536 + b"\r\n"


@pytest.fixture
async def fleet():
    async with Fleet.running(ONE_INSTANCE) as fleet:
        yield fleet


def process_of(fleet):
    node = fleet.nodes[0]
    return InstanceProcess(node.process.pid, node.host)


async def ask(fleet):
    """Make an ordinary request; return its status, or None without an answer."""
    content = msgspec.json.encode(
        {"model": POOL, "messages": [{"role": "user", "content": "nonce=a length=3"}]}
    )
    headers = [("authorization", f"Bearer {make_api_key(LOAD.teams[0][0])}")]
    url = f"http://{fleet.nodes[0].caller_address}/v1/chat/completions"
    with trio.move_on_after(HANG_S):
        try:
            response = await fleet.http.request(
                "POST", url, headers=headers, content=content
            )
        except httpcore.NetworkError:
            return None
        return response.status
    return None


async def expect_sound(fleet):
    """Assert that the process lives, within its machine, and answers."""
    process = process_of(fleet)
    assert process.is_alive()
    assert await ask(fleet) == 200
    assert process.peak_mib < MACHINE_MIB


async def send_part(fleet, framing, body, stream):
    """Send a request that stops short."""
    head = [
        "POST /v1/chat/completions HTTP/1.1",
        "Host: h",
        f"Authorization: Bearer {make_api_key(LOAD.teams[0][0])}",
        framing,
    ]
    await stream.send_all("\r\n".join(head).encode() + b"\r\n\r\n" + body)


@pytest.mark.parametrize(
    ("framing", "body"),
    [
        ("Transfer-Encoding: chunked", CHUNK * (BODY // 65_536)),
        (f"Content-Length: {BODY}", b"x" * (BODY - 1024)),
        (
            "Transfer-Encoding: chunked",
            b"200\r\n" + (b"x" * 512 + b"\r\n200\r\n") * 1900,
        ),
    ],
)
async def test_bodies_that_stop_short_took_the_memory(fleet, nursery, framing, body):
    streams = []
    host, _, port = fleet.nodes[0].caller_address.rpartition(":")

    async def act(stream):
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await send_part(fleet, framing, body, stream)

    assert await ask(fleet) == 200
    with trio.move_on_after(HANG_S):
        async with trio.open_nursery() as crowd:
            for _ in range(CROWD):
                stream = await trio.open_tcp_stream(host, int(port))
                streams.append(stream)
                crowd.start_soon(partial(act, stream))
    await expect_sound(fleet)
    for stream in streams:
        await trio.aclose_forcefully(stream)
    await expect_sound(fleet)
