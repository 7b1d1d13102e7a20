"""Table of all registered upstreams and their state."""

import math
from collections.abc import Collection, Iterable, Iterator, Mapping

from buckthornwall.engine_model import EngineModel
from buckthornwall.routing import (
    Pool,
    PoolId,
    PromptShape,
    RequestRoute,
    ResponseMode,
)
from buckthornwall.telemetry import log_event
from buckthornwall.utils import Clock, RegionId, UpstreamId, ZoneId

from .availability import (
    ADVISORY,
    FORBIDDING,
    LASTING,
    Obstacle,
    find_obstacle,
    wait_s,
)
from .brittle_upstreams import BrittleUpstreams
from .engine_speed import USUAL_SLOWNESS
from .engine_speeds import receive_speeds, speeds_to_report
from .entry import UpstreamEntry, is_same_incarnation
from .evacuation import Evacuations
from .health import Verdict, median_failure_share
from .isolation import Isolation
from .ledger import AdmissionLedger, RankTokens
from .limit_queue import LimitQueue
from .notices import NoticeTable
from .permitted import ANY_UPSTREAM, Permitted
from .pool_reports import PoolReports
from .prefill_owners import PrefillOwners
from .prefix_updates import CachedPrefixes, PrefixUpdates
from .rate_limits import RateLimits
from .reachability import Unreachable
from .regained import forget_failures
from .reserved import ReservedEngines
from .settings import PoolSettings
from .software_versions import SoftwareVersions
from .start_demand import assumed_streams
from .team_table import TeamTable
from .view import UpstreamView
from .wait_calibration import WaitCalibration

__all__ = ["PoolTable"]

# The last token of a limited pool is reserved for more urgent requests this long.
RESERVED_TOKEN_S = 0.5


