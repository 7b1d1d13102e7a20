"""Bad input from callers, upstreams and peers: coded errors, no effect on others."""

import socket

import msgspec
import pytest
import trio
from buckthornwall.codes import Refusal, ResultCode
from buckthornwall.gateway.http import Exchange
from buckthornwall.links import Challenge, Hello, decode_batch, encode_batch
from trio.testing import MockClock
from websockets.trio.client import connect

from buckthornwall_standins.callers import Callers, Verdict
from buckthornwall_standins.deployments import make_api_key
from buckthornwall_standins.faults import Cell, CellRun, Fault, Step
from buckthornwall_standins.fleet import Fleet
from buckthornwall_standins.memory_fleet import MemoryFleet, make_deterministic

from .conftest import POOL

GOOD = {"model": "m", "messages": [{"role": "user", "content": "nonce=a length=3"}]}


@pytest.fixture
def in_memory():
    """Return a function that runs a test's coroutine with an in-memory fleet."""

    def run(body):
        async def main():
            async with MemoryFleet.running() as fleet:
                await body(fleet, CellRun(fleet, Cell(Step.RECEIVED, (Fault.NONE,))))

        make_deterministic(3)
        trio.run(main, clock=MockClock(autojump_threshold=0))

    return run


async def post(run, path, content, key="one", headers=()):
    response = await run.callers.pool.request(
        "POST",
        f"http://{run.entry.caller_address}{path}",
        headers=[("authorization", f"Bearer {make_api_key(key)}"), *headers],
        content=content,
    )
    return response.status, msgspec.json.decode(response.content)


def encoded(**changes):
    return msgspec.json.encode({**GOOD, **changes})


CHAT = "/v1/chat/completions"
CASES = [
    (CHAT, b"{", {}, 400, 1001),
    (CHAT, b"[]", {}, 400, 1001),
    (CHAT, b"\xff\xfe", {}, 400, 1001),
    (CHAT, encoded(model=5), {}, 400, 1001),
    (CHAT, encoded(messages=[]), {}, 400, 1001),
    (CHAT, encoded(messages=["x"]), {}, 400, 1001),
    (CHAT, encoded(stream="yes"), {}, 400, 1001),
    (CHAT, encoded(max_tokens=0), {}, 400, 1001),
    ("/v1/completions", encoded(), {}, 400, 1001),
    (CHAT, b" " * 1_000_001, {}, 413, 1002),
    (CHAT, encoded(), {"key": "nobody"}, 401, 1004),
    (CHAT, encoded(model="unknown"), {}, 404, 1005),
    (CHAT, encoded(model="orders"), {}, 404, 1005),
    (CHAT, encoded(), {"headers": [("x-service-class", "none")]}, 403, 1006),
    ("/nowhere", b"", {}, 404, 1007),
    ("/v1/models", b"", {}, 405, 1008),
    ("/services/unknown/x", b"", {}, 404, 1005),
    ("/services/orders/confirm", b"", {}, 428, 4001),
    (
        "/services/orders/confirm",
        b"",
        {"headers": [("idempotency-key", "x")]},
        428,
        4002,
    ),
]


def test_bad_requests_get_their_codes_and_do_not_affect_good_ones(in_memory):
    async def body(fleet, run):
        for path, content, options, status, code in CASES:
            found = await post(run, path, content, **options)
            assert found[0] == status, (path, found)
            assert found[1]["error"]["code"] == code
            assert found[1]["error"]["run"] == "no"
        assert (await run.request(run.entry, "urgent", 4)).verdict is Verdict.COMPLETE
        assert not fleet.service.confirmed

    in_memory(body)


async def test_slow_body_is_refused_at_its_timeout(autojump_clock):
    async def receive():
        await trio.sleep(4)
        return {"type": "http.request", "body": b"x", "more_body": True}

    scope = {"method": "POST", "path": CHAT, "query_string": b"", "headers": []}
    with pytest.raises(Refusal) as caught:
        await Exchange(scope, receive, None).read_body(1000, timeout_s=10.0)
    assert caught.value.code is ResultCode.BODY_TOO_SLOW
    assert trio.current_time() == pytest.approx(10.0, abs=0.01)


