"""Brittleness of one upstream, and what this instance may still send to it.

A brittle upstream falls if it must reject more than a few requests a second, from all
instances together. Each instance sees only the rejections of its own requests, and
reports of the others' requests are old. So an instance keeps its requests in flight
within its share of the slots (`slot_share`), and exceeds it only where the known
requests of all instances leave clear room.
"""

import math
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

from .load import Load
from .rate_limit import LimitReport

__all__ = ["NOT_BRITTLE", "Brittleness"]

# Value of an upstream that is not brittle: it survives any number of rejections.
NOT_BRITTLE = math.inf
MS_PER_S = 1000.0
# Seconds for which the end is reported to peers.
ENDED_REPORT_S = 10.0
# Seconds without an answer to any instance after which brittleness ends.
MAX_SILENCE_S = 30.0
# Seconds for which a new upstream of a pool with brittle ones is taken for brittle.
ASSUMED_S = 5.0
# Seconds after a rejection without requests beyond the share, and the window in which
# rejections are counted.
REJECTION_WINDOW_S = 1.0
# Seconds before a larger share is used, so that those that had it know of the change.
RISE_S = 1.0
# Seconds after the first sight of an upstream without requests beyond the share: until
# instances have reported what they sent there.
SETTLE_S = 2.0
# Fraction of the slots that must be free for a request beyond the share: per other
# instance, per second of the age of the reports, and at most.
MARGIN_PER_INSTANCE = 0.05
MARGIN_PER_S = 0.25
MAX_MARGIN = 0.75
# Known requests beyond the slots at which even the share is not used.
MAX_EXCESS = 2
# Rejections that are kept; more make no difference.
MAX_REJECTIONS = 64


class Brittleness:
    """Brittleness of one upstream, and this instance's share of its slots.

    Attributes
    ----------
    per_s : float
        Rejections a second that the upstream survives; infinite if not brittle.
    may_restrict : bool
        Whether `may_send` may return False.
    stated_at : float
        When the upstream stated it, in seconds, to any instance.
    slots, share : int
        Slots of the upstream, and those that belong to this instance.
    extra : int
        Requests that this instance may have beyond its share, where there is room.
    is_pool_idle : bool
        Whether most slots of the pool are free; `extra` then is no limit.
    in_flight : int
        Requests of this instance there, including those that are being connected.
    instances : float
        Live instances.
    report_age_s : float
        Age of the reports of the peers.
    """

    def __init__(self) -> None:
        self.per_s = NOT_BRITTLE
        self.may_restrict = False
        self.stated_at = float("-inf")
        self.slots = 0
        self.share = 0
        self.extra = 0
        self.is_pool_idle = False
        self.in_flight = 0
        self.instances = 1.0
        self.report_age_s = 0.0
        self.first_seen_at = float("-inf")
        self._assumed_until = float("-inf")
        self._answered_locally_at = float("-inf")
        self._rejected_at: deque[float] = deque(maxlen=MAX_REJECTIONS)
        self._larger_since: float | None = None
        self._has_share = False

    # State

    def is_in_force(self, now: float) -> bool:
        """Return whether the upstream is to be treated as brittle."""
        if now < self._assumed_until:
            return True
        return self.per_s < NOT_BRITTLE and now - self.stated_at < MAX_SILENCE_S

    def record_answer(self, per_s: float, now: float) -> bool:
        """Record what a local response states; return whether it changed."""
        if per_s != self.per_s or per_s < NOT_BRITTLE:
            self._answered_locally_at = now
        self._assumed_until = float("-inf")
        return self._update(per_s, now)

    def receive(self, report: LimitReport, now: float) -> bool:
        """Record the report of a peer; return whether the state changed."""
        stated_at = now - report.age_ms / MS_PER_S
        if stated_at <= self.stated_at:
            return False
        self._assumed_until = float("-inf")
        per_s = NOT_BRITTLE if report.per_s is None else report.per_s
        return self._update(per_s, stated_at)

    def assume(self, now: float) -> None:
        """Treat a new upstream as brittle until it answers, for a while at most."""
        self._assumed_until = now + ASSUMED_S
        self.may_restrict = True

    def report(self, now: float) -> LimitReport | None:
        """Return the report for peers, if this instance learned of the state itself."""
        is_brittle = self.per_s < NOT_BRITTLE
        duration_s = MAX_SILENCE_S if is_brittle else ENDED_REPORT_S
        if now - self._answered_locally_at >= duration_s:
            return None
        age_ms = math.ceil((now - self.stated_at) * MS_PER_S)
        return LimitReport(self.per_s if is_brittle else None, age_ms)

    def _update(self, per_s: float, stated_at: float) -> bool:
        changed = per_s != self.per_s
        self.per_s, self.stated_at = per_s, stated_at
        self.may_restrict = per_s < NOT_BRITTLE
        return changed

    # Shares

    def set_share(self, share: int, now: float) -> None:
        """Set the share of this instance; an increase takes effect after a delay."""
        if not self._has_share or share <= self.share:
            self.share, self._larger_since = share, None
            self._has_share = True
        elif self._larger_since is None:
            self._larger_since = now
        elif now - self._larger_since >= RISE_S:
            self.share, self._larger_since = share, None

    def forget_share(self) -> None:
        """Discard the share while the upstream is not brittle."""
        self._has_share, self._larger_since = False, None

    # Requests

    def may_send(self, load: Load, now: float) -> bool:
        """Return whether another request may be sent now."""
        if not self.is_in_force(now) or not self.slots:
            return True
        known = load.in_flight(now) + self.in_flight - load.requests
        rejections = self._count_rejections(now)
        if rejections >= self.max_rejections or known >= self.slots + MAX_EXCESS:
            return False
        if self.in_flight < self.share:
            return True
        if rejections or now - self.first_seen_at < SETTLE_S:
            return False
        if not self.is_pool_idle and self.in_flight >= self.share + self.extra:
            return False
        return known < self.slots - self._margin()

    @property
    def max_extra(self) -> int:
        """Requests beyond the shares that all instances together may risk."""
        if self.per_s == NOT_BRITTLE:
            return 0
        return int(min(self.per_s, self.slots))

    @contextmanager
    def count_request(self) -> Iterator[None]:
        """Count a request in flight within the ``with`` statement."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    @property
    def max_rejections(self) -> int:
        """Rejections within the window after which this instance pauses."""
        if self.per_s == NOT_BRITTLE:
            return 1
        return max(1, math.floor(self.per_s / max(1.0, self.instances)))

    def record_rejection(self, now: float) -> None:
        """Record that the upstream rejected a request of this instance."""
        self._rejected_at.append(now)

    def _count_rejections(self, now: float) -> int:
        while self._rejected_at and now - self._rejected_at[0] > REJECTION_WINDOW_S:
            self._rejected_at.popleft()
        return len(self._rejected_at)

    def _margin(self) -> float:
        """Return how many slots must be free for a request beyond the share."""
        others = max(0.0, self.instances - 1)
        fraction = MARGIN_PER_INSTANCE * others + MARGIN_PER_S * self.report_age_s
        return self.slots * min(MAX_MARGIN, fraction)
