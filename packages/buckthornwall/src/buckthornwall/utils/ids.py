"""Typed identifiers."""

import random
from typing import NewType

__all__ = [
    "AttemptId",
    "ClassId",
    "GrantId",
    "Incarnation",
    "ModelId",
    "NodeId",
    "RegionId",
    "RequestId",
    "RouteId",
    "TeamId",
    "UpstreamId",
    "ZoneId",
    "new_id",
]

NodeId = NewType("NodeId", str)
ZoneId = NewType("ZoneId", str)
RegionId = NewType("RegionId", str)
ClassId = NewType("ClassId", str)
TeamId = NewType("TeamId", str)
ModelId = NewType("ModelId", str)
RouteId = NewType("RouteId", str)
UpstreamId = NewType("UpstreamId", str)
AttemptId = NewType("AttemptId", str)
# Short integers keep the messages between instances small.
RequestId = NewType("RequestId", int)
GrantId = NewType("GrantId", int)
Incarnation = NewType("Incarnation", int)

ID_BITS = 48
# The system's own randomness; tests that must repeat put a seeded one here.
source: random.Random = random.SystemRandom()


def new_id() -> int:
    """Return a random identifier of 48 bits, unique for all practical uses."""
    return source.getrandbits(ID_BITS)
