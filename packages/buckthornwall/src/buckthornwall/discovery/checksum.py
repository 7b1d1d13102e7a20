"""Checksum of the state in force, by which instances notice that they differ."""

import zlib
from collections.abc import Iterable

from buckthornwall.pools import UpstreamEntry
from buckthornwall.utils import ZoneId

__all__ = ["UNKNOWN_CHECKSUM", "state_checksum"]

# Of an instance that reports no checksum, such as one of an earlier build.
UNKNOWN_CHECKSUM = 0


def state_checksum(
    entries: Iterable[UpstreamEntry], evacuated: Iterable[ZoneId]
) -> int:
    """Return a checksum of registrations and evacuated zones, in any order.

    It is never `UNKNOWN_CHECKSUM`.
    """
    lines = [f"{entry.id} {entry.incarnation} {entry.state.value}" for entry in entries]
    lines += [f"zone {zone}" for zone in evacuated]
    return zlib.crc32("\n".join(sorted(lines)).encode()) or 1
