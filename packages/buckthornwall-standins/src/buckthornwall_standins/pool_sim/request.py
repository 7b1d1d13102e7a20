"""What callers send to a simulated pool, and what became of it."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from buckthornwall.routing import (
    PoolId,
    PoolShare,
    PromptShape,
    RequestRoute,
    ResponseMode,
)
from buckthornwall.utils import RouteId, TeamId

__all__ = ["POOL", "SimRequest", "Traffic"]

POOL = PoolId("drafts")
# Credit of a late answer.
LATE_CREDIT = 0.3
# Largest share of the time left that a caller waits before it retries.
RETRY_SHARE = 1 / 3


@dataclass(frozen=True, slots=True)
class Traffic:
    """Requests of one route: rate, lengths, and what their callers expect.

    Prompts share a segment of `shared_tokens` with the others of their subject, and
    before it one of `root_tokens` with all. A caller leaves if it has received no event
    for `client_timeout_s`.

    Attributes
    ----------
    retries : int
        How often a caller retries after a refusal.
    bursts : tuple
        Start and end, in seconds, and the factor of the rate between them.
    length_log_sigma : float
        Standard deviation of the logarithm of lengths; at 0 lengths are uniform about
        the mean.
    team_weights : tuple
        Demand of each team relative to the others; without any, requests have no team.
    surges : tuple
        Start and end, in seconds, and the factor of the first team's demand between
        them.
    """

    name: str
    per_s: float
    tier: int
    target_s: float
    max_pause_s: float
    shared_tokens: int
    unique_tokens: int
    answer_tokens: int
    subjects: int
    deadline_s: float = 10.0
    root_tokens: int = 0
    retries: int = 0
    bursts: tuple[tuple[float, float, float], ...] = ()
    length_log_sigma: float = 0.0
    client_timeout_s: float = math.inf
    team_weights: tuple[float, ...] = ()
    surges: tuple[tuple[float, float, float], ...] = ()

    def scaled(self, rate: float, subjects: float) -> "Traffic":
        """Return this traffic with the rate and the number of subjects multiplied."""
        return replace(
            self,
            per_s=self.per_s * rate,
            subjects=max(1, int(self.subjects * subjects)),
        )

    def route(self) -> RequestRoute:
        """Return the route's configuration."""
        return RequestRoute(
            id=RouteId(self.name),
            host="h",
            path_prefix=f"/{self.name}/",
            shares=(PoolShare(POOL, 1.0),),
            response_mode=ResponseMode.EVENT_STREAM,
            retryable=False,
            resumable=False,
            timeout_s=self.deadline_s,
            target_s=self.target_s,
            max_pause_s=self.max_pause_s,
            max_runs=1,
            tier=self.tier,
            needs_key=False,
        )

    def rate(self, at: float) -> float:
        """Return the requests a second at a moment."""
        rate = self.per_s
        for start, end, factor in self.bursts:
            if start <= at < end:
                rate *= factor
        if not self.team_weights:
            return rate
        return rate * sum(self._weights(at)) / sum(self.team_weights)

    def sample_team(self, rng: random.Random, at: float) -> TeamId:
        """Return the team of a request that comes at a moment."""
        if not self.team_weights:
            return TeamId("")
        weights = self._weights(at)
        return TeamId(f"team{rng.choices(range(len(weights)), weights)[0]}")

    def _weights(self, at: float) -> list[float]:
        """Return the demand of each team at a moment."""
        first, *others = self.team_weights
        for start, end, factor in self.surges:
            if start <= at < end:
                first *= factor
        return [first, *others]


@dataclass(eq=False)
class SimRequest:
    """A request and its outcome; times are in seconds.

    `refused_at` holds the times of its refusals.
    """

    traffic: Traffic
    first_asked_at: float
    prompt: PromptShape
    answer_tokens: int
    last_asked_at: float = 0.0
    pending_prefill_tokens: int = 0
    generated_tokens: int = 0
    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_pause_s: float = 0.0
    done: bool = False
    failed: bool = False
    refused: bool = False
    refused_at: list[float] = field(default_factory=list)
    team: TeamId = TeamId("")
    on_event: Callable[[float, bool], None] = field(default=lambda now, done: None)

    @property
    def refusals(self) -> int:
        """Number of refusals."""
        return len(self.refused_at)

    @property
    def deadline(self) -> float:
        """When the caller gives up."""
        deadline = self.first_asked_at + self.traffic.deadline_s
        if self.first_event_at is not None:
            return deadline
        return min(deadline, self.last_asked_at + self.traffic.client_timeout_s)

    @property
    def in_time(self) -> bool:
        """Whether it was never refused and answered within target and pause limit."""
        return self.refusals == 0 and self._is_timely

    @property
    def _is_timely(self) -> bool:
        return (
            self.done
            and self.first_event_at - self.last_asked_at <= self.traffic.target_s
            and self.longest_pause_s <= self.traffic.max_pause_s
        )

    @property
    def credit(self) -> float:
        """Value of the outcome to the caller, from 0 to 1."""
        if not self.done:
            return 0.0
        if not self._is_timely:
            return LATE_CREDIT
        return 1.0 if self.refusals == 0 else (1 + LATE_CREDIT) / 2

    @property
    def credit_from_first(self) -> float:
        """Value of the outcome, with the target counted from the first attempt."""
        if not self.done:
            return 0.0
        is_timely = (
            self.first_event_at - self.first_asked_at <= self.traffic.target_s
            and self.longest_pause_s <= self.traffic.max_pause_s
        )
        return 1.0 if is_timely else LATE_CREDIT

    def retry_delay_s(self, retry_after_s: float, now: float) -> float | None:
        """Return the seconds until the caller retries, or None if it gives up."""
        if self.refusals > self.traffic.retries:
            return None
        return min(retry_after_s, (self.deadline - now) * RETRY_SHARE)
