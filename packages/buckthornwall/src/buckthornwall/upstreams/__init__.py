"""Streams from engines, calls to plain services, orders to engines."""

from .budget import RetryBudget
from .engine import EngineClient, UpstreamSettings
from .orders import OrderAgent
from .service import ServiceClient

__all__ = [
    "EngineClient",
    "OrderAgent",
    "RetryBudget",
    "ServiceClient",
    "UpstreamSettings",
]
