"""What the operator published, in the product's own words."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from buckthornwall.utils import RegionId, RouteId, TeamId

__all__ = [
    "ClientLimits",
    "EngineSpec",
    "Pool",
    "PoolId",
    "PoolShare",
    "PublishedConfig",
    "RequestRoute",
    "ResponseMode",
    "TeamConfig",
]

PoolId = NewType("PoolId", str)


class ResponseMode(Enum):
    """How an answer reaches the caller."""

    COMPLETE = "whole"
    EVENT_STREAM = "events"


@dataclass(frozen=True, slots=True)
class PoolShare:
    """A part of a route's traffic; `weight` is relative to its siblings."""

    pool: PoolId
    weight: float


@dataclass(frozen=True, slots=True)
class RequestRoute:
    """A path prefix of a host, and the contract for what arrives there.

    `retryable` tells whether an upstream may run a request again after it
    may have run once; `resumable` whether an event stream may go on at
    another upstream. `tier` 0 is the most urgent. Times are in seconds. Requests
    go to upstreams in `regions` only, to any if there are none.
    """

    id: RouteId
    host: str
    path_prefix: str
    shares: tuple[PoolShare, ...]
    response_mode: ResponseMode
    retryable: bool
    resumable: bool
    timeout_s: float
    target_s: float
    max_pause_s: float
    max_runs: int
    tier: int
    needs_key: bool
    regions: frozenset[RegionId] = frozenset()


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """What the operator says of a pool's model engines; memory in tokens."""

    slots: int
    memory_tokens: int
    tokens_per_event: int


@dataclass(frozen=True, slots=True)
class Pool:
    """Upstreams that serve the same; `engine` is None for a plain service.

    After a start an upstream is cold for `cold_s` seconds, and bears `cold_per_s`
    requests a second from all instances together; 0 is any number.
    """

    id: PoolId
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TeamConfig:
    """A team, its keys, and the tier that goes before its routes' tiers.

    Its requests go to upstreams in `regions` only, to any if there are none.
    """

    id: TeamId
    keys: tuple[str, ...]
    tier: int | None = None
    regions: frozenset[RegionId] = frozenset()


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds on what a caller may send and how long it may take.

    The defaults hold until the operator's first version arrives.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4 * 2**20
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class PublishedConfig:
    """One whole version of the operator's configuration."""

    number: int
    routes: tuple[RequestRoute, ...] = ()
    pools: tuple[Pool, ...] = ()
    teams: tuple[TeamConfig, ...] = ()
    limits: ClientLimits = field(default_factory=ClientLimits)
