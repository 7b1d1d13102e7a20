"""Tests of one HTTP exchange over ASGI."""

import pytest
import trio

from buckthornwall.codes import Refusal, ResultCode
from buckthornwall.gateway.http import Exchange


def exchange_over(send) -> Exchange:
    scope = {"method": "GET", "path": "/x", "query_string": b"", "headers": []}
    return Exchange(scope, None, send)


async def test_a_refusal_after_a_failed_last_write_sends_nothing():
    """A second end of one answer ended every connection of the server."""
    sent = []

    async def send(message):
        sent.append(message)
        if not message.get("more_body", True):
            raise trio.BrokenResourceError

    exchange = exchange_over(send)
    with pytest.raises(trio.BrokenResourceError):
        await exchange.respond(200, b"whole")
    before = len(sent)
    await exchange.refuse(Refusal(ResultCode.UPSTREAM_BROKEN, "internal error"))
    assert len(sent) == before


async def test_a_refusal_ends_a_stream_that_has_begun():
    sent = []

    async def send(message):
        sent.append(message)

    exchange = exchange_over(send)
    await exchange.start(200, [])
    await exchange.write(b"data: a\n\n")
    await exchange.refuse(Refusal(ResultCode.UPSTREAM_BROKEN, "gone"))
    assert sent[-1]["more_body"] is False
    assert b"3002" in sent[-1]["body"]
