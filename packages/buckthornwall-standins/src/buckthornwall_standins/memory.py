"""An in-memory network: streams between hosts that can be delayed, cut and reset.

Everything above it is production code (HTTP client, codec of the links) or the
stand-ins' own applications. It runs under trio's mock clock.
"""

from collections import deque
from collections.abc import Awaitable, Callable

import trio

__all__ = ["MemoryNetwork", "Stream"]

LATENCY_S = 0.0005
READ_BYTES = 65536
REDIAL_INTERVAL_S = 0.05

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
        self.held_close: bool | None = None
        self.wake = trio.Event()

    def _notify(self) -> None:
        self.wake.set()
        self.wake = trio.Event()

    def receive(self, data: bytes) -> None:
        """Receive bytes from the peer; hold them while the path is blocked."""
        if self.network.is_blocked(self.host, self.peer_host):
            self.held.append(data)
        elif not self.ended:
            self.buffer += data
            self._notify()

    def release(self) -> None:
        """Deliver held bytes and a held close if the path is open again."""
        if not self.network.is_blocked(self.host, self.peer_host):
            while self.held:
                self.buffer += self.held.popleft()
            if self.held_close is not None:
                self.receive_close(self.held_close)
            self._notify()

    def receive_close(self, reset: bool) -> None:
        """Receive the peer's close, or hold it while the path is blocked."""
        if self.network.is_blocked(self.host, self.peer_host):
            self.held_close = reset
            return
        self.ended = True
        self.reset = self.reset or reset
        self._notify()

    async def send_all(self, data: bytes) -> None:
        """Send bytes to the peer."""
        await trio.sleep(LATENCY_S)
        if self.reset or self.ended:
            raise trio.BrokenResourceError("stream closed by the peer")
        self.peer.receive(bytes(data))

    async def receive_some(self, limit: int = READ_BYTES) -> bytes:
        """Wait for bytes; return none once the peer has closed."""
        while not self.buffer and not self.ended:
            await self.wake.wait()
        await trio.lowlevel.checkpoint()
        if not self.buffer and self.reset:
            raise trio.BrokenResourceError("connection reset by the peer")
        data = bytes(self.buffer[:limit])
        del self.buffer[:limit]
        return data

    def close(self, reset: bool = False) -> None:
        """Close this end; the peer is notified once the path is open."""
        self.ended = True
        self.network.streams.discard(self)
        self.peer.receive_close(reset)
        self._notify()


class MemoryNetwork:
    """Hosts, listeners and the state of the paths between hosts."""

    def __init__(self) -> None:
        self.listeners: dict[tuple[str, int], tuple[Handler, trio.Nursery]] = {}
        self.streams: set[Stream] = set()
        self.cut_paths: set[frozenset[str]] = set()
        self.frozen: set[str] = set()
        self.killed: set[str] = set()

    def is_blocked(self, one: str, other: str) -> bool:
        """Return whether the path between two hosts is blocked."""
        return (
            frozenset((one, other)) in self.cut_paths
            or one in self.frozen
            or other in self.frozen
        )

    def listen(self, address: str, handler: Handler, nursery: trio.Nursery) -> None:
        """Serve connections to an address with a handler."""
        host, port = address.rsplit(":", 1)
        self.listeners[host, int(port)] = (handler, nursery)

    def close_listener(self, address: str) -> None:
        """Refuse new connections to an address."""
        host, port = address.rsplit(":", 1)
        self.listeners.pop((host, int(port)), None)

    async def connect(self, from_host: str, host: str, port: int) -> Stream:
        """Open a connection; block while the path is blocked."""
        await trio.sleep(LATENCY_S)
        while self.is_blocked(from_host, host):
            await trio.sleep(REDIAL_INTERVAL_S)
        listener = self.listeners.get((host, port))
        if listener is None or host in self.killed:
            raise OSError("connection refused")
        handler, nursery = listener
        client_end, server_end = (
            Stream(self, from_host, host),
            Stream(self, host, from_host),
        )
        client_end.peer, server_end.peer = server_end, client_end
        self.streams |= {client_end, server_end}
        nursery.start_soon(self._serve, handler, server_end)
        return client_end

    @staticmethod
    async def _serve(handler: Handler, stream: Stream) -> None:
        try:
            await handler(stream)
        except trio.BrokenResourceError:
            pass
        finally:
            stream.close()

    def cut(self, one: str, other: str) -> None:
        """Block the path between two hosts without closing connections."""
        self.cut_paths.add(frozenset((one, other)))

    def freeze(self, host: str) -> None:
        """Block all traffic of a host."""
        self.frozen.add(host)

    def heal(self) -> None:
        """Undo every cut and deliver held bytes."""
        self.cut_paths.clear()
        self.release()

    def thaw(self, host: str) -> None:
        """Undo a freeze and deliver held bytes."""
        self.frozen.discard(host)
        self.release()

    def release(self) -> None:
        """Deliver held bytes on paths that are no longer blocked."""
        for stream in list(self.streams):
            stream.release()

    def kill(self, host: str) -> None:
        """Reset every connection of a host and close its listeners."""
        self.killed.add(host)
        for key in [key for key in self.listeners if key[0] == host]:
            del self.listeners[key]
        for stream in [each for each in self.streams if each.host == host]:
            stream.close(reset=True)

    def revive(self, host: str) -> None:
        """Let a killed host accept connections again."""
        self.killed.discard(host)