def test_request_of_a_disconnected_caller_is_cancelled(in_memory):
    async def body(fleet, run):
        run.main = run.new_outcome(run.entry, "urgent", 300)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run.run_main)
            nonce = run.main.arrival.nonce
            engines = fleet.engines.values()
            await fleet.wait_until(lambda: any(e.generated[nonce] > 5 for e in engines))
            run.main_scope.cancel()
            await trio.sleep(0.3)
            assert sum(e.generated[nonce] for e in engines) < 30
            assert not any(e.running for e in engines)
        assert not run.entry.node.entry.held

    in_memory(body)


def test_garbled_response_of_an_engine_is_retried_at_another(in_memory):
    async def body(fleet, run):
        bad = fleet.engines["m-1"]
        bad.sends_garbage = True
        outcomes = [await run.request(run.entry, "urgent", 4) for _ in range(6)]
        assert all(each.verdict is Verdict.COMPLETE for each in outcomes)

    in_memory(body)


def test_engine_that_refuses_while_draining_is_not_asked_again(in_memory):
    async def body(fleet, run):
        for engine in fleet.engines.values():
            engine.leaving = engine.name == "m-1"
        outcomes = [await run.request(run.entry, "urgent", 4) for _ in range(6)]
        assert all(each.verdict is Verdict.COMPLETE for each in outcomes)
        assert fleet.engines["m-1"].requests_while_leaving <= 1

    in_memory(body)


def test_request_without_any_engine_is_refused_at_once_as_not_run(in_memory):
    async def body(fleet, run):
        records = fleet.records(9)
        records["records"] = [
            each
            for each in records["records"]
            if each["kind"] != "upstream" or each["type"] != "engine"
        ]
        fleet.publish(9, records)
        await fleet.wait_until(lambda: run.entry.node.store.number == 9)
        before = trio.current_time()
        outcome = await run.request(run.entry, "urgent", 4)
        assert (outcome.verdict, outcome.code) == (Verdict.REFUSED, 2003)
        assert outcome.run == "no"
        assert trio.current_time() - before < 0.5

    in_memory(body)


@pytest.mark.live
async def test_peer_without_the_secret_or_with_malformed_messages_is_refused(
    small_deployment,
):
    async with Fleet.running(small_deployment) as fleet:
        node = fleet.nodes[0]
        async with connect(f"ws://{node.peer_address}", proxy=None) as socket_:
            challenge = decode_batch(await socket_.recv())[0]
            assert isinstance(challenge, Challenge)
            hello = Hello("intruder", 1, "127.0.0.1:9", b"\0" * 32)
            await socket_.send(encode_batch([hello]))
            with pytest.raises(Exception, match="1000|closed"):
                await socket_.recv()
        async with connect(f"ws://{node.peer_address}", proxy=None) as socket_:
            await socket_.recv()
            await socket_.send(b"\xff\x00 not cbor")
            with pytest.raises(Exception, match="1000|closed"):
                await socket_.recv()
        with socket.create_connection(node.peer_address.split(":")) as raw:
            raw.sendall(b"\0" * 100)
        status = await fleet.status(node)
        assert status["state"] == "ready"
        assert "intruder" not in [each["node"] for each in status["members"]]


@pytest.mark.live
async def test_slow_and_oversized_heads_do_not_delay_other_callers(
    small_deployment, make_callers
):
    async with Fleet.running(small_deployment) as fleet:
        node = fleet.nodes[0]
        address = node.caller_address.split(":")
        with (
            socket.create_connection(address) as slow,
            socket.create_connection(address) as large,
        ):
            slow.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nhost:")
            large.sendall(b"GET / HTTP/1.1\r\nx: " + b"y" * 40_000)
            callers: Callers = make_callers(fleet, 2.0, 0.3)
            await callers.run(2.0)
            assert {o.verdict for o in callers.outcomes} == {Verdict.COMPLETE}
            large.settimeout(5)
            answer = await trio.to_thread.run_sync(large.recv, 100)
            assert answer.startswith(b"HTTP/1.1 4")
    assert POOL in fleet.deployment.pools
