"""A network in memory: streams between hosts that can be held, cut and killed.

Everything above it is the real code: the HTTP client, the stand-ins' own
applications, and the codec of the links. It runs under trio's mock clock.
"""

from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from typing import Any

import h11
import httpcore
import trio
from buckthornwall.codes import PeerError
from buckthornwall.links import LinkSettings, Message, decode_batch, encode_batch
from buckthornwall.utils import Incarnation, NodeId

__all__ = ["MemoryBackend", "MemoryHub", "MemoryNetwork", "serve_http"]

LATENCY_S = 0.0005
READ_BYTES = 65536
FRAME_HEAD = 4
REDIAL_S = 0.05

Handler = Callable[["Stream"], Awaitable[None]]


class Stream:
    """One end of a connection between two hosts."""

    def __init__(self, network: "MemoryNetwork", host: str, peer_host: str) -> None:
        self.network = network
        self.host = host
        self.peer_host = peer_host
        self.peer: Stream
        self.buffer = bytearray()
        self.held: deque[bytes] = deque()
        self.ended = False
        self.reset = False
        self.end_held: bool | None = None
        self.wake = trio.Event()

    def _notify(self) -> None:
        self.wake.set()
        self.wake = trio.Event()

    def arrive(self, data: bytes) -> None:
        """Take bytes from the other end; hold them while the way is blocked."""
        if self.network.is_blocked(self.host, self.peer_host):
            self.held.append(data)
        elif not self.ended:
            self.buffer += data
            self._notify()

    def release(self) -> None:
        """Take in what was held, if the way is free again."""
        if not self.network.is_blocked(self.host, self.peer_host):
            while self.held:
                self.buffer += self.held.popleft()
            if self.end_held is not None:
                self.end(self.end_held)
            self._notify()

    def end(self, reset: bool) -> None:
        """See the other end's close, or hold it while the way is blocked."""
        if self.network.is_blocked(self.host, self.peer_host):
            self.end_held = reset
            return
        self.ended = True
        self.reset = self.reset or reset
        self._notify()

    async def send_all(self, data: bytes) -> None:
        """Send bytes."""
        await trio.sleep(LATENCY_S)
        if self.reset or self.ended:
            raise trio.BrokenResourceError("the other end has closed")
        self.peer.arrive(bytes(data))

    async def receive_some(self, limit: int = READ_BYTES) -> bytes:
        """Wait for bytes; empty when the other end has closed."""
        while not self.buffer and not self.ended:
            await self.wake.wait()
        await trio.lowlevel.checkpoint()
        if not self.buffer and self.reset:
            raise trio.BrokenResourceError("reset by the other end")
        data = bytes(self.buffer[:limit])
        del self.buffer[:limit]
        return data

    def close(self, reset: bool = False) -> None:
        """Close this end; the other sees it unless the way is blocked."""
        self.ended = True
        self.network.streams.discard(self)
        self.peer.end(reset)
        self._notify()


class MemoryNetwork:
    """Hosts, listeners and the state of the ways between them."""

    def __init__(self) -> None:
        self.listeners: dict[tuple[str, int], tuple[Handler, trio.Nursery]] = {}
        self.streams: set[Stream] = set()
        self.cuts: set[frozenset[str]] = set()
        self.frozen: set[str] = set()
        self.dead: set[str] = set()

    def is_blocked(self, one: str, other: str) -> bool:
        """Tell whether nothing passes between two hosts now."""
        return (
            frozenset((one, other)) in self.cuts
            or one in self.frozen
            or other in self.frozen
        )

    def listen(self, address: str, handler: Handler, nursery: trio.Nursery) -> None:
        """Serve connections to an address by a handler."""
        host, port = address.rsplit(":", 1)
        self.listeners[host, int(port)] = (handler, nursery)

    def close_listener(self, address: str) -> None:
        """Refuse connections to an address from now on."""
        host, port = address.rsplit(":", 1)
        self.listeners.pop((host, int(port)), None)

    async def connect(self, from_host: str, host: str, port: int) -> Stream:
        """Open a connection; hang while the way is blocked."""
        await trio.sleep(LATENCY_S)
        while self.is_blocked(from_host, host):
            await trio.sleep(REDIAL_S)
        listener = self.listeners.get((host, port))
        if listener is None or host in self.dead:
            raise OSError("connection refused")
        handler, nursery = listener
        near, far = Stream(self, from_host, host), Stream(self, host, from_host)
        near.peer, far.peer = far, near
        self.streams |= {near, far}
        nursery.start_soon(self._serve, handler, far)
        return near

    @staticmethod
    async def _serve(handler: Handler, stream: Stream) -> None:
        try:
            await handler(stream)
        except trio.BrokenResourceError:
            pass
        finally:
            stream.close()

    def cut(self, one: str, other: str) -> None:
        """Let nothing through between two hosts, silently."""
        self.cuts.add(frozenset((one, other)))

    def freeze(self, host: str) -> None:
        """Let nothing in or out of a host."""
        self.frozen.add(host)

    def heal(self) -> None:
        """Undo every cut, and let through what was held."""
        self.cuts.clear()
        self.release()

    def thaw(self, host: str) -> None:
        """Undo a freeze, and let through what was held."""
        self.frozen.discard(host)
        self.release()

    def release(self) -> None:
        """Let through whatever is no longer blocked."""
        for stream in list(self.streams):
            stream.release()

    def kill(self, host: str) -> None:
        """Close every connection of a host, and its listeners, at once."""
        self.dead.add(host)
        for key in [key for key in self.listeners if key[0] == host]:
            del self.listeners[key]
        for stream in [each for each in self.streams if each.host == host]:
            stream.close(reset=True)

    def revive(self, host: str) -> None:
        """Let a killed host listen again."""
        self.dead.discard(host)


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
    """Lets an httpcore pool of one host use the network in memory."""

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
        """Open a connection."""
        try:
            with trio.fail_after(timeout or float("inf")):
                stream = await self.network.connect(self.host, host, port)
        except trio.TooSlowError as error:
            raise httpcore.ConnectTimeout from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        return _BackendStream(stream)

    async def sleep(self, seconds: float) -> None:
        """Wait."""
        await trio.sleep(seconds)


