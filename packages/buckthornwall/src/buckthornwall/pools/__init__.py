"""Upstreams of each pool: registrations, load, health, and placement of requests.

=================== ==============================================================
`entry`             an upstream as it is registered
`load`              load of an upstream as known to this instance
`slowdown`          how long work takes at an upstream, by its own statements
`waits`             how long requests there have waited for their first token
`prefixes`          estimate of the prefix cache of an engine
`prefix_updates`    exchange of cached prefixes between instances
`permitted`         regions and software versions that a request may go to
`software_versions` software versions of upstreams, now and recently
`evacuation`        availability zones that get no new requests
`health`            upstreams that fail requests, whatever their health check says
`reachability`      upstreams that do not accept requests, as reported by instances
`isolation`         whether this instance reaches no upstream at all
`regained`          what is forgotten when an isolation ends
`probe_order`       the upstreams that are probed to find that out
`upstream_notices`  notices of one upstream that are in force
`notices`           what upstreams state about themselves in their responses
`availability`      whether an upstream may get a request now
`rate_limit`        rate limit of one upstream over all instances
`rate_limits`       rate limits of all upstreams, and the local shares
`limit_share`       shares of the instances in the rate limit of an upstream
`limit_demand`      what this instance needs of its share
`brittleness`       what may be sent to one upstream that must not reject many
`brittle_upstreams` all such upstreams, reports on them, and the local shares
`slot_share`        shares of the instances in the slots of an upstream
`fleet_memory`      instances that were live recently
`limit_queue`       queue for the tokens of a pool whose upstreams are all limited
`engine_speed`      relative speed of one engine, by samples of all instances
`engine_speeds`     which engines of a pool differ in speed
`step_observer`     what the gaps of a stream teach about speeds
`view`              all of these for one upstream
`table`             views by upstream; adopts registrations
`reserved`          engines reserved for pause-sensitive streams
`stream_forecast`   forecast of the pause-sensitive streams of a pool
`prefill_owners`    owner and prefill budget of each reserved engine
`recent_prefill`    prompt tokens that this instance sent to an engine recently
`owned_prefill`     engines that long prompts may go to under owners
`start_demand`      streams expected when all instances have just started
`placement`         choice of an upstream for a request
`pool_reports`      what instances report to each other about pools under load
`team_shares`       fair shares of teams in the work that a pool admits
`team_table`        fair shares of teams in all pools
`team_refusal`      whether a request is refused for its team's share
`settings`          which of the decisions under load are used
`ledger`            requests admitted and refused recently, by rank
`overload`          limits of the expected wait, and the delay of retries
`backlog`           share of new work to refuse, by the prefill pending in a pool
`retry_delay`       when a request that was refused should come back
`traits`            properties of a request that decisions depend on
`expectation`       expected time to the first token
`refusal`           whether a request is refused for overload
`decision`          which upstream a request is sent to
=================== ==============================================================
"""

from .availability import Obstacle
from .decision import choose_upstream
from .entry import UpstreamEntry, UpstreamState, check_entry, is_same_incarnation
from .expectation import expected_s
from .fleet_memory import FleetMemory
from .health import Verdict
from .isolation import Isolation
from .ledger import Admission, RankTokens, add_rank_tokens, subtract_rank_tokens
from .limit_demand import LimitNeed
from .limit_queue import LimitQueue
from .limit_share import Fleet, LimitUsers
from .load import LoadReport
from .notices import LeavingUpstreams, Notice
from .overload import retry_after_s
from .owned_prefill import owned_ids, reserved_ids
from .permitted import ANY_UPSTREAM, Permitted
from .placement import Choice, PlacementRequest, choose_engine, choose_service
from .pool_reports import (
    EngineSpeeds,
    PoolReports,
    SpeedSamples,
    TeamTokens,
    bound_pool_reports,
    subtract_pool_reports,
    sum_pool_reports,
)
from .prefix_updates import CachedPrefixes, PrefixUpdates, merge_cached_prefixes
from .probe_order import probe_order
from .rate_limit import LimitReport, LimitReports, merge_limit_reports
from .reachability import Unreachable, add_unreachable
from .refusal import Overload, RefusalReason, find_overload, record_decision
from .reserved import is_pause_sensitive
from .settings import PoolSettings
from .slowdown import MAX_SLOWDOWN, Slowdown
from .software_versions import SoftwareVersions, VersionHistory
from .step_observer import StepObserver
from .switching import is_served_in_order
from .table import PoolTable
from .team_shares import TeamShares, TeamStanding
from .traits import RequestTraits
from .upstream_notices import MAX_REST_S
from .view import UpstreamView

__all__ = [
    "ANY_UPSTREAM",
    "MAX_REST_S",
    "MAX_SLOWDOWN",
    "Admission",
    "CachedPrefixes",
    "Choice",
    "EngineSpeeds",
    "Fleet",
    "FleetMemory",
    "Isolation",
    "LeavingUpstreams",
    "LimitQueue",
    "LimitReport",
    "LimitNeed",
    "LimitReports",
    "LimitUsers",
    "LoadReport",
    "Notice",
    "Obstacle",
    "Overload",
    "Permitted",
    "PlacementRequest",
    "PoolReports",
    "PoolSettings",
    "PoolTable",
    "PrefixUpdates",
    "RankTokens",
    "RefusalReason",
    "RequestTraits",
    "Slowdown",
    "SoftwareVersions",
    "SpeedSamples",
    "StepObserver",
    "TeamShares",
    "TeamStanding",
    "TeamTokens",
    "Unreachable",
    "UpstreamEntry",
    "UpstreamState",
    "UpstreamView",
    "Verdict",
    "VersionHistory",
    "add_rank_tokens",
    "add_unreachable",
    "bound_pool_reports",
    "check_entry",
    "choose_engine",
    "choose_service",
    "choose_upstream",
    "expected_s",
    "find_overload",
    "is_pause_sensitive",
    "is_same_incarnation",
    "is_served_in_order",
    "owned_ids",
    "reserved_ids",
    "merge_cached_prefixes",
    "merge_limit_reports",
    "probe_order",
    "record_decision",
    "retry_after_s",
    "subtract_pool_reports",
    "subtract_rank_tokens",
    "sum_pool_reports",
]
