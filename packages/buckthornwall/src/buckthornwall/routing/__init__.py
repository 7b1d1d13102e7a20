"""Which pool serves a request, and for which team.

============= ============================================================
`config`      routes, pools, teams and limits as the operator published them
`request`     one caller's request in the product's own words
`table`       the one published version in force, and its look-ups
============= ============================================================
"""

from .config import (
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
from .request import PromptSegment, PromptShape, RoutedRequest
from .table import Resolution, RoutingTable

__all__ = [
    "ClientLimits",
    "EngineSpec",
    "Pool",
    "PoolId",
    "PoolShare",
    "PromptSegment",
    "PromptShape",
    "PublishedConfig",
    "RequestRoute",
    "Resolution",
    "ResponseMode",
    "RoutedRequest",
    "RoutingTable",
    "TeamConfig",
]
