"""The upstreams of each pool: who is there, how loaded, how healthy, who is next.

============= ============================================================
`entry`       an upstream as it is registered
`load`        how much work lies at an upstream, as far as is known here
`waits`       how long requests there have waited for their first token
`prefixes`    which shared parts of prompts an engine is likely to hold
`prefix_updates` what instances tell each other of that
`evacuation`  which availability zones get no new requests
`health`      which upstreams fail requests, whatever their health check says
`reachability` which upstreams cannot be reached, as instances tell each other
`rate_limit`  how many requests a second an upstream takes from all instances
`rate_limits` those of all upstreams, and what an instance may send
`limit_share` which instances send to one, and how much each
`fleet_memory` which instances were live lately
`limit_queue` who gets the next token where all of a pool have a limit
`view`        all of these for one upstream
`table`       the views by upstream; adopts registrations
`reserved`    engines kept free of long prompts, for streams that must not pause
`placement`   the choice of an upstream for a request
`ledger`      what was let in and refused lately, by rank
`overload`    limits of what is refused, and when it is to come back
`traits`      what decisions know of a request
`expectation` how long its first token is expected to take
`refusal`     whether it is refused
`decision`    where it goes
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
