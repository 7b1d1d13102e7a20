"""Task and message handlers that keep the records current among the instances."""

from collections.abc import Callable

import trio

from buckthornwall.codes import PeerError
from buckthornwall.links import Heartbeat, Message, RecordsReply, RecordsRequest
from buckthornwall.platform import PlatformClient
from buckthornwall.records import Adoption, RecordStore
from buckthornwall.telemetry import log_event
from buckthornwall.utils import Backoff, Clock, NodeId

__all__ = ["RecordsAgent"]

REQUEST_INTERVAL_S = 0.3
MIN_RETRY_DELAY_S = 0.1
FIRST_WATCH_S = 0.0


class RecordsAgent:
    """Adopts newer records from the platform and from peers.

    Parameters
    ----------
    platform
        Client of the platform.
    store
        Store of the records in force.
    clock
        Source of time.
    send
        Sends a message to an instance.
    on_change
        Called after records were adopted.
    """

    def __init__(
        self,
        platform: PlatformClient,
        store: RecordStore,
        clock: Clock,
        send: Callable[[NodeId, Message], bool],
        on_change: Callable[[], None],
    ) -> None:
        self.platform = platform
        self.store = store
        self.clock = clock
        self.send = send
        self.on_change = on_change
        self.polled_platform = False
        self.last_platform_answer_at: float | None = None
        self._requested_at: dict[NodeId, float] = {}
        self._advertised: dict[NodeId, tuple[int, str]] = {}

    @property
    def is_stale(self) -> bool:
        """Whether a peer has advertised records newer than those in force."""
        return any(
            self.store.is_newer(*advertised) for advertised in self._advertised.values()
        )

    async def run(self) -> None:
        """Watch the platform without end, and retry while it is unavailable."""
        settings = self.platform.settings
        backoff = Backoff(MIN_RETRY_DELAY_S, settings.retry_limit_s)
        wait_s = FIRST_WATCH_S
        while True:
            try:
                raw = await self.platform.watch_records(wait_s)
            except PeerError as error:
                log_event("platform_unreachable", "WARNING", detail=error)
                self.polled_platform = True
                await trio.sleep(backoff.next_delay())
                continue
            self.polled_platform = True
            self.last_platform_answer_at = self.clock.now()
            wait_s = settings.watch_s
            if raw is not None and self.offer(raw, "platform") is Adoption.ADOPTED:
                backoff.reset()
            elif raw is not None:
                # Stale or refused: back off instead of polling in a tight loop.
                await trio.sleep(backoff.next_delay())

    def offer(self, raw: bytes, source: str) -> Adoption:
        """Offer a set of records to the store; call `on_change` if it is adopted."""
        adoption = self.store.offer(raw)
        if adoption is Adoption.ADOPTED:
            log_event(
                "records_in_force",
                number=self.store.number,
                digest=self.store.digest,
                source=source,
                refused=len(self.store.view.refused),
            )
            self.on_change()
        elif adoption is Adoption.REFUSED:
            log_event(
                "records_refused",
                "ERROR",
                source=source,
                detail=self.store.last_error,
            )
        return adoption

    def handle(self, node: NodeId, message: Message) -> None:
        """Process one message from a peer."""
        if isinstance(message, Heartbeat):
            self._request_newer(node, message)
        elif isinstance(message, RecordsRequest):
            view = self.store.view
            self.send(node, RecordsReply(view.raw if view else b""))
        elif isinstance(message, RecordsReply) and message.raw:
            self.offer(message.raw, node)

    def _request_newer(self, node: NodeId, message: Heartbeat) -> None:
        """Request a peer's records if its heartbeat advertises newer ones."""
        number, digest = message.records_number, message.records_digest
        self._advertised[node] = (number, digest)
        if not self.store.is_newer(number, digest):
            return
        now = self.clock.now()
        if (
            now - self._requested_at.get(node, -REQUEST_INTERVAL_S)
            >= REQUEST_INTERVAL_S
        ):
            self._requested_at[node] = now
            self.send(node, RecordsRequest())
