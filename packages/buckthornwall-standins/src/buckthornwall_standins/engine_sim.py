"""Model engines in simulated time, and the requests that they answer.

An engine generates one token of each running stream in a step and reads one piece of
the most urgent waiting prompt beside it; parts that it has read stay.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from buckthornwall.routing import (
    AnswerForm,
    PoolId,
    PoolShare,
    PromptShape,
    RequestRoute,
)
from buckthornwall.utils import RouteId, UpstreamId

__all__ = ["POOL", "EngineSpeed", "SimEngine", "SimRequest", "Traffic"]

POOL = PoolId("drafts")


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """How quickly an engine works; `context_s` is added for a million token pairs."""

    step_s: float = 0.004
    tokens_per_s: float = 60_000.0
    piece: int = 2048
    context_s: float = 0.0004
    slots: int = 64
    memory_tokens: int = 500_000
    tokens_per_event: int = 4

    def times(self, speed: float) -> "EngineSpeed":
        """Return an engine that does everything so many times as fast."""
        return EngineSpeed(
            self.step_s / speed,
            self.tokens_per_s * speed,
            self.piece,
            self.context_s / speed,
            self.slots,
            self.memory_tokens,
            self.tokens_per_event,
        )


@dataclass(frozen=True, slots=True)
class Traffic:
    """Requests of one route: how many, how long, and what their callers expect."""

    name: str
    per_s: float
    tier: int
    target_s: float
    max_pause_s: float
    shared_tokens: int
    own_tokens: int
    answer_tokens: int
    subjects: int

    def route(self) -> RequestRoute:
        """Return the contract."""
        return RequestRoute(
            id=RouteId(self.name),
            host="h",
            path_prefix=f"/{self.name}/",
            shares=(PoolShare(POOL, 1.0),),
            form=AnswerForm.EVENTS,
            repeatable=False,
            resumable=False,
            timeout_s=10.0,
            target_s=self.target_s,
            max_pause_s=self.max_pause_s,
            max_runs=1,
            tier=self.tier,
            needs_key=False,
        )


@dataclass(eq=False)
class SimRequest:
    """One request and what became of it; times are in seconds."""

    traffic: Traffic
    at: float
    prompt: PromptShape
    answer_tokens: int
    unread: int = 0
    made: int = 0
    first_at: float | None = None
    last_at: float = 0.0
    longest_pause_s: float = 0.0
    done: bool = False
    refused: bool = False
    on_event: Callable[[float, bool], None] = lambda now, done: None

    @property
    def in_time(self) -> bool:
        """Whether it was answered within its target and its pauses."""
        return (
            self.done
            and self.first_at - self.at <= self.traffic.target_s
            and self.longest_pause_s <= self.traffic.max_pause_s
        )


@dataclass(eq=False)
class SimEngine:
    """One engine: what it holds, what runs and what waits to be read."""

    id: UpstreamId
    speed: EngineSpeed
    held: set[str] = field(default_factory=set)
    running: list[SimRequest] = field(default_factory=list)
    waiting: list[tuple[int, int, SimRequest]] = field(default_factory=list)
    is_awake: bool = False

    def submit(self, request: SimRequest, rank: int, number: int) -> None:
        """Take a prompt; what is held of it need not be read."""
        request.unread = request.prompt.prompt_tokens - self._held_of(request)
        heapq.heappush(self.waiting, (rank, number, request))

    def step(self, now: float) -> float:
        """Work for one step; return how long it takes, in seconds."""
        duration = self.speed.step_s
        if self.waiting:
            duration += self._read(self.waiting[0][2])
        end = now + duration
        for request in list(self.running):
            self._make_token(request, end)
        if self.waiting and self.waiting[0][2].unread <= 0:
            request = heapq.heappop(self.waiting)[2]
            self.held |= {part.id for part in request.prompt.parts}
            self.running.append(request)
        return duration

    def _held_of(self, request: SimRequest) -> int:
        tokens = 0
        for part in request.prompt.parts:
            if part.id not in self.held:
                break
            tokens += part.tokens
        return tokens

    def _read(self, request: SimRequest) -> float:
        held = self._held_of(request)  # read for another one meanwhile, perhaps
        request.unread = min(request.unread, request.prompt.prompt_tokens - held)
        tokens = max(0, min(request.unread, self.speed.piece))
        before = request.prompt.prompt_tokens - request.unread
        request.unread -= tokens
        pairs_s = self.speed.context_s * tokens * before / 1e6
        return tokens / self.speed.tokens_per_s + pairs_s

    def _make_token(self, request: SimRequest, now: float) -> None:
        request.made += 1
        request.done = request.made >= request.answer_tokens
        if request.done:
            self.running.remove(request)
        if request.done or request.made % self.speed.tokens_per_event == 0:
            if request.first_at is None:
                request.first_at = now
            else:
                pause_s = now - request.last_at
                request.longest_pause_s = max(request.longest_pause_s, pause_s)
            request.last_at = now
            request.on_event(now, request.done)
