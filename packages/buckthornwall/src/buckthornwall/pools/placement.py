"""Choose an upstream for a request: a pure function of the known state.

Engines are chosen by power of k choices: the cost of a prompt is compared at the
first engines of the rendezvous-hash order of its prefix (affinity candidates), at the
engine that has most of it in its prefix cache, and at a hash sample of the others.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from buckthornwall.engine_model import EngineModel, ScaledEngineModel, scale_model
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

# An uncached token of a shared prefix costs more the later its engine stands in the
# rendezvous order of the prefix. Overflow of the first engine then goes to the same
# second one from every instance, and a hot prefix spreads no further than needed.
AFFINITY_WEIGHT_STEP = 0.5
MAX_AFFINITY_WEIGHT = 4.0
# Engines compared per prompt. With all engines compared, every instance would send the
# overflow to the same engine, the one last reported idle (herding).
AFFINITY_CANDIDATES = 2
SAMPLED_CANDIDATES = 3
# Delay up to this share of the target leaves the target in reach and is weighted less.
DISCOUNTED_TARGET_SHARE = 0.4
DISCOUNTED_WEIGHT = 0.3
# Each running request slows every step by this share of a decode step.
DECODE_STEPS_PER_RUNNING = 0.15
# A request queued for a slot waits for about this many decode steps.
DECODE_STEPS_PER_QUEUED = 7.5
# An engine that uses more than this share of its memory preempts requests, urgent ones
# too if only urgent ones run. The penalty is about one long prompt prefilled again.
# Shared prefixes are counted once per request, so the share may be 1.
MAX_MEMORY_SHARE = 1.0
MEMORY_FULL_PENALTY_S = 0.4
# Weight of pending prefill that runs after this prompt and is delayed by it.
LATER_PREFILL_WEIGHT = 0.2
# Fewer tokens are prefilled as quickly as they are copied from another engine.
MIN_COPIED_TOKENS = 500
CROSS_ZONE_RTT_S = 0.0012
# Cost of an engine in its cold start, per second that is left of it.
COLD_START_WEIGHT = 0.08
# Cost of a prompt whose prefill would break the pause limit of pause-sensitive streams:
# this share of its own target for each of them, so little where there are few and more
# than any delay where there are many. If such prompts were excluded from reserved
# engines, these would be half idle in small pools.
PAUSE_PENALTY_TARGET_SHARE = 0.3
# Cost of another zone, and of a cold start, at a plain service: shares of its slots.
SERVICE_CROSS_ZONE_PENALTY = 0.1
SERVICE_COLD_PENALTY = 1.0


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A prompt to place.

    Attributes
    ----------
    prompt : PromptShape
        The prompt.
    rank : int
        Its urgency, 0 the most urgent.
    zone : ZoneId
        Zone of this instance.
    discounted_wait_s : float
        Delay up to which the target stays well in reach, in seconds.
    target_s : float
        Target of the time to first token, in seconds.
    sampling_key : str
        Key of the hash sample of engines that are compared besides the affinity
        candidates.
    model : EngineModel
        Speed of the pool's engines in prefill and decode.
    reserved : frozenset
        Engines reserved for pause-sensitive streams.
    tokens_per_event : int
        Tokens in one event of such streams.
    max_pause_s : float
        Longest pause between events that such streams allow, in seconds.
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
    """An upstream, and the predictions for the request there.

    Attributes
    ----------
    view : UpstreamView
        The upstream.
    uncached_tokens : int
        Tokens of the prompt that it has to prefill.
    wait_s : float
        Seconds until the first token, by counts of pending tokens alone.
    own_prefill_s : float
        Part of `wait_s` that is the prefill of this prompt.
    slot_utilization : float
        Requests in flight per slot.
    oldest_wait_s : float
        Seconds that the oldest request served before this one has waited.
    copy_from : str
        Address of an engine that probably has more of the prompt cached, or ''.
    is_prefill_idle : bool
        Whether no other prompt is known to wait for prefill there.
    pause_s : float
        Longest pause between events expected beside the pending prefill, in seconds.
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
    """An engine, and its cost for a prompt in seconds."""

    cost: float
    view: UpstreamView
    uncached_tokens: int


def choose_engine(
    views: list[UpstreamView],
    request: PlacementRequest,
    now: float,
    copy_sources: list[UpstreamView] | None = None,
) -> Choice | None:
    """Return the engine with the lowest cost for a prompt, or None without engines.

    The rendezvous order of a shared prefix is the same on every instance without any
    message, so that one engine prefills the prefix and the others need not. Besides
    the first engines of that order the prompt is compared at the engine that has most
    of it cached, and at a sample of the others.

    Parameters
    ----------
    views
        Engines that may serve it.
    request
        The prompt and its limits.
    now
        The time in seconds.
    copy_sources
        Engines that cached segments may be copied from, if not `views`.
    """
    if not views:
        return None
    by_id = {view.id: view for view in views}
    affinity_order = _affinity_order(by_id, request)
    best_cached = _best_cached(views, request.prompt)
    best_source = best_cached
    if copy_sources is None:
        copy_sources = views
    else:
        best_source = _best_cached(copy_sources, request.prompt)
    candidates = [
        _evaluate(by_id[name], request, position, now)
        for position, name in _candidates(
            affinity_order, best_cached.id, request.sampling_key
        )
    ]
    best = min(candidates, key=lambda candidate: candidate.cost)
    load = best.view.load
    pending_prefill = load.total_pending_prefill()
    model = scale_model(request.model, best.view.slowness(now))
    own_prefill_s = model.prefill_s(best.uncached_tokens)
    return Choice(
        best.view,
        best.uncached_tokens,
        own_prefill_s + model.prefill_s(load.pending_prefill_before(request.rank)),
        own_prefill_s,
        _slot_utilization(best.view, now),
        load.oldest_wait_before_s(request.rank, now),
        _copy_from(best.view, copy_sources, best_source, request.prompt),
        pending_prefill == 0,
        model.pause_s(request.tokens_per_event, pending_prefill + best.uncached_tokens),
    )


