"""HTTP exchanges over ASGI."""

import math
from typing import Any

import msgspec
import trio

from buckthornwall.capacity import (
    REQUEST_BYTES,
    Holding,
    MemoryBudget,
    MemoryFull,
    growing_bytes,
)
from buckthornwall.codes import Refusal, ResultCode
from buckthornwall.telemetry import log_event
from buckthornwall.utils import TrioClock

__all__ = ["ClientDisconnected", "Exchange", "error_body"]

JSON = "application/json"
# A body beside its decoded form and what is sent to the upstream.
PARSED_COPIES = 3
# What the server and its parser hold of a body that is not complete.
SERVER_BUFFER_BYTES = 128 * 2**10
# Time in which requests that are in flight end, and stalled ones give way.
MEMORY_RETRY_S = 0.5
EVENT_STREAM = "text/event-stream"


class ClientDisconnected(Exception):  # noqa: N818 - not an error
    """The client has closed the connection."""


def error_body(refusal: Refusal) -> dict[str, Any]:
    """Return the JSON error body of a refusal."""
    error: dict[str, Any] = {
        "message": str(refusal),
        "type": refusal.code.name.lower(),
        "code": refusal.code.number,
        "run": refusal.run.value,
    }
    if refusal.retry_after_s is not None:
        error["retry_after_s"] = refusal.retry_after_s
    return {"error": error}


def _no_room(detail: str) -> Refusal:
    return Refusal(ResultCode.CLIENT_MEMORY_FULL, detail, retry_after_s=MEMORY_RETRY_S)


class Exchange:
    """A request and its response.

    Parameters
    ----------
    scope, receive, send
        Arguments of an ASGI application.
    holding
        The account of what is held for the request, by default one without limit.
    """

    def __init__(
        self, scope: dict, receive: Any, send: Any, holding: Holding | None = None
    ) -> None:
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.query: bytes = scope["query_string"]
        self.headers: dict[str, str] = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        self.receive = receive
        self.send = send
        self.holding = holding or MemoryBudget(math.inf, TrioClock()).hold()
        self.started = False
        self.ended = False
        self.close_after = False

    async def read_body(self, limit_bytes: int, timeout_s: float) -> bytes:
        """Return the complete request body.

        Raises
        ------
        Refusal
            If the body is too large, arrives too slowly, or finds no room.
        ClientDisconnected
            If the client closes the connection before the body is complete.
        """
        body = bytearray()
        try:
            with trio.fail_after(timeout_s):
                await self._receive_or_give_way(body, limit_bytes)
            self.holding.resize(REQUEST_BYTES + PARSED_COPIES * len(body))
        except trio.TooSlowError:
            self.close_after = True
            raise Refusal(ResultCode.BODY_TOO_SLOW, f"{timeout_s} s") from None
        except MemoryFull:
            self.close_after = True
            raise _no_room("refused") from None
        return bytes(body)

    async def _receive_or_give_way(self, body: bytearray, limit_bytes: int) -> None:
        """Receive a body, which may be evicted until it is complete."""

        def give_way() -> None:
            body.clear()
            self.holding.charge(REQUEST_BYTES)
            scope.cancel()

        with trio.CancelScope() as scope:
            self.holding.begin_unfinished(give_way)
            try:
                await self._receive_body(body, limit_bytes)
            finally:
                self.holding.end_unfinished()
        if scope.cancelled_caught:
            self.close_after = True
            raise _no_room("evicted")

    async def _receive_body(self, body: bytearray, limit_bytes: int) -> None:
        buffered = 0  # a body that arrives with its head is not buffered by the server
        while True:
            held = REQUEST_BYTES + buffered + growing_bytes(len(body))
            self.holding.resize(held)
            event = await self.receive()
            buffered = SERVER_BUFFER_BYTES
            if event["type"] == "http.disconnect":
                raise ClientDisconnected
            body += event.get("body", b"")
            self.holding.record_progress()
            if len(body) > limit_bytes:
                self.close_after = True
                raise Refusal(ResultCode.BODY_TOO_LARGE, f"{limit_bytes} bytes")
            if not event.get("more_body", False):
                return

    async def wait_for_disconnect(self) -> None:
        """Return once the client has closed the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the status and the headers."""
        self.started = True
        raw_headers = [
            (name.encode(), value.encode("latin-1")) for name, value in headers
        ]
        if self.close_after:
            raw_headers.append((b"connection", b"close"))
        await self.send(
            {"type": "http.response.start", "status": status, "headers": raw_headers}
        )

    async def write(self, body: bytes, more: bool = True) -> None:
        """Send a chunk of the body; the last one if `more` is false."""
        self.ended = not more
        await self.send({"type": "http.response.body", "body": body, "more_body": more})

    async def respond(
        self,
        status: int,
        body: bytes,
        content_type: str = JSON,
        headers: list[tuple[str, str]] | None = None,
    ) -> None:
        """Send a complete response."""
        default_headers = [
            ("content-type", content_type),
            ("content-length", str(len(body))),
        ]
        await self.start(status, default_headers + (headers or []))
        await self.write(body, more=False)

    async def respond_json(
        self,
        value: Any,
        status: int = 200,
        headers: list[tuple[str, str]] | None = None,
    ) -> None:
        """Send a complete response as JSON."""
        await self.respond(status, msgspec.json.encode(value), headers=headers)

    async def refuse(self, refusal: Refusal, key: str | None = None) -> None:
        """Send an error response, or end a started response with an error event.

        Nothing is sent if the response has already ended: its last write may have
        failed, and ending it twice would corrupt the connection's state and bring
        down the whole server.

        Parameters
        ----------
        refusal
            The error to report.
        key
            A new idempotency key to send with it.
        """
        if self.ended:
            log_event("refusal_after_end", "WARNING", path=self.path, detail=refusal)
            return
        body = error_body(refusal)
        if self.started:
            event = b"data: " + msgspec.json.encode(body) + b"\n\n"
            await self.write(event, more=False)
            return
        headers = []
        if refusal.retry_after_s is not None:
            headers.append(("retry-after", str(math.ceil(refusal.retry_after_s))))
        if key is not None:
            headers.append(("idempotency-key", key))
            body["error"]["idempotency_key"] = key
        await self.respond_json(body, refusal.code.status, headers)
