"""The origins of streams that this instance knows."""

from collections.abc import Iterator
from dataclasses import dataclass

from buckthornwall.routing import StreamOrigin

from .key import StreamKey

__all__ = ["OriginRecord", "StreamOriginTable"]

# About 200 bytes each.
MAX_RECORDS = 20_000


@dataclass(slots=True)
class OriginRecord:
    """An origin that is known until a time in seconds.

    `origin` is None if there are reports of different ones. `needs_publishing` is
    whether no other instance has it yet.
    """

    key: StreamKey
    origin: StreamOrigin | None
    expires_at: float
    needs_publishing: bool


class StreamOriginTable:
    """Records of origins, of a limited number.

    Parameters
    ----------
    max_records
        The maximum number of records; then the oldest are evicted.
    """

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        self.max_records = max_records
        self.records: dict[StreamKey, OriginRecord] = {}

    def add(
        self,
        key: StreamKey,
        origin: StreamOrigin,
        expires_at: float,
        needs_publishing: bool = False,
    ) -> None:
        """Record an origin, or extend its record."""
        known = self.records.pop(key, None)
        if known is not None:
            expires_at = max(expires_at, known.expires_at)
            if known.origin != origin:
                origin = None
        self.records[key] = OriginRecord(key, origin, expires_at, needs_publishing)
        while len(self.records) > self.max_records:
            del self.records[next(iter(self.records))]

    def find(self, key: StreamKey, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is not known."""
        record = self.records.get(key)
        return record.origin if record is not None and record.expires_at > now else None

    def expire(self, now: float) -> None:
        """Remove the records whose time is over."""
        expired = [
            key for key, record in self.records.items() if record.expires_at <= now
        ]
        for key in expired:
            del self.records[key]

    def unpublished(self) -> Iterator[OriginRecord]:
        """Yield the records that no other instance has yet."""
        for record in list(self.records.values()):
            if record.needs_publishing and record.origin is not None:
                yield record
