"""The operator's configuration, independent of its published format."""

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
    """How a response is delivered to the client."""

    COMPLETE = "whole"
    EVENT_STREAM = "events"


@dataclass(frozen=True, slots=True)
class PoolShare:
    """The share of a route's traffic that a pool gets; weights are relative."""

    pool: PoolId
    weight: float


@dataclass(frozen=True, slots=True)
class RequestRoute:
    """A path prefix of a host, and the service level of its requests.

    A `retryable` request may be run again after an attempt that may have run.
    A `resumable` event stream may be continued by another upstream. `max_runs`
    bounds the attempts that may have run. `tier` 0 is the most urgent. Times are in
    seconds. Requests go to upstreams in `regions` only; if empty, to any.
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

    @property
    def may_repeat(self) -> bool:
        """Whether its requests may run more than once."""
        if self.response_mode is ResponseMode.EVENT_STREAM:
            return self.resumable
        return self.retryable


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Configured capacity of each engine of a pool; KV cache memory in tokens."""

    slots: int
    memory_tokens: int
    tokens_per_event: int


@dataclass(frozen=True, slots=True)
class Pool:
    """A set of equivalent upstreams; `engine` is None for a plain service.

    For `cold_s` seconds after its start an upstream is cold and accepts `cold_per_s`
    requests a second from all instances together; 0 means no limit.
    """

    id: PoolId
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TeamConfig:
    """A team, its keys and its tier, which orders requests within a route's tier.

    Its requests go to upstreams in `regions` only; if empty, to any.
    """

    id: TeamId
    keys: tuple[str, ...]
    tier: int | None = None
    regions: frozenset[RegionId] = frozenset()


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size and timing of client requests.

    The defaults apply until the first configuration version arrives.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4 * 2**20
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class PublishedConfig:
    """One complete version of the operator's configuration."""

    number: int
    routes: tuple[RequestRoute, ...] = ()
    pools: tuple[Pool, ...] = ()
    teams: tuple[TeamConfig, ...] = ()
    limits: ClientLimits = field(default_factory=ClientLimits)
