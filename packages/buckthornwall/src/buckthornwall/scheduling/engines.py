"""What a scheduler knows of one engine, and the limit it has learned."""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from buckthornwall.utils import ClassId, GrantId, NodeId, TeamId, UpstreamId

__all__ = ["EngineState", "Slot", "share_capacity", "reported_capacity"]

INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
INTER_TOKEN_EMA_WEIGHT = 0.3  # weight of a new sample in the moving average
DECREASE_FACTOR = 0.85
INCREASE_SLOTS = 0.5
ADJUST_INTERVAL_S = 0.5
INCREASE_BELOW = 0.8  # below this part of the target the limit may grow
MAX_PREFIXES = 256


@dataclass(slots=True)
class Slot:
    """One grant that is in use."""

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

    `limit` is the learned number of slots to use: additive increase while the
    inter-token time leaves room below the target, multiplicative decrease when
    it is past the target, as in congestion control [1]_.

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
        """Keep the engine out for a while, longer after each failure."""
        self.down_until = now + self.backoff_s
        self.backoff_s = min(MAX_BACKOFF_S, 2 * self.backoff_s)

    def record_success(self) -> None:
        """Forget earlier failures."""
        self.backoff_s = INITIAL_BACKOFF_S

    def observe_inter_token(self, seconds: float, target_s: float, now: float) -> None:
        """Take a measured inter-token time; adjust the limit now and then."""
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
        """Note that the engine has just read a prompt with this prefix."""
        self.prefixes[prefix] = None
        self.prefixes.move_to_end(prefix)
        if len(self.prefixes) > MAX_PREFIXES:
            self.prefixes.popitem(last=False)

    def receive_load_report(self, in_use: int) -> None:
        """Take the engine's own, lagging count of requests in it."""
        self.reported_in_use = in_use
        self.granted_since_report = 0


def share_capacity(engine: EngineState, fraction: float) -> int:
    """Capacity by exact count: the learned limit times our part of the pool."""
    return max(1, math.floor(engine.limit * fraction + 1e-9))


def reported_capacity(engine: EngineState, fraction: float) -> int:
    """Capacity by the engine's lagging report, for a node that decides by itself.

    What others use is what the engine reported less what we ran then; the
    pool's fraction plays no part, as in a plain least-loaded balancer.
    """
    ours_at_report = len(engine.running) - engine.granted_since_report
    others = max(0, engine.reported_in_use - max(0, ours_at_report))
    return max(0, engine.slots - others)
