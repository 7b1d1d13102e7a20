"""Schemas of the record kinds: version 2 is current, version 1 is upgraded to it.

The classes without a version in their names are of version 2, which the rest of the
package uses. `SCHEMAS` holds, for each kind and version, the type to decode and the
function that upgrades it to version 2.
"""

from collections.abc import Callable
from enum import Enum
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from buckthornwall.utils import ClassId, ModelId, RouteId, TeamId, UpstreamId, ZoneId

__all__ = [
    "SCHEMAS",
    "EngineOrder",
    "Model",
    "Route",
    "SchedulingMode",
    "ServiceClass",
    "TargetKind",
    "Targets",
    "Team",
    "Upstream",
    "UpstreamKind",
]

Positive = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[str, Meta(min_length=1, max_length=128)]
KeyHash = Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]
Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]+$")]

MS_PER_S = 1000.0
URGENT_TIER = 0


class SchedulingMode(Enum):
    """Whether one scheduler chooses a pool's engines, or each instance by itself."""

    POOLED = "pooled"
    ALONE = "alone"


class TargetKind(Enum):
    """Kind of a route's target."""

    MODEL = "model"
    SERVICE = "service"


class UpstreamKind(Enum):
    """Kind of an upstream."""

    ENGINE = "engine"
    SERVICE = "service"


class _Record(Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    """Fields common to all records."""

    kind: str
    schema: int


class Targets(Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    """Latency targets in seconds."""

    first_token_s: Positive
    inter_token_s: Positive
    total_s: Positive


class ServiceClass(_Record, frozen=True):
    """A service class; tier 0 is urgent, higher tiers are less urgent.

    `weight` is the weight of the class in fair queueing by tokens among the classes
    that are not urgent, `floor` the share of tokens guaranteed to it under any load.
    """

    id: ClassId
    tier: Annotated[int, Meta(ge=0, le=99)]
    targets: Targets
    weight: Positive = 1.0
    floor: Share = 0.0

    @property
    def urgent(self) -> bool:
        """Whether the class is of the urgent tier."""
        return self.tier == URGENT_TIER


class Team(_Record, frozen=True):
    """A team: the hashes of its API keys, its service classes and its share."""

    id: TeamId
    key_sha256: Annotated[list[KeyHash], Meta(min_length=1)]
    classes: Annotated[list[ClassId], Meta(min_length=1)]
    share: Positive = 1.0
    max_in_flight: Annotated[int, Meta(ge=1)] = 10_000


class Model(_Record, frozen=True):
    """A model and the scheduling of its pool of engines.

    `urgent_reserve` is the share of the pool's slots reserved for urgent requests.
    """

    id: ModelId
    urgent_reserve: Share = 0.05
    scheduling: SchedulingMode = SchedulingMode.POOLED


class Route(_Record, frozen=True):
    """A name that callers use, and the model or service that it refers to."""

    id: RouteId
    to: TargetKind
    target: Name
    repeatable: bool = True
    timeout_s: Positive = 30.0
    classes: list[ClassId] = []


class EngineOrder(Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    """Adapters that an engine should have loaded: name to version."""

    adapters: dict[str, str] = {}


class Upstream(_Record, frozen=True):
    """An engine or service, its address, and the models or services that it serves."""

    id: UpstreamId
    type: UpstreamKind
    address: Address
    serves: Annotated[list[Name], Meta(min_length=1)]
    zone: ZoneId = ZoneId("")
    slots: Annotated[int, Meta(ge=1, le=100_000)] = 16
    order: EngineOrder = EngineOrder()


class _ServiceClassV1(_Record, frozen=True):
    id: ClassId
    tier: Annotated[int, Meta(ge=0, le=99)]
    first_token_ms: Positive
    inter_token_ms: Positive
    total_ms: Positive
    weight: Positive = 1.0


class _TeamV1(_Record, frozen=True):
    id: TeamId
    key_sha256: KeyHash
    classes: Annotated[list[ClassId], Meta(min_length=1)]


class _ModelV1(_Record, frozen=True):
    id: ModelId


class _RouteV1(_Record, frozen=True):
    id: RouteId
    model: str = ""
    service: str = ""
    idempotent: bool = True

    def __post_init__(self) -> None:
        if bool(self.model) == bool(self.service):
            raise ValueError("exactly one of model and service is needed")


class _UpstreamV1(_Record, frozen=True):
    id: UpstreamId
    type: UpstreamKind
    host: Name
    port: Annotated[int, Meta(ge=1, le=65535)]
    serves: Name
    slots: Annotated[int, Meta(ge=1, le=100_000)] = 16


def _upgrade_class(old: _ServiceClassV1) -> ServiceClass:
    targets = Targets(
        first_token_s=old.first_token_ms / MS_PER_S,
        inter_token_s=old.inter_token_ms / MS_PER_S,
        total_s=old.total_ms / MS_PER_S,
    )
    return ServiceClass(
        kind=old.kind,
        schema=old.schema,
        id=old.id,
        tier=old.tier,
        targets=targets,
        weight=old.weight,
    )


def _upgrade_team(old: _TeamV1) -> Team:
    return Team(
        kind=old.kind,
        schema=old.schema,
        id=old.id,
        key_sha256=[old.key_sha256],
        classes=old.classes,
    )


def _upgrade_model(old: _ModelV1) -> Model:
    return Model(kind=old.kind, schema=old.schema, id=old.id)


def _upgrade_route(old: _RouteV1) -> Route:
    return Route(
        kind=old.kind,
        schema=old.schema,
        id=old.id,
        to=TargetKind.MODEL if old.model else TargetKind.SERVICE,
        target=old.model or old.service,
        repeatable=old.idempotent,
    )


def _upgrade_upstream(old: _UpstreamV1) -> Upstream:
    return Upstream(
        kind=old.kind,
        schema=old.schema,
        id=old.id,
        type=old.type,
        address=f"{old.host}:{old.port}",
        serves=[old.serves],
        slots=old.slots,
    )


def _unchanged(record: Any) -> Any:
    return record


SCHEMAS: dict[str, dict[int, tuple[type[Struct], Callable[[Any], Any]]]] = {
    "class": {1: (_ServiceClassV1, _upgrade_class), 2: (ServiceClass, _unchanged)},
    "team": {1: (_TeamV1, _upgrade_team), 2: (Team, _unchanged)},
    "model": {1: (_ModelV1, _upgrade_model), 2: (Model, _unchanged)},
    "route": {1: (_RouteV1, _upgrade_route), 2: (Route, _unchanged)},
    "upstream": {1: (_UpstreamV1, _upgrade_upstream), 2: (Upstream, _unchanged)},
}


def convert(raw: dict[str, Any], kind: str, schema: int) -> Any:
    """Decode a raw record and upgrade it to the current version.

    Raises
    ------
    msgspec.ValidationError
        If the record is invalid; the message holds the path of the bad field.
    """
    record_type, upgrade = SCHEMAS[kind][schema]
    return upgrade(msgspec.convert(raw, type=record_type))
