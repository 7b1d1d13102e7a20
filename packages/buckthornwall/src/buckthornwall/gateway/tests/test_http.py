"""Tests of HTTP exchanges over ASGI."""

import pytest
import trio

from buckthornwall.codes import Refusal, ResultCode
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
