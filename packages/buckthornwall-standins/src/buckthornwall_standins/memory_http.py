"""HTTP over the in-memory network: a client backend and a small server."""

from collections.abc import Iterable
from typing import Any

import h11
import httpcore
import trio

from .memory import MemoryNetwork, Stream

__all__ = ["MemoryBackend", "serve_http"]


class _BackendStream(httpcore.AsyncNetworkStream):
    def __init__(self, stream: Stream) -> None:
        self.stream = stream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        try:
            with trio.fail_after(timeout or float("inf")):
                return await self.stream.receive_some(max_bytes)
        except trio.TooSlowError as error:
            raise httpcore.ReadTimeout from error
        except trio.BrokenResourceError as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if not buffer:
            return
        try:
            with trio.fail_after(timeout or float("inf")):
                await self.stream.send_all(buffer)
        except trio.TooSlowError as error:
            raise httpcore.WriteTimeout from error
        except trio.BrokenResourceError as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self) -> None:
        self.stream.close()

    def get_extra_info(self, info: str) -> Any:
        if info == "is_readable":
            return bool(self.stream.buffer) or self.stream.ended
        return None


class MemoryBackend(httpcore.AsyncNetworkBackend):
    """Network backend with which an httpcore pool of a host uses the network."""

    def __init__(self, network: MemoryNetwork, host: str) -> None:
        self.network = network
        self.host = host

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection to a host and port."""
        try:
            with trio.fail_after(timeout or float("inf")):
                stream = await self.network.connect(self.host, host, port)
        except trio.TooSlowError as error:
            raise httpcore.ConnectTimeout from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        return _BackendStream(stream)

    async def sleep(self, seconds: float) -> None:
        """Sleep for a number of seconds."""
        await trio.sleep(seconds)


async def serve_http(app: Any, stream: Stream) -> None:
    """Serve an ASGI application on one persistent connection."""
    connection = h11.Connection(h11.SERVER)
    while connection.our_state is not h11.MUST_CLOSE:
        request = await _next_event(connection, stream)
        if not isinstance(request, h11.Request):
            return
        await _serve_request(app, connection, stream, request)
        if connection.our_state is not h11.DONE:
            return
        if connection.their_state is not h11.DONE:
            return
        connection.start_next_cycle()


async def _next_event(connection: h11.Connection, stream: Stream) -> Any:
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(await stream.receive_some())


async def _serve_request(
    app: Any, connection: h11.Connection, stream: Stream, request: h11.Request
) -> None:
    body = bytearray()
    while not isinstance(
        event := await _next_event(connection, stream), h11.EndOfMessage
    ):
        if isinstance(event, h11.ConnectionClosed):
            return
        body += event.data
    path, _, query = request.target.partition(b"?")
    scope = {
        "type": "http",
        "method": request.method.decode(),
        "path": path.decode(),
        "query_string": query,
        "headers": [(bytes(name), bytes(value)) for name, value in request.headers],
    }
    delivered = False

    async def receive() -> dict[str, Any]:
        nonlocal delivered
        if not delivered:
            delivered = True
            return {"type": "http.request", "body": bytes(body), "more_body": False}
        while not stream.ended:
            await stream.wake.wait()
        return {"type": "http.disconnect"}

    async def send(message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            headers = list(message.get("headers", []))
            event = h11.Response(status_code=message["status"], headers=headers)
            await stream.send_all(connection.send(event))
            return
        data = message.get("body", b"")
        if data:
            await stream.send_all(connection.send(h11.Data(data=data)))
        if not message.get("more_body", False):
            await stream.send_all(connection.send(h11.EndOfMessage()))

    await app(scope, receive, send)
