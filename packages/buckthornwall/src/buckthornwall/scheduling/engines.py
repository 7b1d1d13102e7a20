"""The scheduler's state of one engine, with an adaptive concurrency limit."""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from buckthornwall.utils import ClassId, GrantId, NodeId, TeamId, UpstreamId

__all__ = ["EngineState", "Slot", "reported_capacity", "share_capacity"]

INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
INTER_TOKEN_EMA_WEIGHT = 0.3  # weight of a new sample
DECREASE_FACTOR = 0.85
INCREASE_SLOTS = 0.5
ADJUST_INTERVAL_S = 0.5
INCREASE_BELOW = 0.8  # fraction of the target below which the limit may grow
MAX_PREFIXES = 256


@dataclass(slots=True)
class Slot:
    """One slot in use by a granted request.

    Attributes
    ----------
    charged_tokens
        Tokens charged to the class and team so far.
    tokens
        Tokens generated, as last reported.
    progress_at
        Time of the last report that showed progress, in seconds; 0 before the first.
    confirmed
        Whether a slot report of the instance has listed the slot.
    """

    grant: GrantId
    node: NodeId
    service_class: ClassId
    team: TeamId
    urgent: bool
    granted_at: float
    charged_tokens: float = 0.0
    tokens: int = 0
    progress_at: float = 0.0
    request: int = 0
    confirmed: bool = False
    preemptible: bool = False
    preempting: bool = False


@dataclass
class EngineState:
    """One engine of a pool.

    `limit` is the number of slots to use. It follows additive increase while the
    inter-token time is well below the target and multiplicative decrease when it
    exceeds the target, as in congestion control [1]_.

    References
    ----------
    .. [1] Chiu, D.-M. and Jain, R., "Analysis of the Increase and Decrease
       Algorithms for Congestion Avoidance in Computer Networks", Computer
       Networks and ISDN Systems 17, 1989.
    """

    id: UpstreamId
    slots: int
    limit: float
    running: dict[GrantId, Slot] = field(default_factory=dict)
    inter_token_s: float = 0.0
    down_until: float = 0.0
    backoff_s: float = INITIAL_BACKOFF_S
    adjusted_at: float = 0.0
    reported_in_use: int = 0
    granted_since_report: int = 0
    prefixes: OrderedDict[int, None] = field(default_factory=OrderedDict)

    def record_failure(self, now: float) -> None:
        """Exclude the engine for a backoff that doubles with each failure."""
        self.down_until = now + self.backoff_s
        self.backoff_s = min(MAX_BACKOFF_S, 2 * self.backoff_s)

    def record_success(self) -> None:
        """Reset the backoff."""
        self.backoff_s = INITIAL_BACKOFF_S

    def observe_inter_token(self, seconds: float, target_s: float, now: float) -> None:
        """Record an inter-token time; adjust the limit every `ADJUST_INTERVAL_S`."""
        if not self.inter_token_s:
            self.inter_token_s = seconds
        self.inter_token_s += INTER_TOKEN_EMA_WEIGHT * (seconds - self.inter_token_s)
        if now - self.adjusted_at < ADJUST_INTERVAL_S:
            return
        if self.inter_token_s > target_s:
            self.limit = max(1.0, self.limit * DECREASE_FACTOR)
            self.adjusted_at = now
        elif self.inter_token_s < INCREASE_BELOW * target_s and self.limit < self.slots:
            self.limit = min(float(self.slots), self.limit + INCREASE_SLOTS)
            self.adjusted_at = now

    def remember_prefix(self, prefix: int) -> None:
        """Record that the engine's cache holds this prefix."""
        self.prefixes[prefix] = None
        self.prefixes.move_to_end(prefix)
        if len(self.prefixes) > MAX_PREFIXES:
            self.prefixes.popitem(last=False)

    def receive_load_report(self, in_use: int) -> None:
        """Record the engine's own count of its requests, which lags."""
        self.reported_in_use = in_use
        self.granted_since_report = 0


def share_capacity(engine: EngineState, fraction: float) -> int:
    """Return the engine's limit times the local fraction of the pool, at least 1."""
    return max(1, math.floor(engine.limit * fraction + 1e-9))


def reported_capacity(engine: EngineState, fraction: float) -> int:
    """Return the slots not used by other instances, from the engine's lagging report.

    It is for an instance that schedules by itself. The other instances' use is the
    reported count minus the local requests at that time; `fraction` is ignored, as
    in a plain least-loaded balancer.
    """
    ours_at_report = len(engine.running) - engine.granted_since_report
    others = max(0, engine.reported_in_use - max(0, ours_at_report))
    return max(0, engine.slots - others)
