"""Packed loads in heartbeats, in the order of upstreams in the last digest."""

import random

from buckthornwall.pools import CachedPrefixes, merge_cached_prefixes
from buckthornwall.utils import UpstreamId

from .messages import Digest, Heartbeat, Work
from .packing import (
    pack_cached_prefixes,
    pack_loads,
    unpack_cached_prefixes,
    unpack_loads,
)

__all__ = ["CountsWriter", "read_counts"]


class CountsWriter:
    """Adds packed loads to heartbeats, by the last digests that were sent.

    The digests of the zone and those of the fleet are kept apart. Sequence numbers
    start at random, so that a restarted process is not taken for its predecessor at
    the same address.
    """

    def __init__(self) -> None:
        self._sequence = random.getrandbits(32)
        self._upstreams: dict[bool, tuple[int, list[UpstreamId]]] = {}

    def assign_sequence(self, digest: Digest) -> None:
        """Set the sequence by which heartbeats refer to the order of upstreams."""
        self._sequence += 1
        digest.sequence = self._sequence
        self._upstreams[digest.is_fleet] = (self._sequence, list(digest.loads))

    def fill(
        self,
        heartbeat: Heartbeat,
        loads: dict[UpstreamId, Work],
        cached_prefixes: CachedPrefixes,
    ) -> None:
        """Add loads and cached prefixes to a heartbeat, after a numbered digest."""
        heartbeat.sequence, upstreams = self._upstreams[heartbeat.is_fleet]
        heartbeat.packed_work = pack_loads(loads, upstreams)
        heartbeat.loads = {
            upstream: loads[upstream] for upstream in loads.keys() - set(upstreams)
        }
        heartbeat.packed_prefixes, heartbeat.cached_prefixes = pack_cached_prefixes(
            cached_prefixes, upstreams
        )


def read_counts(
    heartbeat: Heartbeat, digest: Digest, upstreams: list[UpstreamId]
) -> tuple[dict[UpstreamId, Work], CachedPrefixes] | None:
    """Return the loads and the cached prefixes of a heartbeat.

    Parameters
    ----------
    heartbeat
        A heartbeat of the digest's sender.
    digest, upstreams
        The last digest received from it, and the order of its upstreams.

    Returns
    -------
    tuple or None
        None if the heartbeat has no loads, or refers to another digest.

    Raises
    ------
    PeerError
        PEER_MESSAGE if the packed fields are malformed.
    """
    if not heartbeat.sequence or heartbeat.sequence != digest.sequence:
        return None
    cached_prefixes = unpack_cached_prefixes(heartbeat.packed_prefixes, upstreams)
    merge_cached_prefixes(cached_prefixes, heartbeat.cached_prefixes)
    return unpack_loads(
        heartbeat.packed_work, upstreams
    ) | heartbeat.loads, cached_prefixes
