"""What callers send to a simulated pool, and what became of it."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from buckthornwall.routing import (
    PoolId,
    PoolShare,
    PromptShape,
    RequestRoute,
    ResponseMode,
)
from buckthornwall.utils import RouteId

__all__ = ["POOL", "SimRequest", "Traffic"]

POOL = PoolId("drafts")
# What an answer counts for that comes late, and the part of its time left that a caller
# waits at most before it asks again.
LATE_CREDIT = 0.3
RETRY_SHARE = 1 / 3


@dataclass(frozen=True, slots=True)
class Traffic:
    """Requests of one route: how many, how long, and what their callers expect.

    `bursts` are times from, until, and how many times as many come then; `retries` is
    how often a caller comes back after a refusal. Prompts share a part with the others
    of their subject, and `root_tokens` before it with all. `length_log_sigma` is the
    standard deviation of the logarithm of their lengths; at 0 lengths are spread
    evenly about the mean. A caller leaves that has had no event for
    `client_timeout_s`.
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

    def scaled(self, rate: float, subjects: float) -> "Traffic":
        """Return so many times the requests, about so many times the subjects."""
        return replace(
            self,
            per_s=self.per_s * rate,
            subjects=max(1, int(self.subjects * subjects)),
        )

    def route(self) -> RequestRoute:
        """Return the contract."""
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
        """Return how many come in a second at a time."""
        rate = self.per_s
        for start, end, factor in self.bursts:
            if start <= at < end:
                rate *= factor
        return rate


@dataclass(eq=False)
class SimRequest:
    """One request and what became of it; times are in seconds.

    `refused_at` holds when it was refused.
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
    on_event: Callable[[float, bool], None] = field(default=lambda now, done: None)

    @property
    def refusals(self) -> int:
        """How often it was refused."""
        return len(self.refused_at)

    @property
    def deadline(self) -> float:
        """When its caller gives up."""
        deadline = self.first_asked_at + self.traffic.deadline_s
        if self.first_event_at is not None:
            return deadline
        return min(deadline, self.last_asked_at + self.traffic.client_timeout_s)

    @property
    def in_time(self) -> bool:
        """Whether it was answered within its target and its pauses."""
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
        """What its caller got, from 0 to 1."""
        if not self.done:
            return 0.0
        if not self._is_timely:
            return LATE_CREDIT
        return 1.0 if self.refusals == 0 else (1 + LATE_CREDIT) / 2

    @property
    def credit_from_first(self) -> float:
        """What its caller got, where time counts from when it first asked."""
        if not self.done:
            return 0.0
        is_timely = (
            self.first_event_at - self.first_asked_at <= self.traffic.target_s
            and self.longest_pause_s <= self.traffic.max_pause_s
        )
        return 1.0 if is_timely else LATE_CREDIT

    def retry_delay_s(self, retry_after_s: float, now: float) -> float | None:
        """Return after how long its caller asks again, or None if it does not."""
        if self.refusals > self.traffic.retries:
            return None
        return min(retry_after_s, (self.deadline - now) * RETRY_SHARE)
