"""The tasks that keep the records in force, and spread them."""

from collections.abc import Callable

import trio

from buckthornwall.codes import PeerError
from buckthornwall.links import Heartbeat, Message, RecordsReply, RecordsRequest
from buckthornwall.platform import PlatformClient
from buckthornwall.records import Adoption, RecordStore
from buckthornwall.telemetry import log_event
from buckthornwall.utils import Backoff, Clock, NodeId

__all__ = ["RecordsAgent"]

ASK_AGAIN_S = 0.3
FIRST_RETRY_S = 0.1
FIRST_WAIT_S = 0.0


class RecordsAgent:
    """Adopts records from the platform and from peers, whichever is newer.

    Parameters
    ----------
    platform
        Client of the platform.
    store
        What is in force.
    clock
        Source of time.
    send
        Sends a message to an instance.
    changed
        Called after each adoption.
    """

    def __init__(
        self,
        platform: PlatformClient,
        store: RecordStore,
        clock: Clock,
        send: Callable[[NodeId, Message], bool],
        changed: Callable[[], None],
    ) -> None:
        self.platform = platform
        self.store = store
        self.clock = clock
        self.send = send
        self.changed = changed
        self.asked_platform = False
        self.platform_ok_at: float | None = None
        self._asked_at: dict[NodeId, float] = {}
        self._shown: dict[NodeId, tuple[int, str]] = {}

    @property
    def is_stale(self) -> bool:
        """Whether a peer has shown records newer than those in force."""
        return any(self.store.is_newer(*shown) for shown in self._shown.values())

    async def run(self) -> None:
        """Watch the platform for ever, through its outages."""
        settings = self.platform.settings
        backoff = Backoff(FIRST_RETRY_S, settings.retry_limit_s)
        wait_s = FIRST_WAIT_S
        while True:
            try:
                raw = await self.platform.watch_records(wait_s)
            except PeerError as error:
                log_event("platform_unreachable", "WARNING", detail=error)
                self.asked_platform = True
                await trio.sleep(backoff.next_delay())
                continue
            self.asked_platform = True
            self.platform_ok_at = self.clock.now()
            wait_s = settings.watch_s
            if raw is not None and self.offer(raw, "platform") is Adoption.ADOPTED:
                backoff.reset()
            elif raw is not None:
                # Stale or refused: do not read it again and again.
                await trio.sleep(backoff.next_delay())

    def offer(self, raw: bytes, source: str) -> Adoption:
        """Offer a set to the store; tell the rest of the node if it is adopted."""
        adoption = self.store.offer(raw)
        if adoption is Adoption.ADOPTED:
            log_event(
                "records_in_force",
                number=self.store.number,
                digest=self.store.digest,
                source=source,
                refused=len(self.store.view.refused),
            )
            self.changed()
        elif adoption is Adoption.REFUSED:
            log_event(
                "records_refused",
                "ERROR",
                source=source,
                detail=self.store.last_error,
            )
        return adoption

    def handle(self, node: NodeId, message: Message) -> None:
        """Take one message from a peer."""
        if isinstance(message, Heartbeat):
            self._compare(node, message)
        elif isinstance(message, RecordsRequest):
            view = self.store.view
            self.send(node, RecordsReply(view.raw if view else b""))
        elif isinstance(message, RecordsReply) and message.raw:
            self.offer(message.raw, node)

    def _compare(self, node: NodeId, message: Heartbeat) -> None:
        """Ask a peer for its records if its heartbeat shows newer ones."""
        number, digest = message.records_number, message.records_digest
        self._shown[node] = (number, digest)
        if not self.store.is_newer(number, digest):
            return
        now = self.clock.now()
        if now - self._asked_at.get(node, -ASK_AGAIN_S) >= ASK_AGAIN_S:
            self._asked_at[node] = now
            self.send(node, RecordsRequest())
