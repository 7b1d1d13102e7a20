"""Whole instances before an upstream whose answers do not end, beside sound ones."""

import itertools
import resource

import pytest
import trio
from buckthornwall.conftest import EndlessServer
from buckthornwall.http1 import ExchangeError

from buckthornwall_standins.users_platform.deployment import DRAFTS, ORDERS

from .test_router import Cluster

SEAL = b"X-Buckthornwall-Response-Seal: s\r\n"
PLAIN = b"HTTP/1.1 200 OK\r\n" + SEAL + b"\r\n"
STREAM = PLAIN + b"id: 1\ndata: word-1\n\n"
CALLS = 40
LIMIT_S = 8.0
MAX_GROWTH_KB = 96 * 1024


@pytest.fixture
async def cluster(nursery):
    cluster = Cluster(nursery)
    await cluster.start(1)
    return cluster


async def register_endless(cluster, name, service, first, repeated):
    """Start an upstream whose answers do not end, and register it."""
    server = EndlessServer(first, repeated, 0.0)
    address = f"127.0.7.99:{cluster.ports}"
    listeners = await trio.open_tcp_listeners(cluster.ports, host="127.0.7.99")
    cluster.nursery.start_soon(trio.serve_listeners, server.handle, listeners)
    cluster.deployment.register(name, service, address)
    await cluster.wait_until(lambda: name in cluster.routers[1].pools.views)
    return server


@pytest.mark.parametrize(
    "repeated", [b"x" * 65536, b"\n" * 65536, bytes(range(256)) * 256]
)
@pytest.mark.parametrize(
    ("path", "service", "first"),
    [
        ("/order/x", ORDERS, PLAIN),
        ("/order/x", ORDERS, b"HTTP/1.1 200 OK\r\n"),
        ("/order/x", ORDERS, b""),
        ("/draft/x", DRAFTS, STREAM),
        ("/draft/x", DRAFTS, PLAIN),
    ],
)
async def test_answers_without_end_took_memory_or_other_requests(
    cluster, path, service, first, repeated
):
    """Callers of that upstream get a failure that is true, the others their answers."""
    server = await register_endless(cluster, "endless", service, first, repeated)
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    statuses = []
    done = itertools.count()

    async def call():
        try:
            status, _, body = await cluster.call(path, prompt=service == DRAFTS)
        except ExchangeError:  # a response that had begun was cut visibly
            statuses.append("cut")
        else:
            statuses.append(status)
            assert status != 200 or b"x" * 99 not in body
        next(done)

    with trio.fail_after(LIMIT_S):
        async with trio.open_nursery() as nursery:
            for _ in range(CALLS):
                nursery.start_soon(call)
                await trio.sleep(0.02)
    assert next(done) == CALLS
    assert statuses.count(200) > CALLS / 4, statuses
    expected = {200, 429, 502, 503} | ({"cut"} if first is STREAM else set())
    assert set(statuses) <= expected, statuses
    with trio.fail_after(2.0):
        while server.open:
            await trio.sleep(0.01)
    grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
    assert grown_kb < MAX_GROWTH_KB
    assert not cluster.ended[1].is_set()