def _best_cached(views: list[UpstreamView], prompt: PromptShape) -> UpstreamView:
    """Return the engine that probably has most of a prompt cached."""
    return max(views, key=lambda view: view.prefixes.cached_tokens(prompt))


def _affinity_order(
    by_id: Iterable[UpstreamId], request: PlacementRequest
) -> list[UpstreamId]:
    """Return engines in the rendezvous order of the prefix, reserved ones last."""
    order = rendezvous_order(request.prompt.affinity_key, by_id)
    return sorted(order, key=lambda name: name in request.reserved)


def _copy_from(
    chosen: UpstreamView,
    sources: list[UpstreamView],
    best_cached: UpstreamView,
    prompt: PromptShape,
) -> str:
    """Return the address to copy cached segments from, or '' if few are missing.

    Another software version may not read what one has cached.
    """
    version = chosen.entry.version
    if best_cached.entry.version != version:
        sources = [view for view in sources if view.entry.version == version]
        best_cached = _best_cached([chosen, *sources], prompt)
    missing = best_cached.prefixes.cached_tokens(
        prompt
    ) - chosen.prefixes.cached_tokens(prompt)
    return "" if missing < MIN_COPIED_TOKENS else best_cached.entry.address


def _candidates(
    affinity_order: list[str], best_cached: str, sampling_key: str
) -> list[tuple[int, str]]:
    """Return the engines to compare, each with its position in the affinity order."""
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
    model = scale_model(request.model, view.slowness(now))
    delay_s = _delay_s(view, request, model, now)
    if _is_full(view, prompt):
        delay_s += MEMORY_FULL_PENALTY_S
    delay_s -= (1 - DISCOUNTED_WEIGHT) * min(delay_s, request.discounted_wait_s)
    cost = delay_s + model.prefill_s(uncached + (weight - 1) * missing)
    if view.entry.zone != request.zone:
        cost += CROSS_ZONE_RTT_S
    if view.id in request.reserved:
        cost += _pause_penalty_s(view, request, model, uncached)
    return _Candidate(cost, view, uncached)


def _pause_penalty_s(
    view: UpstreamView,
    request: PlacementRequest,
    model: EngineModel | ScaledEngineModel,
    uncached: int,
) -> float:
    """Return the cost of longer pauses of an engine's streams, in seconds."""
    pending_prefill = view.load.total_pending_prefill() + uncached
    pause_s = model.pause_s(request.tokens_per_event, pending_prefill)
    if pause_s <= SAFE_PAUSE_SHARE * request.max_pause_s:
        return 0.0
    streams = max(1, view.load.total_pause_sensitive())
    return PAUSE_PENALTY_TARGET_SHARE * request.target_s * streams


def _is_full(view: UpstreamView, prompt: PromptShape) -> bool:
    """Return whether an engine has no memory left for a prompt."""
    needed = view.load.total_memory_tokens() + prompt.memory_tokens
    return needed > MAX_MEMORY_SHARE * view.prefixes.memory_tokens


def _delay_s(
    view: UpstreamView,
    request: PlacementRequest,
    model: EngineModel | ScaledEngineModel,
    now: float,
) -> float:
    """Return the expected delay of a prompt before its own prefill, in seconds."""
    in_flight = view.load.in_flight(now)
    queued = max(0, in_flight - view.entry.slots)
    earlier = view.load.pending_prefill_before(request.rank)
    later = view.load.total_pending_prefill() - earlier
    steps = in_flight * DECODE_STEPS_PER_RUNNING + queued * DECODE_STEPS_PER_QUEUED
    prefill_s = model.prefill_s(earlier + LATER_PREFILL_WEIGHT * later)
    cold_s = COLD_START_WEIGHT * view.cold_s(now)
    return prefill_s + steps * model.decode_step_s + cold_s


def _slot_utilization(view: UpstreamView, now: float) -> float:
    return view.load.in_flight(now) / max(1, view.entry.slots)


def choose_service(
    views: list[UpstreamView], zone: ZoneId, now: float
) -> Choice | None:
    """Return the upstream with the lowest slot utilization, or None without any.

    A slow upstream counts as fuller: its slots are free again as much later.
    """
    if not views:
        return None

    def cost(view: UpstreamView) -> float:
        share = _slot_utilization(view, now) * view.slowness(now)
        share += SERVICE_COLD_PENALTY * (view.cold_s(now) > 0)
        return share + SERVICE_CROSS_ZONE_PENALTY * (view.entry.zone != zone)

    view = min(views, key=cost)
    return Choice(view, 0, 0.0, 0.0, _slot_utilization(view, now))