class PoolTable:
    """Registered upstreams, as of the newest update from the store.

    Parameters
    ----------
    clock
        Source of time.
    regions
        Region of each availability zone.
    settings
        Which of the decisions under load are used.

    Attributes
    ----------
    rate_limits : RateLimits
        Rate limits of the upstreams.
    brittle : BrittleUpstreams
        Upstreams that must not reject many requests.
    notices : NoticeTable
        What the upstreams state about themselves.
    evacuations : Evacuations
        Availability zones that get no new requests.
    isolation : Isolation
        Whether this instance reaches no upstream.
    versions : SoftwareVersions
        Software versions of the upstreams.
    teams : TeamTable
        Fair shares of teams.
    prefill_owners : PrefillOwners
        Which reserved engines this instance may prefill long prompts at.
    """

    def __init__(
        self,
        clock: Clock,
        regions: Mapping[ZoneId, RegionId] | None = None,
        settings: PoolSettings | None = None,
    ) -> None:
        self.clock = clock
        self.settings = settings or PoolSettings()
        self.regions = dict(regions or {})
        self.views: dict[UpstreamId, UpstreamView] = {}
        self.rate_limits = RateLimits(clock, self.views)
        self.notices = NoticeTable(clock, self.views)
        self.brittle = BrittleUpstreams(clock, self.views)
        self.versions = SoftwareVersions(clock)
        self._members: dict[PoolId, dict[UpstreamId, UpstreamView]] = {}
        self._wait_calibrations: dict[PoolId, WaitCalibration] = {}
        self._models: dict[PoolId, EngineModel] = {}
        self._reserved_engines: dict[PoolId, ReservedEngines] = {}
        self._ledgers: dict[PoolId, AdmissionLedger] = {}
        self.teams = TeamTable()
        self._limit_queues: dict[PoolId, LimitQueue] = {}
        self.prefill_owners = PrefillOwners()
        self.prefix_updates = PrefixUpdates()
        self.evacuations = Evacuations()
        self.isolation = Isolation()
        self.isolation.on_regained = lambda since: forget_failures(
            self.views.values(), self.isolation.since, since, clock.now()
        )

    def adopt(self, entry: UpstreamEntry) -> bool:
        """Add or update a registration.

        Returns
        -------
        bool
            Whether the upstream restarted under the same id. Its state is then
            discarded, and the requests in flight there have failed.
        """
        view = self.views.get(entry.id)
        self.versions.replace(view.entry if view is not None else None, entry)
        restarted = view is not None and not is_same_incarnation(view.entry, entry)
        if restarted:
            self._members[view.entry.pool].pop(entry.id, None)
            log_event(
                "upstream_restarted",
                "WARNING",
                upstream=entry.id,
                start=entry.incarnation,
                before=view.entry.incarnation,
                requests=view.load.requests,
            )
            view = None
        if view is None:
            view = self.views[entry.id] = UpstreamView(entry)
            view.load.slowdown.is_used = self.settings.stated_slowdown
            if restarted:
                view.speed.begin_anew(self.clock.now())
            self.notices.restore(view)
            self.brittle.adopt(view)
            log_event(
                "upstream_registered",
                upstream=entry.id,
                pool=entry.pool,
                zone=entry.zone,
                state=entry.state.value,
                version=entry.version,
            )
        elif view.entry.state is not entry.state:
            log_event("upstream_state", upstream=entry.id, state=entry.state.value)
        if view.entry.pool != entry.pool:
            self._members[view.entry.pool].pop(entry.id, None)
        view.entry = entry
        self._members.setdefault(entry.pool, {})[entry.id] = view
        self.rate_limits.adopt(view)
        return restarted

    def in_zone(self, zone: ZoneId) -> list[UpstreamView]:
        """Return the upstreams of an availability zone."""
        return [view for view in self.views.values() if view.entry.zone == zone]

    def remove(self, upstream: UpstreamId) -> None:
        """Remove an upstream that is gone."""
        view = self.views.pop(upstream, None)
        if view is not None:
            self._members[view.entry.pool].pop(upstream, None)
            self.versions.replace(view.entry, None)
            self.notices.retain(view)
            self.prefill_owners.forget(upstream)
            log_event("upstream_gone", upstream=upstream, pool=view.entry.pool)

    def note_prompt(self, view: UpstreamView, prompt: PromptShape) -> None:
        """Record a prompt sent to an engine, and report its segments to peers."""
        now = self.clock.now()
        uncached = prompt.prompt_tokens - view.prefixes.cached_tokens(prompt)
        view.load.recent_prefill.record(max(0, uncached), now)
        view.prefixes.record(prompt)
        shared = [(segment.id, segment.tokens) for segment in prompt.segments[:-1]]
        self.prefix_updates.record(view.id, shared, now)

    def receive_cached_prefixes(self, cached_prefixes: CachedPrefixes) -> None:
        """Record which segments other instances sent to engines."""
        for upstream, segments in cached_prefixes.items():
            view = self.views.get(upstream)
            if view is not None:
                view.prefixes.record_segments(segments)

    def members(self, pool: PoolId) -> Collection[UpstreamView]:
        """Return every registered upstream of a pool."""
        return self._members.get(pool, {}).values()

    def knows_zone(self, zone: ZoneId) -> bool:
        """Return whether a zone is configured or has upstreams."""
        return zone in self.regions or bool(self.in_zone(zone))

    def is_evacuated(self, pool: PoolId, permitted: Permitted = ANY_UPSTREAM) -> bool:
        """Return whether all ready upstreams of a pool are in evacuated zones."""
        zones = {
            view.entry.zone
            for view in self.members(pool)
            if not view.is_leaving and permitted.include(view.entry, self.regions)
        }
        return bool(zones) and all(map(self.evacuations.is_evacuated, zones))

    def has_ready(self, pool: PoolId, permitted: Permitted) -> bool:
        """Return whether a pool has ready upstreams among those permitted."""
        return permitted is ANY_UPSTREAM or any(
            not view.is_leaving and permitted.include(view.entry, self.regions)
            for view in self.members(pool)
        )

    def wait_calibration(self, pool: PoolId) -> WaitCalibration:
        """Return the calibration of a pool's expected waits for first tokens."""
        return self._wait_calibrations.setdefault(pool, WaitCalibration())

    def ledger(self, pool: PoolId) -> AdmissionLedger:
        """Return the ledger of a pool's recently admitted and refused requests."""
        return self._ledgers.setdefault(pool, AdmissionLedger())

    def rank_tokens(self) -> RankTokens:
        """Return the tokens recently admitted and refused by this instance."""
        now = self.clock.now()
        local = {
            pool: ledger.local_counts(now) for pool, ledger in self._ledgers.items()
        }
        return {pool: by_rank for pool, by_rank in local.items() if by_rank}

    def receive_rank_tokens(self, peers: RankTokens) -> None:
        """Record the tokens recently admitted and refused by all other instances."""
        for pool in {*self._ledgers, *peers}:
            self.ledger(pool).peers = peers.get(pool, {})

    def reports(self) -> PoolReports:
        """Return what this instance reports to its peers about pools under load."""
        now = self.clock.now()
        speeds = speeds_to_report(self.views.values(), now)
        return PoolReports(
            speeds if self.settings.engine_speeds else {}, self.teams.to_report(now)
        )

    def receive_reports(self, peers: PoolReports) -> None:
        """Record the sums of what all other instances report."""
        now = self.clock.now()
        self.teams.receive(peers.team_tokens, now)
        if not self.settings.engine_speeds:
            return
        for members in self._members.values():
            receive_speeds(members.values(), peers.engine_speeds, now)

    def model(self, pool: PoolId) -> EngineModel:
        """Return the model of the speed of a pool's engines."""
        return self._models.setdefault(pool, EngineModel())

    def log_speeds(self) -> None:
        """Log the estimated speed of each pool of model engines."""
        for pool, model in self._models.items():
            if model.gap_count:
                log_event("engine_speed", pool=pool, **model.describe())
        for view in self.differing_engines():
            log_event(
                "engine_differs",
                upstream=view.id,
                slowness=round(view.speed.slowness, 2),
                **view.speed.describe(self.clock.now()),
            )

    def differing_engines(self) -> list[UpstreamView]:
        """Return the engines that are faster or slower than usual in their pools."""
        return [
            view
            for view in self.views.values()
            if view.speed.slowness != USUAL_SLOWNESS
        ]

    def reserved_engines(self, pool: PoolId) -> ReservedEngines:
        """Return the engines of a pool reserved for pause-sensitive streams."""
        if pool not in self._reserved_engines:
            self._reserved_engines[pool] = ReservedEngines(pool, self.model(pool))
        return self._reserved_engines[pool]

    def assume_start_demand(self, instances: int) -> None:
        """Reserve engines as if each of the known instances had a stream already."""
        if not self.settings.start_demand:
            return
        for pool, reserved in self._reserved_engines.items():
            streams = assumed_streams(list(self.members(pool)), instances)
            reserved.assume_demand(streams, self.clock.now())

    def set_contracts(
        self, pools: Iterable[Pool], routes: Iterable[RequestRoute]
    ) -> None:
        """Apply engine sizes and stream contracts of a new configuration version."""
        pools = list(pools)
        self.rate_limits.set_pools(pools)
        pauses: dict[PoolId, set[float]] = {}
        for route in routes:
            if route.response_mode is ResponseMode.EVENT_STREAM:
                for share in route.shares:
                    pauses.setdefault(share.pool, set()).add(route.max_pause_s)
        for pool in pools:
            if pool.engine is not None:
                for view in self.members(pool.id):
                    view.prefixes.set_memory(pool.engine.memory_tokens)
                self.reserved_engines(pool.id).set_contracts(
                    pool.engine.tokens_per_event, pauses.get(pool.id, set())
                )

    def _obstacles(
        self,
        pool: PoolId,
        tried: frozenset[UpstreamId] | set[UpstreamId],
        permitted: Permitted,
    ) -> Iterator[tuple[UpstreamView, Obstacle | None]]:
        """Yield the upstreams that a request may go to, with their obstacles."""
        evacuated, now = self.evacuations.zones(), self.clock.now()
        for view in self.members(pool):
            if view.entry.id in tried:
                continue
            if permitted is ANY_UPSTREAM or permitted.include(view.entry, self.regions):
                yield view, find_obstacle(view, evacuated, now)

    def _ready(self, pool: PoolId, permitted: Permitted) -> Iterator[UpstreamView]:
        """Yield the upstreams without a lasting obstacle."""
        for view, obstacle in self._obstacles(pool, frozenset(), permitted):
            if obstacle not in LASTING:
                yield view

    def usable(
        self,
        pool: PoolId,
        tried: frozenset[UpstreamId] | set[UpstreamId],
        permitted: Permitted = ANY_UPSTREAM,
    ) -> list[UpstreamView]:
        """Return the upstreams that may get a new request.

        Those with obstacles that are only advisory count if there are no others.
        """
        available, advised_against = [], []
        for view, obstacle in self._obstacles(pool, tried, permitted):
            if obstacle is None:
                available.append(view)
            elif obstacle in ADVISORY:
                advised_against.append(view)
        return available or advised_against

    def forbidding_obstacle(self, view: UpstreamView) -> Obstacle | None:
        """Return why a request is not to be sent to its chosen upstream any more."""
        if self.views.get(view.id) is not view:
            return Obstacle.REGISTERED_LEAVING
        obstacle = find_obstacle(view, self.evacuations.zones(), self.clock.now())
        return obstacle if obstacle in FORBIDDING else None

    def limit_queue(self, pool: PoolId) -> LimitQueue:
        """Return the queue of requests for tokens of a limited pool."""
        return self._limit_queues.setdefault(pool, LimitQueue())

    def is_limited(self, pool: PoolId, permitted: Permitted = ANY_UPSTREAM) -> bool:
        """Return whether all ready upstreams of a pool are limited, rest or brittle."""
        now = self.clock.now()
        is_any_ready = False
        for view in self._ready(pool, permitted):
            if not (
                view.rate_limit.is_limited(now)
                or view.notices.is_resting(now)
                or view.brittleness.is_in_force(now)
            ):
                return False
            is_any_ready = True
        return is_any_ready

    def is_brittle(self, pool: PoolId, permitted: Permitted = ANY_UPSTREAM) -> bool:
        """Return whether any ready upstream of a pool is brittle."""
        now = self.clock.now()
        ready = self._ready(pool, permitted)
        return any(view.brittleness.is_in_force(now) for view in ready)

    def is_resting(self, pool: PoolId, permitted: Permitted = ANY_UPSTREAM) -> bool:
        """Return whether all ready upstreams of a pool want no request now."""
        now = self.clock.now()
        ready = list(self._ready(pool, permitted))
        return bool(ready) and all(view.notices.is_resting(now) for view in ready)

    def limit_wait_s(self, pool: PoolId, permitted: Permitted = ANY_UPSTREAM) -> float:
        """Return how long until a limited pool accepts another request from here.

        In seconds; infinite where this instance has no share.
        """
        now = self.clock.now()
        ready = self._ready(pool, permitted)
        return min((wait_s(view, now) for view in ready), default=math.inf)

    def has_spare_token(
        self, pool: PoolId, permitted: Permitted = ANY_UPSTREAM
    ) -> bool:
        """Return whether a limited pool accepts a request that is not the most urgent.

        The last token is reserved for more urgent ones for a while.
        """
        now = self.clock.now()
        limits = [
            view.rate_limit
            for view in self._ready(pool, permitted)
            if not view.notices.is_resting(now)
        ]
        if sum(1 for limit in limits if limit.may_send(now)) > 1:
            return True
        return any(limit.ready_for_s(now) >= RESERVED_TOKEN_S for limit in limits)

    def limit_interval_s(
        self, pool: PoolId, permitted: Permitted = ANY_UPSTREAM
    ) -> float:
        """Return the seconds between two requests from here to a limited pool.

        Infinite where this instance has no share; 0 if any upstream has no rate limit
        and only rests.
        """
        now = self.clock.now()
        limits = [view.rate_limit for view in self._ready(pool, permitted)]
        if any(not limit.is_limited(now) for limit in limits):
            return 0.0
        per_s = sum(limit.local_per_s for limit in limits)
        return 1 / per_s if per_s else math.inf

    def unreachable(self) -> list[UpstreamId]:
        """Return the upstreams to report to peers as not accepting requests.

        Those that this instance recently could not reach, or that asked it for a rest.
        The former not while the reason may be that it reaches no upstream at all.
        """
        now, is_in_doubt = self.clock.now(), self.isolation.is_in_doubt
        return [
            view.id
            for view in self.views.values()
            if (not is_in_doubt and view.reachability.should_report(now))
            or view.notices.should_report_rest(now)
        ]

    def receive_unreachable(self, unreachable: Unreachable) -> None:
        """Record how many instances recently could not reach each upstream."""
        now = self.clock.now()
        for upstream, reporters in unreachable.items():
            if (view := self.views.get(upstream)) is not None:
                view.reachability.record_reports(reporters, now)

    def record_outcome(self, view: UpstreamView, verdict: Verdict) -> None:
        """Record the outcome of a request at an upstream."""
        if self.isolation.is_isolated and verdict is not Verdict.GOOD:
            return
        now = self.clock.now()
        if verdict is Verdict.UNREACHABLE:
            view.reachability.record_failed(now)
        others = [
            other.health for other in self.members(view.entry.pool) if other is not view
        ]
        changed = view.health.record_outcome(
            verdict, median_failure_share(others, now), now
        )
        if changed:
            log_event(
                "upstream_set_aside" if view.health.ejected else "upstream_back",
                "WARNING",
                upstream=view.id,
                verdict=verdict.value,
                pause_s=view.health.ejection_s,
            )