async def serve_http(app: Any, stream: Stream) -> None:
    """Serve an ASGI application on one connection, request after request."""
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


class _MemoryLink:
    """One dialled peer."""

    def __init__(self, node: NodeId, address: str) -> None:
        self.node = node
        self.address = address
        self.queue: deque[Message] = deque()
        self.wake = trio.Event()
        self.up = False
        self.scope = trio.CancelScope()


class MemoryHub:
    """A `LinkHub` on the network in memory: same messages, same codec."""

    def __init__(
        self,
        network: MemoryNetwork,
        node: NodeId,
        incarnation: Incarnation,
        settings: LinkSettings,
        deliver: Callable[[NodeId, Message], None],
    ) -> None:
        self.network = network
        self.node = node
        self.incarnation = incarnation
        self.settings = settings
        self.deliver = deliver
        self.host = settings.listen.rsplit(":", 1)[0]
        self.on_hello = self.on_up = self.on_down = lambda *arguments: None
        self.bytes_sent = self.bytes_received = self.messages_sent = 0
        self.links: dict[NodeId, _MemoryLink] = {}

    def send(self, node: NodeId, message: Message) -> bool:
        """Queue a message; see `LinkHub.send`."""
        if node == self.node:
            self.deliver(node, message)
            return True
        link = self.links.get(node)
        if link is None or not link.up:
            return False
        link.queue.append(message)
        link.wake.set()
        return True

    def is_up(self, node: NodeId) -> bool:
        """Tell whether a link stands."""
        return node == self.node or (node in self.links and self.links[node].up)

    def set_peer(self, node: NodeId, address: str) -> None:
        """Dial a peer."""
        link = self.links.get(node)
        if node == self.node or (link is not None and link.address == address):
            return
        if link is not None:
            link.scope.cancel()
        link = self.links[node] = _MemoryLink(node, address)
        self.nursery.start_soon(self._dial_forever, link)

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listen and keep every link until cancelled."""
        async with trio.open_nursery() as self.nursery:
            self.network.listen(self.settings.listen, self._accept, self.nursery)
            task_status.started()
            await trio.sleep_forever()

    async def _dial_forever(self, link: _MemoryLink) -> None:
        host, port = link.address.rsplit(":", 1)
        with link.scope:
            while True:
                try:
                    stream = await self.network.connect(self.host, host, int(port))
                    await self._send_forever(link, stream)
                except (OSError, trio.BrokenResourceError):
                    pass
                if link.up:
                    link.up = False
                    link.queue.clear()
                    self.on_down(link.node)
                await trio.sleep(REDIAL_S)

    async def _send_forever(self, link: _MemoryLink, stream: Stream) -> None:
        name = f"{self.node}|{self.settings.listen}".encode()
        await stream.send_all(len(name).to_bytes(FRAME_HEAD) + name)
        link.up = True
        self.on_up(link.node)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_end, stream, nursery.cancel_scope)
            while True:
                while not link.queue:
                    link.wake = trio.Event()
                    await link.wake.wait()
                frame = encode_batch(link.queue)
                link.queue.clear()
                try:
                    await stream.send_all(len(frame).to_bytes(FRAME_HEAD) + frame)
                except trio.BrokenResourceError:
                    break
            nursery.cancel_scope.cancel()

    @staticmethod
    async def _watch_end(stream: Stream, scope: trio.CancelScope) -> None:
        while not stream.ended:
            await stream.wake.wait()
        scope.cancel()

    async def _accept(self, stream: Stream) -> None:
        reader = partial(_read_frame, stream)
        peer = None
        try:
            name = await reader()
            node, _, address = name.decode().partition("|")
            peer = NodeId(node)
            self.on_hello(peer, address)
            while frame := await reader():
                for message in decode_batch(frame):
                    self.deliver(peer, message)
        except (trio.BrokenResourceError, PeerError):
            pass
        finally:
            if peer is not None:
                self.on_down(peer)


async def _read_frame(stream: Stream) -> bytes:
    """Return one frame; empty at the end of the stream."""
    data = bytearray()
    size = FRAME_HEAD
    while len(data) < size:
        part = await stream.receive_some(size - len(data))
        if not part:
            return b""
        data += part
        if size == FRAME_HEAD and len(data) == FRAME_HEAD:
            size += int.from_bytes(data)
    return bytes(data[FRAME_HEAD:])
