"""The published, versioned configuration and its adoption by instances."""

from .core import RecordView, parse_records
from .schema import (
    EngineOrder,
    Model,
    Route,
    SchedulingMode,
    ServiceClass,
    TargetKind,
    Targets,
    Team,
    Upstream,
    UpstreamKind,
)
from .store import Adoption, RecordStore

__all__ = [
    "Adoption",
    "EngineOrder",
    "Model",
    "RecordStore",
    "RecordView",
    "Route",
    "SchedulingMode",
    "ServiceClass",
    "TargetKind",
    "Targets",
    "Team",
    "Upstream",
    "UpstreamKind",
    "parse_records",
]
