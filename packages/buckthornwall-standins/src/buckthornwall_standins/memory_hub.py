"""Links between instances over the in-memory network."""

from collections import deque
from collections.abc import Callable
from functools import partial

import trio
from buckthornwall.codes import PeerError
from buckthornwall.links import LinkSettings, Message, decode_batch, encode_batch
from buckthornwall.utils import Incarnation, NodeId

from .memory import REDIAL_INTERVAL_S, MemoryNetwork, Stream

__all__ = ["MemoryHub"]

FRAME_HEADER_BYTES = 4


class _MemoryLink:
    """Link to one dialled peer."""

    def __init__(self, node: NodeId, address: str) -> None:
        self.node = node
        self.address = address
        self.queue: deque[Message] = deque()
        self.wake = trio.Event()
        self.up = False
        self.scope = trio.CancelScope()


class MemoryHub:
    """A `LinkHub` on the in-memory network, with the same messages and codec."""

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
        """Queue a message for a peer; see `LinkHub.send`."""
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
        """Return whether the link to a peer is up."""
        return node == self.node or (node in self.links and self.links[node].up)

    def set_peer(self, node: NodeId, address: str) -> None:
        """Dial a peer, again if its address changed."""
        link = self.links.get(node)
        if node == self.node or (link is not None and link.address == address):
            return
        if link is not None:
            link.scope.cancel()
        link = self.links[node] = _MemoryLink(node, address)
        self.nursery.start_soon(self._dial_forever, link)

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Accept links and maintain dialled ones until cancelled."""
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
                await trio.sleep(REDIAL_INTERVAL_S)

    async def _send_forever(self, link: _MemoryLink, stream: Stream) -> None:
        name = f"{self.node}|{self.settings.listen}".encode()
        await stream.send_all(len(name).to_bytes(FRAME_HEADER_BYTES) + name)
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
                    await stream.send_all(
                        len(frame).to_bytes(FRAME_HEADER_BYTES) + frame
                    )
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
    size = FRAME_HEADER_BYTES
    while len(data) < size:
        chunk = await stream.receive_some(size - len(data))
        if not chunk:
            return b""
        data += chunk
        if size == FRAME_HEADER_BYTES and len(data) == FRAME_HEADER_BYTES:
            size += int.from_bytes(data)
    return bytes(data[FRAME_HEADER_BYTES:])
