"""Sizes, configuration records and loads of the deployments of the first two users.

Latency targets are scaled to the stand-in engines, which generate a token in
about 40 ms.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from hashlib import sha256
from typing import Any

__all__ = [
    "CASCADE",
    "MANIZALES",
    "ClassLoad",
    "Deployment",
    "make_api_key",
    "make_records",
]

ORDER_ROUTE = "orders"


@dataclass(frozen=True)
class ClassLoad:
    """One service class: its record, and the load of its callers.

    `share` is the fraction of its pool's token demand; the lengths of responses have
    the median `median_tokens` and a heavy tail; `teams` holds the fraction of the
    class's arrivals for each team.
    """

    id: str
    pool: str
    tier: int
    first_token_s: float
    inter_token_s: float
    total_s: float
    weight: float
    floor: float
    share: float
    median_tokens: int
    prompt_chars: int
    teams: tuple[tuple[str, float], ...]


@dataclass(frozen=True)
class Deployment:
    """Deployment of one user."""

    name: str
    zones: tuple[str, ...]
    nodes: int
    pools: dict[str, int]
    loads: tuple[ClassLoad, ...]
    slots: int = 4
    one_way_delay_ms: float = 0.5
    urgent_reserve: float = 0.05
    service: bool = True
    extra_records: list[dict[str, Any]] = field(default_factory=list)

    def teams(self) -> list[str]:
        """Return all teams, sorted."""
        return sorted({team for load in self.loads for team, _ in load.teams})


MANIZALES = Deployment(
    name="manizales",
    zones=("centro", "chinchina", "villamaria", "neira"),
    nodes=6,
    pools={"kit-assistant": 9, "orders-desk": 4},
    one_way_delay_ms=0.5,
    loads=(
        ClassLoad(
            "foreman",
            "kit-assistant",
            0,
            0.6,
            0.06,
            10.0,
            1.0,
            0.0,
            0.15,
            25,
            400,
            (("obra-norte", 0.5), ("obra-sur", 0.3), ("obra-rio", 0.2)),
        ),
        ClassLoad(
            "drafting",
            "kit-assistant",
            1,
            3.0,
            0.08,
            60.0,
            3.0,
            0.1,
            0.6,
            120,
            1600,
            (("oficina-tecnica", 0.6), ("planta", 0.25), ("archivo", 0.15)),
        ),
        ClassLoad(
            "cutting",
            "kit-assistant",
            2,
            8.0,
            0.15,
            90.0,
            1.0,
            0.05,
            0.25,
            70,
            800,
            (("aserradero", 0.7), ("taller", 0.3)),
        ),
        ClassLoad(
            "dispatch",
            "orders-desk",
            0,
            0.6,
            0.06,
            10.0,
            1.0,
            0.0,
            0.15,
            25,
            300,
            (("despacho", 1.0),),
        ),
        ClassLoad(
            "inquiry",
            "orders-desk",
            1,
            3.0,
            0.08,
            30.0,
            1.0,
            0.1,
            0.85,
            50,
            500,
            (("ventas", 1.0),),
        ),
    ),
)

CASCADE = Deployment(
    name="cascade",
    zones=("tacoma", "everett", "olympia"),
    nodes=6,
    pools={"crossing-fault": 5, "fault-desk": 3},
    one_way_delay_ms=1.5,
    loads=(
        ClassLoad(
            "dispatcher",
            "crossing-fault",
            0,
            0.6,
            0.06,
            10.0,
            1.0,
            0.0,
            0.15,
            30,
            500,
            (("dispatch-north", 0.6), ("dispatch-south", 0.4)),
        ),
        ClassLoad(
            "triage",
            "crossing-fault",
            1,
            2.5,
            0.08,
            40.0,
            2.0,
            0.1,
            0.6,
            80,
            1200,
            (("maintainers", 0.7), ("county-crews", 0.3)),
        ),
        ClassLoad(
            "history",
            "crossing-fault",
            2,
            8.0,
            0.15,
            90.0,
            1.0,
            0.05,
            0.25,
            100,
            2000,
            (("analysis", 1.0),),
        ),
        ClassLoad(
            "signal-desk",
            "fault-desk",
            0,
            0.6,
            0.06,
            10.0,
            1.0,
            0.0,
            0.12,
            25,
            300,
            (("desk", 1.0),),
        ),
        ClassLoad(
            "reports",
            "fault-desk",
            1,
            3.0,
            0.08,
            40.0,
            1.0,
            0.1,
            0.88,
            60,
            800,
            (("office", 1.0),),
        ),
    ),
)


def make_api_key(team: str) -> str:
    """Return the bearer API key of a team."""
    return f"key-of-{team}"


def make_records(
    deployment: Deployment,
    number: int,
    upstreams: list[dict[str, Any]],
    scheduling: str = "pooled",
) -> dict[str, Any]:
    """Return the configuration that an operator would publish."""
    records: list[dict[str, Any]] = []
    records += _class_records(deployment)
    records += _team_records(deployment)
    for pool in deployment.pools:
        records.append(
            {
                "kind": "model",
                "schema": 2,
                "id": pool,
                "urgent_reserve": deployment.urgent_reserve,
                "scheduling": scheduling,
            }
        )
        records.append(
            {"kind": "route", "schema": 2, "id": pool, "to": "model", "target": pool}
        )
    records.append(
        {
            "kind": "route",
            "schema": 2,
            "id": ORDER_ROUTE,
            "to": "service",
            "target": "order-service",
            "repeatable": False,
            "timeout_s": 10,
        }
    )
    records += upstreams
    records += deployment.extra_records
    return {"number": number, "records": records}


def _class_records(deployment: Deployment) -> Iterator[dict[str, Any]]:
    for load in deployment.loads:
        yield {
            "kind": "class",
            "schema": 2,
            "id": load.id,
            "tier": load.tier,
            "targets": {
                "first_token_s": load.first_token_s,
                "inter_token_s": load.inter_token_s,
                "total_s": load.total_s,
            },
            "weight": load.weight,
            "floor": load.floor,
        }


def _team_records(deployment: Deployment) -> Iterator[dict[str, Any]]:
    for team in deployment.teams():
        classes = [load.id for load in deployment.loads if team in dict(load.teams)]
        key_hash = sha256(make_api_key(team).encode()).hexdigest()
        yield {
            "kind": "team",
            "schema": 2,
            "id": team,
            "key_sha256": [key_hash],
            "classes": classes,
        }
