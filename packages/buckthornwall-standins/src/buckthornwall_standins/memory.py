"""A network in memory: streams between hosts that can be held, cut and killed.

Everything above it is the real code: the HTTP client, the stand-ins' own
applications, and the codec of the links. It runs under trio's mock clock.
"""

from collections import deque
from collections.abc import Awaitable, Callable

import trio

__all__ = ["MemoryNetwork", "Stream"]

LATENCY_S = 0.0005
READ_BYTES = 65536
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
