"""The choice of an upstream for a request: state in, choice out."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from buckthornwall.engine_model import EngineModel
from buckthornwall.routing import PromptShape
from buckthornwall.utils import UpstreamId, ZoneId, rendezvous_order

from .reserved import SAFE_PAUSE_SHARE
from .view import UpstreamView

__all__ = [
    "Choice",
    "PlacementRequest",
    "choose_engine",
    "choose_service",
]

# A missing shared token counts the more often the later its engine stands in
# the hash order of the part. So what leaves the first home goes to the same
# second one from every instance, and a hot part spreads no further than it must.
AFFINITY_WEIGHT_STEP = 0.5
MAX_AFFINITY_WEIGHT = 4.0
# A prompt is compared at its first homes, and at so many engines besides, by its
# own draw. Compared at all, every instance would send what leaves its home to the
# engine that was last told to be idle.
AFFINITY_CANDIDATES = 2
SAMPLED_CANDIDATES = 3
# A wait that leaves the target in reach is cheap: part of the target for which
# that holds, and what a token ahead then counts.
DISCOUNTED_TARGET_SHARE = 0.4
DISCOUNTED_WEIGHT = 0.3
# Each request that runs beside slows every step: as a part of a quiet step.
DECODE_STEPS_PER_RUNNING = 0.15
# A request that waits for a slot there waits for about so many quiet steps.
DECODE_STEPS_PER_QUEUED = 7.5
# An engine whose memory is taken up to this part preempts requests, urgent ones too
# where all that run are urgent; a new one then counts for so many seconds more, about
# the reading of one long prompt again. Parts that prompts share are counted for each,
# so the part may be the whole.
MAX_MEMORY_SHARE = 1.0
MEMORY_FULL_PENALTY_S = 0.4
# What is read later than this request counts for those behind it.
LATER_PREFILL_WEIGHT = 0.2
# Fewer missing tokens are read as quickly as they are copied.
MIN_COPIED_TOKENS = 500
# The way to another zone and back, in seconds.
CROSS_ZONE_RTT_S = 0.0012
# An engine that is still warming up: part of the seconds left.
COLD_START_WEIGHT = 0.08
# A prompt that would stretch the pauses of pause-sensitive streams too far counts, for
# each of them, as a wait of this part of its own target: little where few are there,
# more than any wait where many are. Shut to all prompts that harm at all, reserved
# engines would stand half idle in small pools.
PAUSE_PENALTY_TARGET_SHARE = 0.3
# Another zone, and warming up, at a plain service: as shares of its slots.
SERVICE_CROSS_ZONE_PENALTY = 0.1
SERVICE_COLD_PENALTY = 1.0


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A prompt that is to be placed.

    `rank` is its place in the order of urgency, `zone` that of this instance, and
    `discounted_wait_s` a wait that leaves its target of `target_s` well in reach; times
    are in seconds. `sampling_key` draws the engines that it is compared at besides its
    homes. `model` tells how quickly the pool's engines read and generate, and
    `reserved` which of them hold streams whose events of `tokens_per_event` tokens may
    not wait for `max_pause_s`.
    """

    prompt: PromptShape
    rank: int
    zone: ZoneId
    discounted_wait_s: float
    target_s: float
    sampling_key: str
    model: EngineModel
    reserved: frozenset[UpstreamId] = frozenset()
    tokens_per_event: int = 1
    max_pause_s: float = math.inf


@dataclass(frozen=True, slots=True)
class Choice:
    """An upstream, and what is expected there.

    `uncached_tokens` is what it has to read of the prompt; `wait_s` the time
    until the first token by the counts alone, of which `own_prefill_s` is its own
    reading; `oldest_wait_s` how long the oldest request that goes before it has waited
    already. `copy_from` is the address of an engine that is likely to hold more of
    the prompt, or ''. `is_prefill_idle` tells that no other prompt is known to wait
    there, and `pause_s` is the longest pause that is expected beside what is.
    """

    view: UpstreamView
    uncached_tokens: int
    wait_s: float
    own_prefill_s: float
    slot_utilization: float
    oldest_wait_s: float = 0.0
    copy_from: str = ""
    is_prefill_idle: bool = False
    pause_s: float = 0.0


@dataclass(frozen=True, slots=True)
class _Candidate:
    """One engine's cost for a prompt, in seconds."""

    cost: float
    view: UpstreamView
    uncached_tokens: int


def choose_engine(
    views: list[UpstreamView],
    request: PlacementRequest,
    now: float,
    copy_sources: list[UpstreamView] | None = None,
) -> Choice | None:
    """Return the engine with the least work for a prompt, or None without any.

    Each shared part has a home, the same on every instance without a message, so
    that one engine reads it and the others need not. Besides its homes a prompt
    is compared at the engine that holds most of it, and at a few of its own draw.

    Parameters
    ----------
    views
        Engines that may take it.
    wanted
        What is to be placed.
    now
        The time in seconds.
    holders
        Engines that parts may be copied from, where others than those.
    """
    if not views:
        return None
    by_id = {view.id: view for view in views}
    affinity_order = _affinity_order(by_id, request)
    best_cached = _best_cached(views, request.prompt)
    copy_source = (
        best_cached
        if copy_sources is None
        else _best_cached(copy_sources, request.prompt)
    )
    candidates = [
        _evaluate(by_id[name], request, position, now)
        for position, name in _candidates(
            affinity_order, best_cached.id, request.sampling_key
        )
    ]
    best = min(candidates, key=lambda candidate: candidate.cost)
    load = best.view.load
    pending_prefill = load.total_pending_prefill()
    own_prefill_s = request.model.prefill_s(best.uncached_tokens)
    return Choice(
        best.view,
        best.uncached_tokens,
        own_prefill_s
        + request.model.prefill_s(load.pending_prefill_before(request.rank)),
        own_prefill_s,
        _slot_utilization(best.view, now),
        load.oldest_wait_before_s(request.rank, now),
        _copy_from(best.view, copy_source, request.prompt),
        pending_prefill == 0,
        request.model.pause_s(
            request.tokens_per_event, pending_prefill + best.uncached_tokens
        ),
    )


