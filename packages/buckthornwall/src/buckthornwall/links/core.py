"""The hub of all links between this instance and its peers.

A link carries messages one way: each instance dials the peers that it sends to.
There are no acknowledgements: a broken link loses its queued messages, and each
protocol above the links repeats what it needs.
"""

import hmac
import secrets
import ssl
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from functools import partial

import trio
from websockets.exceptions import WebSocketException
from websockets.trio.client import connect
from websockets.trio.server import serve

from buckthornwall.codes import PeerError, ResultCode
from buckthornwall.telemetry import log_event
from buckthornwall.utils import (
    Backoff,
    ConfigItem,
    ConfigNamespace,
    Incarnation,
    NodeId,
)

from .codec import decode_batch, encode_batch
from .messages import Challenge, Hello, Message

__all__ = ["LinkHub", "LinkSettings"]

NONCE_BYTES = 16
MAX_FRAME_BYTES = 4 * 2**20
MAX_QUEUED_MESSAGES = 10_000
MIN_REDIAL_DELAY_S = 0.05
MAX_REDIAL_DELAY_S = 1.0

Deliver = Callable[[NodeId, Message], None]


class LinkSettings(ConfigNamespace):
    """Settings of the links between instances."""

    section = "links"

    listen = ConfigItem("", "Address that peers connect to, as IP:port.", required=True)
    advertise = ConfigItem(
        "", "Address announced to peers, as IP:port, if it differs from `listen`."
    )
    peer_secret = ConfigItem("", "Secret shared by all instances.", required=True)
    seeds = ConfigItem([], "Peers to contact before the list is read, as node=IP:port.")
    linger_ms = ConfigItem(
        1.0, "Milliseconds to collect messages for a frame.", minimum=0, maximum=20
    )
    open_timeout_s = ConfigItem(2.0, "Maximum seconds to open a link.", minimum=0.1)
    tls_certificate = ConfigItem("", "PEM file of this instance's certificate.")
    tls_key = ConfigItem("", "PEM file of the certificate's key.")
    tls_ca = ConfigItem("", "PEM file of the CA that signs all peers.")


def hello_mac(
    secret: str, nonce: bytes, node: NodeId, incarnation: Incarnation
) -> bytes:
    """Return the MAC that proves knowledge of `secret` to the sender of `nonce`."""
    text = b"%b\0%b\0%d" % (nonce, node.encode(), incarnation)
    return hmac.digest(secret.encode(), text, "sha256")


def _make_tls_contexts(
    settings: LinkSettings,
) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
    """Return the TLS contexts for listening and dialling, or None for both."""
    if not settings.tls_certificate:
        return None, None
    contexts = []
    for purpose in (ssl.Purpose.CLIENT_AUTH, ssl.Purpose.SERVER_AUTH):
        context = ssl.create_default_context(purpose, cafile=settings.tls_ca)
        context.load_cert_chain(settings.tls_certificate, settings.tls_key)
        context.verify_mode = ssl.CERT_REQUIRED
        context.check_hostname = False  # peers are identified by IP address and CA
        contexts.append(context)
    contexts[1].verify_mode = ssl.CERT_REQUIRED
    return contexts[0], contexts[1]


class _OutboundLink:
    """Send queue and state of the link to one dialled peer."""

    def __init__(self, node: NodeId, address: str) -> None:
        self.node = node
        self.address = address
        self.queue: deque[Message] = deque()
        self.wake = trio.Event()
        self.up = False
        self.scope = trio.CancelScope()

    def enqueue(self, message: Message) -> bool:
        """Queue a message; return False if the link is down or the queue is full."""
        if not self.up or len(self.queue) >= MAX_QUEUED_MESSAGES:
            return False
        self.queue.append(message)
        self.wake.set()
        return True

    async def take_batch(self, linger_s: float) -> list[Message]:
        """Wait for a message, then `linger_s` for more, and return all of them."""
        while not self.queue:
            self.wake = trio.Event()
            await self.wake.wait()
        if linger_s:
            await trio.sleep(linger_s)
        batch = list(self.queue)
        self.queue.clear()
        return batch


