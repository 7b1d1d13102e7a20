"""Resolution of requests to routes, pools and teams.

============= ============================================================
`config`      routes, pools, teams and client limits that the operator published
`request`     a client's request, independent of the wire format
`table`       the configuration version in force, and look-ups in it
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
from .request import (
    MAX_TOKENS,
    OUTPUT_TOKEN_COST,
    PromptSegment,
    PromptShape,
    RelayOrigin,
    RoutedRequest,
    StreamOrigin,
)
from .table import Resolution, RoutingTable

__all__ = [
    "MAX_TOKENS",
    "OUTPUT_TOKEN_COST",
    "ClientLimits",
    "EngineSpec",
    "Pool",
    "PoolId",
    "PoolShare",
    "PromptSegment",
    "PromptShape",
    "PublishedConfig",
    "RelayOrigin",
    "RequestRoute",
    "Resolution",
    "ResponseMode",
    "RoutedRequest",
    "RoutingTable",
    "StreamOrigin",
    "TeamConfig",
]
