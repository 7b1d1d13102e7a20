"""Streams are continued only at the software version that began them."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, replace

from buckthornwall.codes import Refusal, ResultCode
from buckthornwall.pools import PoolTable
from buckthornwall.routing import (
    PoolId,
    RequestRoute,
    Resolution,
    ResponseMode,
    RoutedRequest,
    RoutingTable,
    StreamOrigin,
)
from buckthornwall.stream_origins import (
    OriginRecord,
    StreamKey,
    StreamOriginTable,
    format_key,
    stream_key,
)
from buckthornwall.telemetry import RouterMetrics, log_event
from buckthornwall.utils import Clock, SoftwareVersion

from .job import Job
from .reply import Reply

__all__ = ["NO_VERSIONS", "Continuations", "Target", "resume_window_s"]

# A stream lasts as long as its route's timeout, or this long under an earlier
# configuration, and its client takes this long to continue it.
MIN_TIMEOUT_S = 10.0
RESUME_DELAY_S = 10.0
# Clients return at any instance, of which others may know the origin.
UNKNOWN_RETRY_S = 0.1
GONE_RETRY_S = 1.0

Versions = frozenset[SoftwareVersion] | None
# Of a stream that cannot be continued, since it is not known what began it.
NO_VERSIONS: frozenset[SoftwareVersion] = frozenset()


def resume_window_s(route: RequestRoute) -> float:
    """Return how long after a stream began it may be continued, in seconds."""
    return max(MIN_TIMEOUT_S, route.timeout_s) + RESUME_DELAY_S


def is_continuation(request: RoutedRequest) -> bool:
    """Return whether a request continues a stream of an earlier one."""
    return bool(request.resumes or request.resume_after)


@dataclass(frozen=True, slots=True)
class Target:
    """Where a request may go: to these versions (None: any) of the resolved pool.

    `origin` is what began the stream that it continues, if it does.
    """

    resolution: Resolution
    versions: Versions
    origin: StreamOrigin | None = None


class Continuations:
    """Finds and records what began the streams.

    Parameters
    ----------
    table
        Routes, teams and pools in force.
    pools
        Upstreams, and their software versions.
    origins
        The origins that this instance knows.
    clock
        Source of time.
    metrics
        Metrics of this instance.

    Attributes
    ----------
    ask : callable
        Returns an origin as the peers know it, given its key, the only pool that can
        have begun the stream or '', and how long ago that was in seconds.
    publish : callable
        Sends records to the peers that keep them.
    """

    def __init__(
        self,
        table: RoutingTable,
        pools: PoolTable,
        origins: StreamOriginTable,
        clock: Clock,
        metrics: RouterMetrics,
    ) -> None:
        self.table = table
        self.pools = pools
        self.origins = origins
        self.clock = clock
        self.metrics = metrics
        self.ask: Callable[
            [StreamKey, PoolId, float], Awaitable[StreamOrigin | None]
        ] = _ask_nobody
        self.publish: Callable[[Iterable[OriginRecord]], Awaitable[None]] = (
            _publish_nowhere
        )

    # Requests

    async def find_target(
        self, request: RoutedRequest, resolution: Resolution
    ) -> Target:
        """Return where a request may go.

        Raises
        ------
        Refusal
            STREAM_VERSION_UNKNOWN if it continues a stream and it is not known what
            began it, STREAM_VERSION_GONE if its route no longer leads there.
        """
        route = resolution.route
        if route.response_mode is not ResponseMode.EVENT_STREAM:
            return Target(resolution, None)
        if not is_continuation(request):
            return Target(resolution, self._startable(resolution))
        origin = await self._find_origin(request, resolution)
        if origin.pool != resolution.pool.id:
            resolution = self._move(request, resolution, origin)
        return Target(resolution, frozenset({origin.version}), origin)

    def _startable(self, resolution: Resolution) -> Versions:
        """Return the versions at which a stream may begin."""
        if not resolution.route.resumable:
            return None
        pool = resolution.pool.id
        return self.pools.versions.startable(pool, self.pools.members(pool))

    async def _find_origin(
        self, request: RoutedRequest, resolution: Resolution
    ) -> StreamOrigin:
        asked_at = self.clock.now()
        route, team = resolution.route, resolution.team
        key = stream_key(team, route.id, request.resumes or request.id)
        pool, window_s = _only_pool(route), resume_window_s(route)
        origin, source = _given_origin(request), "peer_request"
        if origin is None:
            origin, source = self.origins.find(key, asked_at), "record"
        if origin is None:
            origin, source = self._infer(pool, window_s), "sole_version"
        if origin is None and (request.resumes or request.relay_origin is not None):
            origin, source = await self.ask(key, pool, window_s), "peers"
        if origin is None:
            origin, source = self._infer_mature(pool, window_s), "sole_mature_version"
        self._report(request, resolution, key, origin, source, asked_at)
        if origin is None:
            raise Refusal(
                ResultCode.STREAM_VERSION_UNKNOWN, retry_after_s=UNKNOWN_RETRY_S
            )
        return origin

    def find(
        self, key: StreamKey, pool: PoolId, window_s: float
    ) -> StreamOrigin | None:
        """Return the origin of a stream for a peer, None if it is not known here.

        Parameters
        ----------
        key
            Key of the stream.
        pool
            The only pool that can have begun it, or '' if there are several.
        window_s
            How long ago it can have begun, in seconds.
        """
        known = self.origins.find(key, self.clock.now())
        return known or self._infer(pool, window_s)

    def _infer(self, pool: PoolId, window_s: float) -> StreamOrigin | None:
        version = self.pools.versions.sole_version(pool, window_s)
        return StreamOrigin(pool, version) if version is not None else None

    def _infer_mature(self, pool: PoolId, window_s: float) -> StreamOrigin | None:
        version = self.pools.versions.sole_mature_version(pool, window_s)
        return StreamOrigin(pool, version) if version is not None else None

    def _move(
        self, request: RoutedRequest, resolution: Resolution, origin: StreamOrigin
    ) -> Resolution:
        """Return the resolution to the pool that began a stream."""
        shares = resolution.route.shares
        pool = self.table.pools.get(origin.pool)
        if pool is None or all(
            share.pool != pool.id or share.weight <= 0 for share in shares
        ):
            raise Refusal(
                ResultCode.STREAM_VERSION_GONE,
                f"pool {origin.pool}",
                retry_after_s=GONE_RETRY_S,
            )
        return replace(resolution, pool=pool)

    def _report(
        self,
        request: RoutedRequest,
        resolution: Resolution,
        key: StreamKey,
        origin: StreamOrigin | None,
        source: str,
        asked_at: float,
    ) -> None:
        """Log and count how the origin of a stream was found."""
        source = source if origin is not None else "unknown"
        versions, now = self.pools.versions, self.clock.now()
        self.metrics.stream_origins.inc({"source": source})
        log_event(
            "stream_origin_found" if origin is not None else "stream_origin_unknown",
            "INFO" if origin is not None else "WARNING",
            request=request.id,
            resumes=request.resumes,
            resumes_after=request.resume_after,
            stream=format_key(key),
            route=resolution.route.id,
            source=source,
            pool=origin.pool if origin is not None else resolution.pool.id,
            version=origin.version if origin is not None else "",
            asked_ms=round((now - asked_at) * 1000),
            known_versions=len(versions.spans.get(resolution.pool.id, ())),
            **versions.describe(),
        )

    # Responses

    async def record_begun(self, job: Job, reply: Reply) -> None:
        """Record the version that sends the first event of a response.

        The record is published before the client has the event, if another instance may
        need it.
        """
        resolution, request = job.resolution, job.request
        job.origin = origin = self._sender(job, reply)
        if origin is None:
            job.traits = replace(job.traits, versions=NO_VERSIONS)
            return
        job.traits = replace(job.traits, versions=frozenset({origin.version}))
        if request.relay_origin is not None:
            job.delivery.answer.add_version(origin.version)
        if not resolution.route.resumable:
            return
        key = stream_key(
            resolution.team, resolution.route.id, request.resumes or request.id
        )
        expires_at = self.clock.now() + resume_window_s(resolution.route)
        self.origins.add(key, origin, expires_at, needs_publishing=True)
        if self.is_ambiguous(resolution):
            await self.publish([self.origins.records[key]])

    def _sender(self, job: Job, reply: Reply) -> StreamOrigin | None:
        """Return what sends the first event of a response.

        A peer of an earlier build does not say it.
        """
        pool, route = job.resolution.pool.id, job.resolution.route
        version = reply.version
        if version is None:
            version = job.last_choice.view.entry.version
        if version is None:
            return self._infer(pool, resume_window_s(route))
        return StreamOrigin(pool, version)

    def is_bound(self, job: Job) -> bool:
        """Return whether builds that know no versions may not get a request."""
        is_resumable = job.resolution.route.resumable
        return job.origin is not None or (
            is_resumable and self.is_ambiguous(job.resolution)
        )

    def is_ambiguous(self, resolution: Resolution) -> bool:
        """Return whether some instance cannot infer what begins a stream now."""
        window_s = resume_window_s(resolution.route)
        return self.pools.versions.is_ambiguous(resolution.pool.id, window_s)

    async def publish_unpublished(self) -> None:
        """Send the records that have been kept here while there was one version."""
        versions = self.pools.versions
        windows_s = [
            resume_window_s(route) for route in self.table.routes if route.resumable
        ]
        window_s = max(windows_s, default=0.0)
        pools = {
            pool for pool in versions.spans if versions.is_ambiguous(pool, window_s)
        }
        if pools:
            records = self.origins.unpublished()
            await self.publish([each for each in records if each.origin.pool in pools])


def _given_origin(request: RoutedRequest) -> StreamOrigin | None:
    """Return the origin that a peer states for a request that it forwards."""
    return request.relay_origin.stream if request.relay_origin is not None else None


def _only_pool(route: RequestRoute) -> PoolId:
    """Return the only pool of a route, or '' if it has several."""
    return route.shares[0].pool if len(route.shares) == 1 else PoolId("")


async def _ask_nobody(
    key: StreamKey, pool: PoolId, window_s: float
) -> StreamOrigin | None:
    return None


async def _publish_nowhere(records: Iterable[OriginRecord]) -> None:
    pass
