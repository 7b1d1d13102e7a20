"""Helpers that several subpackages use."""

from .addresses import split_address
from .backoff import Backoff
from .clock import Clock, TrioClock
from .config import ConfigItem, ConfigNamespace
from .counts import MAX_COUNT, Count, Revision, Weight, add_counts
from .decoding import DecodingError, decode_cbor, decode_json
from .hashing import HashRing, hash_fraction, rendezvous_order, rendezvous_winner
from .ids import (
    AttemptId,
    ClassId,
    GrantId,
    Incarnation,
    ModelId,
    NodeId,
    RegionId,
    RequestId,
    RouteId,
    SoftwareVersion,
    TeamId,
    UpstreamId,
    ZoneId,
    new_id,
)
from .lazy import lazy_exports
from .store_position import StorePosition
from .suspension import SuspensionClock

__all__ = [
    "MAX_COUNT",
    "TRANSPORT_ERRORS",  # noqa: F822 - imported at its first use
    "AttemptId",
    "Backoff",
    "ClassId",
    "Clock",
    "ConfigItem",
    "ConfigNamespace",
    "Count",
    "DecodingError",
    "GrantId",
    "HashRing",
    "Incarnation",
    "ModelId",
    "NodeId",
    "RegionId",
    "ReplyLimits",  # noqa: F822 - imported at its first use
    "RequestId",
    "Revision",
    "RouteId",
    "SoftwareVersion",
    "StorePosition",
    "SuspensionClock",
    "TeamId",
    "TrioClock",
    "UpstreamId",
    "Weight",
    "ZoneId",
    "add_counts",
    "decode_cbor",
    "decode_json",
    "hash_fraction",
    "lazy_exports",
    "new_id",
    "rendezvous_order",
    "rendezvous_winner",
    "request_bounded",  # noqa: F822 - imported at its first use
    "split_address",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "ReplyLimits": "bounded",
        "TRANSPORT_ERRORS": "transport",
        "request_bounded": "bounded",
    },
)