class LinkHub:
    """Owns the listener and all links of this instance.

    Parameters
    ----------
    node, incarnation
        Id and incarnation of this instance.
    settings
        The ``[links]`` section.
    deliver
        Called with the sending peer and the message, for each message received.
    """

    def __init__(
        self,
        node: NodeId,
        incarnation: Incarnation,
        settings: LinkSettings,
        deliver: Deliver,
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.settings = settings
        self.deliver = deliver
        self.on_hello: Callable[[NodeId, str], None] = lambda node, address: None
        self.on_up: Callable[[NodeId], None] = lambda node: None
        self.on_down: Callable[[NodeId], None] = lambda node: None
        self.bytes_sent = 0
        self.bytes_received = 0
        self.messages_sent = 0
        self._outbound_links: dict[NodeId, _OutboundLink] = {}
        self._nursery: trio.Nursery | None = None
        self._listen_tls, self._dial_tls = _make_tls_contexts(settings)

    @classmethod
    def from_config(
        cls,
        node: NodeId,
        incarnation: Incarnation,
        settings: LinkSettings,
        deliver: Deliver,
    ) -> "LinkHub":
        """Build a hub from checked settings."""
        return cls(node, incarnation, settings, deliver)

    def send(self, node: NodeId, message: Message) -> bool:
        """Queue a message for a peer.

        Returns
        -------
        bool
            False if the link is down or its queue is full; the message is then
            dropped.
        """
        if node == self.node:
            self.deliver(node, message)
            return True
        link = self._outbound_links.get(node)
        return link is not None and link.enqueue(message)

    def is_up(self, node: NodeId) -> bool:
        """Return whether the link to the peer is up."""
        link = self._outbound_links.get(node)
        return node == self.node or (link is not None and link.up)

    def set_peer(self, node: NodeId, address: str) -> None:
        """Dial a peer, or redial it if its address has changed."""
        if node == self.node:
            return
        link = self._outbound_links.get(node)
        if link is not None:
            if link.address == address:
                return
            link.scope.cancel()
        link = _OutboundLink(node, address)
        self._outbound_links[node] = link
        self._nursery.start_soon(self._dial_forever, link)

    def drop_peer(self, node: NodeId) -> None:
        """Close the link to a peer and stop dialling it."""
        link = self._outbound_links.pop(node, None)
        if link is not None:
            link.scope.cancel()

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listen, and maintain all links until cancelled."""
        host, port = self.settings.listen.rsplit(":", 1)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(
                partial(
                    serve,
                    self._accept,
                    int(port),
                    host=host,
                    ssl=self._listen_tls,
                    compression=None,
                    max_size=MAX_FRAME_BYTES,
                    ping_interval=None,
                    open_timeout=self.settings.open_timeout_s,
                    close_timeout=self.settings.open_timeout_s,
                )
            )
            task_status.started()

    async def _accept(self, socket) -> None:
        try:
            with trio.fail_after(self.settings.open_timeout_s):
                peer = await self._authenticate(socket)
        except (PeerError, WebSocketException, trio.TooSlowError) as error:
            code = ResultCode.PEER_UNAUTHENTICATED.number
            log_event("peer_refused", "WARNING", code=code, detail=error)
            return
        try:
            await self._receive(socket, peer)
        except WebSocketException:
            pass
        finally:
            self.on_down(peer)

    async def _authenticate(self, socket) -> NodeId:
        nonce = secrets.token_bytes(NONCE_BYTES)
        await socket.send(encode_batch([Challenge(nonce)]))
        messages = decode_batch(await socket.recv())
        if len(messages) != 1 or not isinstance(messages[0], Hello):
            raise PeerError(
                ResultCode.PEER_UNAUTHENTICATED,
                "expected Hello as the answer to the challenge",
            )
        hello = messages[0]
        expected = hello_mac(
            self.settings.peer_secret, nonce, hello.node, hello.incarnation
        )
        if not hmac.compare_digest(expected, hello.mac):
            raise PeerError(
                ResultCode.PEER_UNAUTHENTICATED,
                "the MAC does not match the shared secret",
            )
        self.on_hello(hello.node, hello.address)
        return hello.node

    async def _receive(self, socket, peer: NodeId) -> None:
        async for frame in socket:
            self.bytes_received += len(frame)
            try:
                messages = decode_batch(frame)
            except PeerError as error:
                log_event(
                    "peer_message_refused",
                    "WARNING",
                    peer=peer,
                    code=error.code.number,
                    detail=error,
                )
                continue
            for message in messages:
                self.deliver(peer, message)

    async def _dial_forever(self, link: _OutboundLink) -> None:
        backoff = Backoff(MIN_REDIAL_DELAY_S, MAX_REDIAL_DELAY_S)
        with link.scope:
            while True:
                try:
                    await self._dial(link, backoff)
                except Exception as error:
                    # No error of a peer, of TLS or of the network may stop the
                    # instance; the link is dialled again.
                    log_event("link_down", "DEBUG", peer=link.node, detail=error)
                finally:
                    if link.up:
                        link.up = False
                        link.queue.clear()
                        self.on_down(link.node)
                await trio.sleep(backoff.next_delay())

    async def _dial(self, link: _OutboundLink, backoff: Backoff) -> None:
        scheme = "wss" if self._dial_tls else "ws"
        host, port = link.address.rsplit(":", 1)
        local_host = self.settings.listen.rsplit(":", 1)[0]
        with trio.fail_after(self.settings.open_timeout_s):
            stream = await trio.open_tcp_stream(
                host, int(port), local_address=local_host
            )
        async with connect(
            f"{scheme}://{link.address}",
            stream=stream,
            ssl=self._dial_tls,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            ping_interval=None,
            proxy=None,
            open_timeout=self.settings.open_timeout_s,
            close_timeout=self.settings.open_timeout_s,
        ) as socket:
            await self._answer_challenge(socket)
            backoff.reset()
            link.up = True
            self.on_up(link.node)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._wait_until_closed, socket, nursery.cancel_scope
                )
                # No task may raise out of the nursery: a broken link is expected,
                # and the caller dials again.
                with suppress(WebSocketException):
                    await self._send_forever(socket, link)
                nursery.cancel_scope.cancel()

    async def _answer_challenge(self, socket) -> None:
        with trio.fail_after(self.settings.open_timeout_s):
            messages = decode_batch(await socket.recv())
            if len(messages) != 1 or not isinstance(messages[0], Challenge):
                raise PeerError(
                    ResultCode.PEER_MESSAGE, "expected Challenge as the first message"
                )
            mac = hello_mac(
                self.settings.peer_secret,
                messages[0].nonce,
                self.node,
                self.incarnation,
            )
            address = self.settings.advertise or self.settings.listen
            hello = Hello(self.node, self.incarnation, address, mac)
            await socket.send(encode_batch([hello]))

    async def _wait_until_closed(self, socket, scope: trio.CancelScope) -> None:
        with suppress(WebSocketException):
            async for _ in socket:
                pass  # the accepting side sends nothing after the challenge
        scope.cancel()

    async def _send_forever(self, socket, link: _OutboundLink) -> None:
        linger_s = self.settings.linger_ms / 1000
        while True:
            batch = await link.take_batch(linger_s)
            frame = encode_batch(batch)
            await socket.send(frame)
            self.bytes_sent += len(frame)
            self.messages_sent += len(batch)
