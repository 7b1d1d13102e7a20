"""Which pool serves a request, and for which team.

============= ============================================================
`contract`    routes, pools, teams and limits as the operator published them
`request`     one caller's request in the product's own words
`table`       the one published version in force, and its look-ups
============= ============================================================
"""

from .contract import (
    AnswerForm,
    CallerLimits,
    EngineTraits,
    Pool,
    PoolId,
    PoolShare,
    Published,
    RequestRoute,
    TeamGrant,
)
from .request import PromptSegment, PromptShape, RoutedRequest
from .table import Resolution, RoutingTable

__all__ = [
    "AnswerForm",
    "CallerLimits",
    "EngineTraits",
    "Pool",
    "PoolId",
    "PoolShare",
    "Published",
    "PromptSegment",
    "PromptShape",
    "RequestRoute",
    "Resolution",
    "RoutedRequest",
    "RoutingTable",
    "TeamGrant",
]
