"""An upstream whose streams name its software version and may break off."""

import random
from dataclasses import dataclass, field

import trio
from buckthornwall.http1 import ResponseWriter

from .upstream import Upstream

__all__ = ["EVENTS", "VersionedUpstream"]

EVENTS = 10


@dataclass
class VersionedUpstream(Upstream):
    """An upstream of one software version.

    Attributes
    ----------
    version : str
        Its version, named in the data of each event.
    rng : random.Random
        Samples which streams break off, and where.
    broken_share : float
        Share of its streams that break off, inside an event or between two.
    """

    version: str = ""
    rng: random.Random = field(default_factory=random.Random)
    broken_share: float = 0.0

    async def _stream(
        self,
        request_headers: dict[bytes, bytes],
        response: ResponseWriter,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        first = int(request_headers.get(b"last-event-id", b"0")) + 1
        broken_at = None
        if first <= EVENTS and self.rng.random() < self.broken_share:
            broken_at = self.rng.randint(first, EVENTS)
        await response.begin(200, [*headers, (b"Content-Type", b"text/event-stream")])
        for number in range(first, EVENTS + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, self.version.encode())
            if number == broken_at:
                if part := event[: self.rng.randrange(len(event))]:
                    await response.send(part)
                return  # without an end the response is cut off
            await response.send(event)
            await trio.sleep(self.event_s)
        await response.end()
