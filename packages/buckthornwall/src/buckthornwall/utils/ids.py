"""Types of identifiers, and random ones."""

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
    "SoftwareVersion",
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
SoftwareVersion = NewType("SoftwareVersion", str)
UpstreamId = NewType("UpstreamId", str)
AttemptId = NewType("AttemptId", str)
# Integers, to keep the messages between instances small.
RequestId = NewType("RequestId", int)
GrantId = NewType("GrantId", int)
Incarnation = NewType("Incarnation", int)

ID_BITS = 48
# The operating system's random source; reproducible tests replace it by a seeded one.
random_source: random.Random = random.SystemRandom()


def new_id() -> int:
    """Return a random identifier of 48 bits, unique for all practical purposes."""
    return random_source.getrandbits(ID_BITS)
