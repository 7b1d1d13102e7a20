"""Model engines in simulated time.

In each step an engine generates one token of each running stream and prefills one
chunk of the most urgent prompt. Prefilled segments stay cached until others need the
room.
"""

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field, replace

from buckthornwall.pools import LoadReport, Slowdown
from buckthornwall.utils import UpstreamId, hash_fraction

from .request import SimRequest

__all__ = ["Disturbance", "EngineSpeed", "SimEngine"]


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """Speed and capacity of an engine.

    Attributes
    ----------
    decode_step_s : float
        Duration of a step that only decodes, in seconds.
    prefill_tokens_per_s : float
        Prompt tokens prefilled a second.
    chunk_tokens : int
        Prompt tokens prefilled in one step at most.
    attention_s_per_m_pairs : float
        Seconds added for a million pairs of a prefilled token and a token before it.
    slots : int
        Requests that run at a time.
    memory_tokens : int
        Tokens that the engine's memory holds.
    tokens_per_event : int
        Tokens sent in one event.
    max_queued : int
        Requests that may wait beside those that run.
    step_per_running_s : float
        Seconds added to a step for each running request.
    """

    decode_step_s: float = 0.004
    prefill_tokens_per_s: float = 60_000.0
    chunk_tokens: int = 2048
    attention_s_per_m_pairs: float = 0.0004
    slots: int = 64
    memory_tokens: int = 500_000
    tokens_per_event: int = 4
    max_queued: int = 1000
    step_per_running_s: float = 0.0

    def scaled(self, speed: float) -> "EngineSpeed":
        """Return the speed of an engine that is `speed` times as fast."""
        return replace(
            self,
            decode_step_s=self.decode_step_s / speed,
            prefill_tokens_per_s=self.prefill_tokens_per_s * speed,
            attention_s_per_m_pairs=self.attention_s_per_m_pairs / speed,
            step_per_running_s=self.step_per_running_s / speed,
        )


@dataclass(frozen=True, slots=True)
class Disturbance:
    """Work takes `slowdown` times as long on some machines, others every `every_s`.

    `share` is the share of the time for which each machine is disturbed.
    """

    share: float
    slowdown: float
    every_s: float

    def slowdown_at(self, engine: UpstreamId, now: float) -> float:
        """Return how long work takes at an engine, as a multiple of the usual."""
        period = int(now / self.every_s)
        is_disturbed = hash_fraction(f"{engine}/{period}") < self.share
        return self.slowdown if is_disturbed else 1.0


