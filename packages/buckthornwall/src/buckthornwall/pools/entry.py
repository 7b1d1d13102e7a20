"""Registrations of upstreams."""

from dataclasses import dataclass
from enum import Enum

from buckthornwall.routing import PoolId
from buckthornwall.utils import UpstreamId, ZoneId

__all__ = ["UpstreamEntry", "UpstreamState", "is_same_incarnation"]


class UpstreamState(Enum):
    """Whether an upstream accepts new requests."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """One registration of an upstream.

    `cold_s` is how much longer its cold start lasts, in seconds. `incarnation` changes
    when the upstream restarts under the same id; it is empty if unknown.
    """

    id: UpstreamId
    pool: PoolId
    address: str
    zone: ZoneId
    slots: int
    state: UpstreamState
    cold_s: float = 0.0
    loaded: bool = True
    incarnation: str = ""


def is_same_incarnation(before: UpstreamEntry, now: UpstreamEntry) -> bool:
    """Return whether two registrations under one id are of the same incarnation.

    An entry without an incarnation does not count as a restart.
    """
    return not (before.incarnation and now.incarnation) or (
        before.incarnation == now.incarnation
    )
