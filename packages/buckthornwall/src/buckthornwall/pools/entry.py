"""An upstream as it is registered."""

from dataclasses import dataclass
from enum import Enum

from buckthornwall.routing import PoolId
from buckthornwall.utils import UpstreamId, ZoneId

__all__ = ["UpstreamEntry", "UpstreamState"]


class UpstreamState(Enum):
    """Whether an upstream takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """One registration; `cold_s` is how much longer it starts up slowly.

    `generation` changes when the upstream restarts under the same id; it is empty
    where the registration does not name one.
    """

    id: UpstreamId
    pool: PoolId
    address: str
    zone: ZoneId
    slots: int
    state: UpstreamState
    cold_s: float = 0.0
    loaded: bool = True
    generation: str = ""