@dataclass(eq=False)
class SimEngine:
    """One engine with its prefix cache, running requests and waiting ones.

    Attributes
    ----------
    cached : OrderedDict
        Tokens of the cached segments by id, the least recently used first.
    running : list
        Requests whose prompts have been prefilled.
    waiting : list
        A heap of rank, number and request.
    prefilled_tokens : int
        Prompt tokens prefilled so far.
    disturbance : Disturbance or None
        What slows its machine down at times.
    """

    id: UpstreamId
    speed: EngineSpeed
    is_live: bool = True
    is_stepping: bool = False
    cached: OrderedDict[str, int] = field(default_factory=OrderedDict)
    running: list[SimRequest] = field(default_factory=list)
    waiting: list[tuple[int, int, SimRequest]] = field(default_factory=list)
    prefilled_tokens: int = 0
    disturbance: Disturbance | None = None

    def submit(self, request: SimRequest, rank: int, number: int) -> bool:
        """Queue a request; return False if the queue is full."""
        in_use = len(self.running) + len(self.waiting)
        if in_use >= self.speed.slots + self.speed.max_queued:
            return False
        request.pending_prefill_tokens = (
            request.prompt.prompt_tokens - self._cached_tokens(request)
        )
        heapq.heappush(self.waiting, (rank, number, request))
        return True

    def report(self, now: float) -> LoadReport:
        """Return the load report that the engine adds to an answer at `now`."""
        in_use = len(self.running) + len(self.waiting)
        running = min(in_use, self.speed.slots)
        slowdown = None
        if self.disturbance is not None:
            slowdown = Slowdown(self.disturbance.slowdown_at(self.id, now))
        return LoadReport(running, in_use - running, self.speed.slots, slowdown)

    def crash(self, now: float) -> None:
        """Fail all requests and clear the cache."""
        self.is_live = False
        for request in [*self.running, *(each for _, _, each in self.waiting)]:
            self._fail(request, now)
        self.running.clear()
        self.waiting.clear()
        self.cached.clear()

    def step(self, now: float) -> float:
        """Run one step and return its duration in seconds."""
        self._drop_expired(now)
        running = len(self.running)
        duration = self.speed.decode_step_s + running * self.speed.step_per_running_s
        prefilling = self._next_to_prefill()
        if prefilling is not None:
            duration += self._prefill_chunk(prefilling)
        if self.disturbance is not None:
            duration *= self.disturbance.slowdown_at(self.id, now)
        end = now + duration
        for request in list(self.running):
            self._generate_token(request, end)
        if prefilling is not None and prefilling.pending_prefill_tokens <= 0:
            heapq.heappop(self.waiting)
            self._cache_segments(prefilling)
            self.running.append(prefilling)
        return duration

    def _next_to_prefill(self) -> SimRequest | None:
        if not self.waiting or len(self.running) >= self.speed.slots:
            return None
        return self.waiting[0][2]

    def _drop_expired(self, now: float) -> None:
        while self.waiting and self.waiting[0][2].deadline <= now:
            self._fail(heapq.heappop(self.waiting)[2], now)
        for request in [each for each in self.running if each.deadline <= now]:
            self.running.remove(request)
            self._fail(request, now)

    def _fail(self, request: SimRequest, now: float) -> None:
        request.failed = True
        request.on_event(now, True)

    def _cache_segments(self, request: SimRequest) -> None:
        """Cache the request's segments in the memory left by running requests."""
        for segment in request.prompt.segments:
            self.cached[segment.id] = segment.tokens
            self.cached.move_to_end(segment.id)
        used = sum(each.prompt.prompt_tokens for each in self.running)
        room = self.speed.memory_tokens - used
        total = sum(self.cached.values())
        while total > max(0, room) and self.cached:
            total -= self.cached.popitem(last=False)[1]

    def _cached_tokens(self, request: SimRequest) -> int:
        tokens = 0
        for segment in request.prompt.segments:
            if segment.id not in self.cached:
                break
            tokens += segment.tokens
        return tokens

    def _prefill_chunk(self, request: SimRequest) -> float:
        cached = self._cached_tokens(request)  # may have grown by another's prefill
        request.pending_prefill_tokens = min(
            request.pending_prefill_tokens, request.prompt.prompt_tokens - cached
        )
        tokens = max(0, min(request.pending_prefill_tokens, self.speed.chunk_tokens))
        context_tokens = request.prompt.prompt_tokens - request.pending_prefill_tokens
        request.pending_prefill_tokens -= tokens
        self.prefilled_tokens += tokens
        attention_s = self.speed.attention_s_per_m_pairs * tokens * context_tokens / 1e6
        return tokens / self.speed.prefill_tokens_per_s + attention_s

    def _generate_token(self, request: SimRequest, now: float) -> None:
        request.generated_tokens += 1
        request.done = request.generated_tokens >= request.answer_tokens
        if request.done:
            self.running.remove(request)
        if request.done or request.generated_tokens % self.speed.tokens_per_event == 0:
            if request.first_event_at is None:
                request.first_event_at = now
            else:
                pause_s = now - request.last_event_at
                request.longest_pause_s = max(request.longest_pause_s, pause_s)
            request.last_event_at = now
            request.on_event(now, request.done)
