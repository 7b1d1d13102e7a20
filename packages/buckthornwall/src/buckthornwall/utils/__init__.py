"""Helpers that more than one subpackage uses."""

from .backoff import Backoff
from .clock import Clock, TrioClock
from .config import ConfigItem, ConfigNamespace
from .hashing import rendezvous_order, rendezvous_winner
from .ids import (
    AttemptId,
    ClassId,
    GrantId,
    Incarnation,
    ModelId,
    NodeId,
    RequestId,
    RouteId,
    TeamId,
    UpstreamId,
    ZoneId,
    new_id,
)
from .transport import TRANSPORT_ERRORS

__all__ = [
    "TRANSPORT_ERRORS",
    "AttemptId",
    "Backoff",
    "ClassId",
    "Clock",
    "ConfigItem",
    "ConfigNamespace",
    "GrantId",
    "Incarnation",
    "ModelId",
    "NodeId",
    "RequestId",
    "RouteId",
    "TeamId",
    "TrioClock",
    "UpstreamId",
    "ZoneId",
    "new_id",
    "rendezvous_order",
    "rendezvous_winner",
]