def _best_cached(views: list[UpstreamView], prompt: PromptShape) -> UpstreamView:
    """Return the engine that is likely to hold most of a prompt."""
    return max(views, key=lambda view: view.prefixes.cached_tokens(prompt))


def _affinity_order(
    by_id: Iterable[UpstreamId], request: PlacementRequest
) -> list[UpstreamId]:
    """Return the engines in the order of homes of a prompt, reserved ones last."""
    order = rendezvous_order(request.prompt.affinity_key, by_id)
    return sorted(order, key=lambda name: name in request.reserved)


def _copy_from(
    chosen: UpstreamView, best_cached: UpstreamView, prompt: PromptShape
) -> str:
    """Return where the engine chosen may copy shared parts from, or ''."""
    missing = best_cached.prefixes.cached_tokens(
        prompt
    ) - chosen.prefixes.cached_tokens(prompt)
    return "" if missing < MIN_COPIED_TOKENS else best_cached.entry.address


def _candidates(
    affinity_order: list[str], best_cached: str, sampling_key: str
) -> list[tuple[int, str]]:
    """Return the engines to compare, each with its place in the order of homes."""
    sampled = rendezvous_order(sampling_key, affinity_order[AFFINITY_CANDIDATES:])[
        :SAMPLED_CANDIDATES
    ]
    chosen = {*affinity_order[:AFFINITY_CANDIDATES], best_cached, *sampled}
    return [
        (position, name)
        for position, name in enumerate(affinity_order)
        if name in chosen
    ]


def _evaluate(
    view: UpstreamView, request: PlacementRequest, position: int, now: float
) -> _Candidate:
    prompt = request.prompt
    shared = sum(segment.tokens for segment in prompt.segments[:-1])
    cached = view.prefixes.cached_tokens(prompt)
    uncached = max(0, prompt.prompt_tokens - cached)
    missing = max(0, shared - cached)
    weight = min(MAX_AFFINITY_WEIGHT, 1 + AFFINITY_WEIGHT_STEP * position)
    delay_s = _delay_s(view, request, now)
    if _is_full(view, prompt):
        delay_s += MEMORY_FULL_PENALTY_S
    delay_s -= (1 - DISCOUNTED_WEIGHT) * min(delay_s, request.discounted_wait_s)
    cost = delay_s + request.model.prefill_s(uncached + (weight - 1) * missing)
    if view.entry.zone != request.zone:
        cost += CROSS_ZONE_RTT_S
    if view.id in request.reserved:
        cost += _pause_penalty_s(view, request, uncached)
    return _Candidate(cost, view, uncached)


def _pause_penalty_s(
    view: UpstreamView, request: PlacementRequest, uncached: int
) -> float:
    """Return what a prompt does to pause-sensitive streams of an engine, in seconds."""
    pending_prefill = view.load.total_pending_prefill() + uncached
    pause_s = request.model.pause_s(request.tokens_per_event, pending_prefill)
    if pause_s <= SAFE_PAUSE_SHARE * request.max_pause_s:
        return 0.0
    streams = max(1, view.load.total_pause_sensitive())
    return PAUSE_PENALTY_TARGET_SHARE * request.target_s * streams


def _is_full(view: UpstreamView, prompt: PromptShape) -> bool:
    """Tell whether an engine has no memory left for a prompt."""
    needed = view.load.total_memory_tokens() + prompt.memory_tokens
    return needed > MAX_MEMORY_SHARE * view.prefixes.memory_tokens


def _delay_s(view: UpstreamView, request: PlacementRequest, now: float) -> float:
    """Return the work at an engine before a prompt, in seconds."""
    in_flight = view.load.in_flight(now)
    queued = max(0, in_flight - view.entry.slots)
    earlier = view.load.pending_prefill_before(request.rank)
    later = view.load.total_pending_prefill() - earlier
    steps = in_flight * DECODE_STEPS_PER_RUNNING + queued * DECODE_STEPS_PER_QUEUED
    prefill_s = request.model.prefill_s(earlier + LATER_PREFILL_WEIGHT * later)
    cold_s = COLD_START_WEIGHT * view.cold_s(now)
    return prefill_s + steps * request.model.decode_step_s + cold_s


def _slot_utilization(view: UpstreamView, now: float) -> float:
    return view.load.in_flight(now) / max(1, view.entry.slots)


def choose_service(
    views: list[UpstreamView], zone: ZoneId, now: float
) -> Choice | None:
    """Return the upstream with the least share of its slots in use, or None."""
    if not views:
        return None

    def cost(view: UpstreamView) -> float:
        share = _slot_utilization(view, now)
        share += SERVICE_COLD_PENALTY * (view.cold_s(now) > 0)
        return share + SERVICE_CROSS_ZONE_PENALTY * (view.entry.zone != zone)

    view = min(views, key=cost)
    return Choice(view, 0, 0.0, 0.0, _slot_utilization(view, now))
