"""Decodes the operator's configuration that the platform publishes."""

from typing import Annotated

import msgspec

from buckthornwall.codes import RecordError, ResultCode
from buckthornwall.routing import (
    ClientLimits,
    EngineSpec,
    Pool,
    PoolId,
    PoolShare,
    PublishedConfig,
    RequestRoute,
    ResponseMode,
    TeamConfig,
)
from buckthornwall.utils import (
    Count,
    DecodingError,
    RegionId,
    Revision,
    RouteId,
    TeamId,
    decode_json,
)

__all__ = ["decode_published"]

MS_PER_S = 1000.0
DEFAULT_TIMEOUT_MS = 30_000.0
DEFAULT_TARGET_LATENCY_MS = 1_000.0
MAX_MS = 1e9
MAX_VALUE = 1e9
# Printable characters of ASCII, as in a header's value.
HEADER_VALUE = r"\A[!-~]([ -~]*[!-~])?\Z"
# Kinds of a route, as the platform names them.
IDEMPOTENT = "idempotent"
STREAM = "stream"


Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_MS)]
NonNegative = Annotated[float, msgspec.Meta(ge=0, le=MAX_VALUE)]


class _Split(msgspec.Struct):
    service: str
    weight: NonNegative


class _Route(msgspec.Struct):
    """A route; `priority` 0 is the most urgent, `public` routes need no API key."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: Milliseconds = DEFAULT_TIMEOUT_MS
    target_latency_ms: Milliseconds = DEFAULT_TARGET_LATENCY_MS
    priority: Count = 0
    service: str | None = None
    traffic_split: list[_Split] = []
    max_attempts: Count = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: Milliseconds = 0.0
    allowed_regions: list[str] | None = None


class _Engine(msgspec.Struct):
    """An engine; `kv_capacity` is in tokens, `stride` in tokens per event."""

    slots: Count = 1
    kv_capacity: Count = 0
    stride: Count = 1


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/"
    max_connections: Count = 100
    engine: _Engine | None = None
    cold_start_s: NonNegative = 0.0
    cold_per_s: NonNegative = 0.0


class _Tenant(msgspec.Struct):
    name: Annotated[str, msgspec.Meta(pattern=HEADER_VALUE)]
    api_keys: list[str] = []
    priority: Count | None = None
    allowed_regions: list[str] | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: Count
    max_body_bytes: Count
    header_timeout_ms: Milliseconds
    idle_timeout_ms: Milliseconds


class _Config(msgspec.Struct):
    version: Revision
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits | None = None
    tenants: list[_Tenant] = []


def decode_published(value: bytes) -> PublishedConfig:
    """Return a complete version of the configuration.

    Raises
    ------
    RecordError
        RECORDS_MALFORMED if the value does not match the platform's schema.
    """
    try:
        config = decode_json(value, _Config)
    except DecodingError as error:
        raise RecordError(ResultCode.RECORDS_MALFORMED, str(error)) from error
    return PublishedConfig(
        number=config.version,
        routes=tuple(_route(route) for route in config.routes),
        pools=tuple(_pool(service) for service in config.services),
        teams=tuple(_team(tenant) for tenant in config.tenants),
        limits=_limits(config.limits),
    )


def _route(route: _Route) -> RequestRoute:
    is_stream = route.kind == STREAM
    return RequestRoute(
        id=RouteId(route.name),
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        shares=_shares(route),
        response_mode=ResponseMode.EVENT_STREAM if is_stream else ResponseMode.COMPLETE,
        retryable=route.kind == IDEMPOTENT or (is_stream and route.resumable),
        resumable=is_stream and route.resumable,
        timeout_s=route.timeout_ms / MS_PER_S,
        target_s=route.target_latency_ms / MS_PER_S,
        max_pause_s=route.gap_aim_ms / MS_PER_S,
        max_runs=max(1, route.max_attempts),
        tier=route.priority,
        needs_key=not route.public,
        regions=_regions(route.allowed_regions),
    )


def _regions(names: list[str] | None) -> frozenset[RegionId]:
    return frozenset(map(RegionId, names or ()))


def _shares(route: _Route) -> tuple[PoolShare, ...]:
    if sum(split.weight for split in route.traffic_split) > 0:
        return tuple(
            PoolShare(PoolId(split.service), split.weight)
            for split in route.traffic_split
        )
    return (PoolShare(PoolId(route.service or ""), 1.0),)


def _pool(service: _Service) -> Pool:
    engine = None
    if service.engine is not None:
        engine = EngineSpec(
            slots=service.engine.slots,
            memory_tokens=service.engine.kv_capacity,
            tokens_per_event=service.engine.stride,
        )
    return Pool(
        id=PoolId(service.name),
        health_path=service.health_path,
        max_connections=service.max_connections,
        engine=engine,
        cold_s=service.cold_start_s,
        cold_per_s=service.cold_per_s,
    )


def _team(tenant: _Tenant) -> TeamConfig:
    return TeamConfig(
        TeamId(tenant.name),
        tuple(tenant.api_keys),
        tenant.priority,
        _regions(tenant.allowed_regions),
    )


def _limits(limits: _Limits | None) -> ClientLimits:
    if limits is None:
        return ClientLimits()
    return ClientLimits(
        max_head_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_timeout_s=limits.header_timeout_ms / MS_PER_S,
        idle_timeout_s=limits.idle_timeout_ms / MS_PER_S,
    )
