"""Tests of HTTP exchanges over ASGI."""

import pytest
import trio
import trio.testing

from buckthornwall.capacity import MemoryBudget
from buckthornwall.codes import Executed, Refusal, ResultCode
from buckthornwall.gateway.http import Exchange


def exchange_over(send) -> Exchange:
    scope = {"method": "GET", "path": "/x", "query_string": b"", "headers": []}
    return Exchange(scope, None, send)


async def test_refusal_after_failed_final_write_sends_nothing():
    """Ending a response twice ends every connection of the server."""
    sent = []

    async def send(message):
        sent.append(message)
        if not message.get("more_body", True):
            raise trio.BrokenResourceError

    exchange = exchange_over(send)
    with pytest.raises(trio.BrokenResourceError):
        await exchange.respond(200, b"whole")
    sent_before = len(sent)
    await exchange.refuse(Refusal(ResultCode.UPSTREAM_BROKEN, "internal error"))
    assert len(sent) == sent_before


async def test_refusal_ends_started_stream():
    sent = []

    async def send(message):
        sent.append(message)

    exchange = exchange_over(send)
    await exchange.start(200, [])
    await exchange.write(b"data: a\n\n")
    await exchange.refuse(Refusal(ResultCode.UPSTREAM_BROKEN, "gone"))
    assert sent[-1]["more_body"] is False
    assert b"3002" in sent[-1]["body"]


def receiving(*bodies, memory):
    """Return an exchange that receives parts of a body, and then nothing more."""
    parts = [{"type": "http.request", "body": x, "more_body": True} for x in bodies]

    async def receive():
        if not parts:
            await trio.sleep_forever()
        return parts.pop(0)

    scope = {"method": "POST", "path": "/x", "query_string": b"", "headers": []}
    return Exchange(scope, receive, None, memory.hold())


async def test_incomplete_bodies_gave_no_way_to_others(clock):
    """The evicted request gets a refusal that states that it has not run."""
    memory = MemoryBudget(1_200_000, clock)
    stalled = receiving(b"x" * 300_000, memory=memory)
    refusals = []

    async def read_stalled():
        with pytest.raises(Refusal) as refused:
            await stalled.read_body(400_000, 10.0)
        refusals.append(refused.value)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(read_stalled)
        await trio.testing.wait_all_tasks_blocked()
        clock.time += 1.0
        other = receiving(b"x" * 300_000, b"x" * 100_000, memory=memory)
        with trio.move_on_after(0.1):
            await other.read_body(400_000, 10.0)
    assert refusals[0].code is ResultCode.CLIENT_MEMORY_FULL
    assert refusals[0].run is Executed.NO
    assert stalled.close_after
    assert memory.evicted == 1


async def test_body_that_finds_no_room_is_refused(clock):
    memory = MemoryBudget(1_000_000, clock)
    memory.hold().charge(900_000)
    with pytest.raises(Refusal) as refused:
        await receiving(b"x", memory=memory).read_body(400_000, 10.0)
    assert refused.value.retry_after_s > 0
