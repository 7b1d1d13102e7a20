"""Software versions of the upstreams of each pool, now and recently.

Upstreams of several versions may serve side by side, and a stream is continued only at
the version that began it. Without a record of it, an instance infers that version if
only one can have begun the stream. For that proof

- its knowledge of the registrations must be recent and without gaps, and
- a version that is new to a pool begins no streams that may be continued until
  `MATURITY_S` after an instance has learned of it. An instance that knows all
  registrations as of `MAX_KNOWLEDGE_AGE_S` ago then knows all versions that can have
  begun a stream.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from buckthornwall.routing import PoolId
from buckthornwall.utils import Clock, Count, SoftwareVersion

from .entry import UpstreamEntry
from .view import UpstreamView

__all__ = ["MATURITY_S", "MAX_KNOWLEDGE_AGE_S", "SoftwareVersions", "VersionHistory"]

MAX_KNOWLEDGE_AGE_S = 3.0
# Exceeds the age, since clocks of two machines differ in rate.
MATURITY_S = 3.5
# A version that returns after a longer absence counts as new.
MAX_ABSENCE_S = 15.0
RETENTION_S = 600.0
MS_PER_S = 1000.0
# Stands for times that are not known, in milliseconds.
MAX_AGE_MS = 1_000_000_000


class VersionAges(msgspec.Struct, array_like=True, frozen=True):
    """Ages of the times in `VersionSpan`, in milliseconds."""

    appeared_ms: Count
    absent_ms: Count
    seen_ms: Count


class VersionHistory(msgspec.Struct, array_like=True, frozen=True):
    """Versions that an instance knows, and for how long it has known all of them.

    Times are ages in milliseconds.
    """

    complete_ms: Count
    spans: dict[PoolId, dict[SoftwareVersion, VersionAges]]


@dataclass(slots=True)
class VersionSpan:
    """When a version was registered in a pool; times in seconds.

    Attributes
    ----------
    appeared_at
        When the first of the instances learned of it; -inf if that is not known.
    absent_at
        Until when it is known not to have been registered.
    seen_at
        When it was last registered.
    upstreams
        Number of its upstreams that are registered.
    """

    appeared_at: float
    absent_at: float
    seen_at: float
    upstreams: int = 0


class SoftwareVersions:
    """The versions of all pools.

    Parameters
    ----------
    clock
        Source of time.

    Attributes
    ----------
    complete_since : float
        Since when this instance knows all versions that were registered.
    known_at : float
        Until when it does.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.complete_since = math.inf
        self.known_at = -math.inf
        self.spans: dict[PoolId, dict[SoftwareVersion, VersionSpan]] = {}

    # Registrations

    def replace(
        self, before: UpstreamEntry | None, after: UpstreamEntry | None
    ) -> None:
        """Record that a registration was added, replaced or removed."""
        if before is not None and after is not None and _is_same(before, after):
            return
        now = self.clock.now()
        if before is not None:
            span = self._span(before, now)
            span.upstreams -= 1
            span.seen_at = now
        if after is not None:
            self._span(after, now).upstreams += 1
        self._expire(now)

    def _span(self, entry: UpstreamEntry, now: float) -> VersionSpan:
        versions = self.spans.setdefault(entry.pool, {})
        span = versions.get(entry.version)
        if span is None or (not span.upstreams and now - span.seen_at > MAX_ABSENCE_S):
            has_history = not math.isinf(self.complete_since)
            appeared_at = now if has_history else -math.inf
            span = VersionSpan(appeared_at, self.known_at, now)
            versions[entry.version] = span
        return span

    def _expire(self, now: float) -> None:
        for pool, versions in list(self.spans.items()):
            for version, span in list(versions.items()):
                if not span.upstreams and now - span.seen_at > RETENTION_S:
                    del versions[version]
            if not versions:
                del self.spans[pool]

    def begin_history(self) -> None:
        """Record that all registrations were read, but not what was before."""
        self.complete_since = self.clock.now()

    def record_known(self, at: float) -> None:
        """Record that all registrations as of a time are known."""
        self.known_at = max(self.known_at, at)

    # Exchange between instances

    def history(self) -> VersionHistory:
        """Return what this instance knows, for a peer."""
        now = self.clock.now()
        return VersionHistory(
            _age_ms(self.complete_since, now),
            {
                pool: {
                    version: VersionAges(
                        _age_ms(span.appeared_at, now),
                        _age_ms(span.absent_at, now),
                        0 if span.upstreams else _age_ms(span.seen_at, now),
                    )
                    for version, span in versions.items()
                }
                for pool, versions in self.spans.items()
            },
        )

    def merge(self, history: VersionHistory | None) -> None:
        """Adopt what a peer knows, before the registrations in its view.

        None stands for a peer that knows no history.
        """
        now = self.clock.now()
        since = now
        if history is not None:
            since = _time(history.complete_ms, now)
            for pool, versions in history.spans.items():
                for version, ages in versions.items():
                    self._merge_span(pool, version, ages, now)
        if since <= self.known_at:
            self.complete_since = min(self.complete_since, since)
        else:
            self.complete_since = since

    def _merge_span(
        self, pool: PoolId, version: SoftwareVersion, ages: VersionAges, now: float
    ) -> None:
        received = VersionSpan(
            _time(ages.appeared_ms, now),
            _time(ages.absent_ms, now),
            _time(ages.seen_ms, now),
        )
        span = self.spans.setdefault(pool, {}).setdefault(version, received)
        span.appeared_at = min(span.appeared_at, received.appeared_at)
        span.absent_at = max(span.absent_at, received.absent_at)
        span.seen_at = max(span.seen_at, received.seen_at)

    def describe(self) -> dict[str, object]:
        """Return the log fields on the age and extent of this knowledge."""
        now = self.clock.now()
        return {
            "known_age_ms": _age_ms(self.known_at, now),
            "complete_for_ms": _age_ms(self.complete_since, now),
        }

    # Decisions

    def is_complete(self, window_s: float) -> bool:
        """Return whether all versions are known that served in a recent window."""
        now = self.clock.now()
        is_recent = now - self.known_at <= MAX_KNOWLEDGE_AGE_S
        return is_recent and self.complete_since <= now - window_s

    def recent(
        self, pool: PoolId, window_s: float
    ) -> dict[SoftwareVersion, VersionSpan]:
        """Return the versions known to have served in a recent window."""
        since = self.clock.now() - window_s
        return {
            version: span
            for version, span in self.spans.get(pool, {}).items()
            if span.upstreams or span.seen_at >= since
        }

    def sole_version(self, pool: PoolId, window_s: float) -> SoftwareVersion | None:
        """Return the only version that served in a recent window, None if unproven."""
        recent = self.recent(pool, window_s)
        if len(recent) != 1 or not self.is_complete(window_s):
            return None
        return next(iter(recent))

    def sole_mature_version(
        self, pool: PoolId, window_s: float
    ) -> SoftwareVersion | None:
        """Return the only version that can have begun a stream, None if unproven.

        Others may be registered that no instance has used for such streams yet.
        """
        now = self.clock.now()
        mature = [
            version
            for version, span in self.recent(pool, window_s).items()
            if now - span.absent_at >= MATURITY_S
        ]
        if len(mature) != 1 or not self.is_complete(window_s):
            return None
        return mature[0]

    def is_ambiguous(self, pool: PoolId, window_s: float) -> bool:
        """Return whether some instance may need a record of which version began."""
        return self.sole_version(pool, window_s) is None

    def startable(
        self, pool: PoolId, views: Iterable[UpstreamView]
    ) -> frozenset[SoftwareVersion] | None:
        """Return the versions at which a stream may begin that may be continued.

        Parameters
        ----------
        pool
            The pool.
        views
            Its upstreams.

        Returns
        -------
        frozenset or None
            None for all of them. New ones are excluded while others accept requests.
        """
        now = self.clock.now()
        new = {
            version
            for version, span in self.spans.get(pool, {}).items()
            if span.upstreams and now - span.appeared_at < MATURITY_S
        }
        if not new:
            return None
        ready = {view.entry.version for view in views if not view.is_leaving}
        return frozenset(ready - new) or None


def _is_same(before: UpstreamEntry, after: UpstreamEntry) -> bool:
    return (before.pool, before.version) == (after.pool, after.version)


def _age_ms(at: float, now: float) -> int:
    return int(min(MAX_AGE_MS, max(0.0, (now - at) * MS_PER_S)))


def _time(age_ms: int, now: float) -> float:
    return -math.inf if age_ms >= MAX_AGE_MS else now - age_ms / MS_PER_S
