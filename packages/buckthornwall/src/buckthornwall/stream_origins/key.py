"""Keys of streams."""

from hashlib import blake2b
from typing import NewType

from buckthornwall.utils import RouteId, TeamId

__all__ = ["StreamKey", "format_key", "stream_key"]

StreamKey = NewType("StreamKey", int)

KEY_BYTES = 8
# Signed integers of 64 bits are the largest that messages may bound.
KEY_BITS = 63


def stream_key(team: TeamId, route: RouteId, request: str) -> StreamKey:
    """Return the key of the stream whose first event a request brought.

    Team and route are included, so that nobody can continue another team's stream, or
    learn about it.
    """
    digest = blake2b(digest_size=KEY_BYTES)
    for part in (team, route, request):
        data = part.encode()
        digest.update(b"%d:" % len(data))
        digest.update(data)
    return StreamKey(int.from_bytes(digest.digest()) % 2**KEY_BITS)


def format_key(key: StreamKey) -> str:
    """Return a key as shown in logs."""
    return f"{key:0{2 * KEY_BYTES}x}"
