"""Upstreams of each pool: registrations, load, health, and placement of requests.

============= ============================================================
`entry`       an upstream as it is registered
`load`        load of an upstream as known to this instance
`waits`       how long requests there have waited for their first token
`prefixes`    estimate of the prefix cache of an engine
`prefix_updates` exchange of cached prefixes between instances
`evacuation`  which availability zones get no new requests
`health`      which upstreams fail requests, whatever their health check says
`reachability` which upstreams cannot be reached, as instances tell each other
`rate_limit`  how many requests a second an upstream takes from all instances
`rate_limits` those of all upstreams, and what an instance may send
`limit_share` which instances send to one, and how much each
`fleet_memory` instances that were live lately
`limit_queue` who gets the next token where all of a pool have a limit
`view`        all of these for one upstream
`table`       the views by upstream; adopts registrations
`reserved`    engines reserved for pause-sensitive streams
`placement`   the choice of an upstream for a request
`ledger`      requests admitted and refused lately, by rank
`overload`    limits of the expected wait, and the delay of retries
`traits`      properties of a request that decisions depend on
`expectation` expected time to the first token
`refusal`     whether a request is refused for overload
`decision`    which upstream a request is sent to
============= ============================================================
"""

from .decision import choose_upstream
from .entry import UpstreamEntry, UpstreamState
from .expectation import expected_s
from .fleet_memory import FleetMemory
from .health import Verdict
from .limit_queue import LimitQueue
from .limit_share import Fleet
from .load import LoadReport
from .overload import retry_after_s
from .placement import Choice, PlacementRequest, choose_engine, choose_service
from .prefix_updates import CachedPrefixes, PrefixUpdates, merge_cached_prefixes
from .rate_limit import LimitReport, LimitReports, merge_limit_reports
from .reachability import Unreachable, add_unreachable
from .refusal import Overload, RefusalReason, find_overload, record_decision
from .reserved import is_pause_sensitive
from .table import PoolTable
from .traits import RequestTraits
from .view import UpstreamView

__all__ = [
    "Choice",
    "Fleet",
    "FleetMemory",
    "CachedPrefixes",
    "LimitQueue",
    "LimitReport",
    "LimitReports",
    "LoadReport",
    "Overload",
    "PlacementRequest",
    "PoolTable",
    "PrefixUpdates",
    "RefusalReason",
    "RequestTraits",
    "Unreachable",
    "UpstreamEntry",
    "UpstreamState",
    "UpstreamView",
    "Verdict",
    "add_unreachable",
    "choose_engine",
    "choose_service",
    "choose_upstream",
    "expected_s",
    "find_overload",
    "is_pause_sensitive",
    "merge_cached_prefixes",
    "merge_limit_reports",
    "record_decision",
    "retry_after_s",
]
