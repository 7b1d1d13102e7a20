"""Counts in heartbeats: who tells them names upstreams as its last digest did."""

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
    """The last digests that an instance told, by whether they are over the fleet.

    Their numbers go on from a draw: a process that starts again under its address must
    not be taken for the one before.
    """

    def __init__(self) -> None:
        self._sequence = random.getrandbits(32)
        self._upstreams: dict[bool, tuple[int, list[UpstreamId]]] = {}

    def assign_sequence(self, digest: Digest) -> None:
        """Give a digest its number, so that counts may name its upstreams."""
        self._sequence += 1
        digest.sequence = self._sequence
        self._upstreams[digest.is_fleet] = (self._sequence, list(digest.loads))

    def fill(
        self,
        heartbeat: Heartbeat,
        loads: dict[UpstreamId, Work],
        cached_prefixes: CachedPrefixes,
    ) -> None:
        """Put work and parts into a heartbeat, after a digest that was numbered."""
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
    """Return the work and the parts that a heartbeat tells.

    Parameters
    ----------
    heartbeat
        What its sender told after a digest.
    digest, upstreams
        The digest of it that is known here, and its upstreams in order.

    Returns
    -------
    tuple or None
        None if it tells none, or names them by another digest.

    Raises
    ------
    PeerError
        PEER_MESSAGE if its counts are none.
    """
    if not heartbeat.sequence or heartbeat.sequence != digest.sequence:
        return None
    cached_prefixes = unpack_cached_prefixes(heartbeat.packed_prefixes, upstreams)
    merge_cached_prefixes(cached_prefixes, heartbeat.cached_prefixes)
    return unpack_loads(
        heartbeat.packed_work, upstreams
    ) | heartbeat.loads, cached_prefixes
