"""The choice of an upstream for a request: state in, choice out."""

from dataclasses import dataclass

from buckthornwall.routing import PromptShape
from buckthornwall.utils import ZoneId, rendezvous_winner

from .table import UpstreamView

__all__ = ["Choice", "choose_engine", "choose_service"]

# Prompt tokens that a model engine reads in a millisecond. A guess to start
# from; only ratios of waits depend on it.
TOKENS_PER_MS = 50.0
# A missing shared token counts this often: reading it costs the engine's other
# requests too, and pushes other parts out of its memory.
MISSING_WEIGHT = 3.0
# Each request that runs beside slows every step; as prompt tokens.
RUNNING_TOKENS = 60.0
# A request that waits for a slot there waits for about this many tokens.
QUEUED_TOKENS = 3_000.0
# The way to another zone and back, as prompt tokens.
ZONE_TOKENS = 60.0
# An engine that is still warming up, as prompt tokens a second left.
COLD_TOKENS_PER_S = 4_000.0
# The same for a plain service, as shares of its slots.
SERVICE_ZONE_SHARE = 0.1
SERVICE_COLD_SHARE = 1.0


@dataclass(frozen=True, slots=True)
class Choice:
    """An upstream, and what is expected there.

    `fresh_tokens` is what it has to read of the prompt; `wait_s` the time
    until the first token, reading included.
    """

    view: UpstreamView
    fresh_tokens: int
    wait_s: float
    busy_share: float


def choose_engine(
    views: list[UpstreamView], prompt: PromptShape, zone: ZoneId, now: float
) -> Choice | None:
    """Return the engine with the least work for a prompt, or None without any.

    Each shared part has a home, the same on every instance without a message:
    it is taken to hold the part even if nothing was sent there from here, so
    that one engine reads it and the others need not.

    Parameters
    ----------
    views
        Engines that may take it.
    prompt
        What it asks to read.
    zone
        The zone of this instance.
    now
        The time in seconds.
    """
    if not views:
        return None
    shared = sum(part.tokens for part in prompt.parts[:-1])
    home = rendezvous_winner(prompt.shared_key, [view.id for view in views])
    best: tuple[float, UpstreamView, int] | None = None
    for view in views:
        held = view.prefixes.held(prompt)
        if view.id == home:
            held = max(held, shared)
        fresh = max(0, prompt.prompt_tokens - held)
        missing = max(0, shared - held)
        cost = fresh + (MISSING_WEIGHT - 1) * missing + _ahead(view, zone, now)
        if best is None or cost < best[0]:
            best = (cost, view, fresh)
    _, view, fresh = best
    wait_s = (fresh + view.load.unread()) / TOKENS_PER_MS / 1000
    return Choice(view, fresh, wait_s, _busy_share(view, now))


def _ahead(view: UpstreamView, zone: ZoneId, now: float) -> float:
    in_flight = view.load.in_flight(now)
    queued = max(0, in_flight - view.entry.slots)
    cost = view.load.unread() + in_flight * RUNNING_TOKENS + queued * QUEUED_TOKENS
    cost += view.entry.cold_s * COLD_TOKENS_PER_S
    return cost if view.entry.zone == zone else cost + ZONE_TOKENS


def _busy_share(view: UpstreamView, now: float) -> float:
    return view.load.in_flight(now) / max(1, view.entry.slots)


def choose_service(
    views: list[UpstreamView], zone: ZoneId, now: float
) -> Choice | None:
    """Return the upstream with the least share of its slots in use, or None."""
    if not views:
        return None

    def cost(view: UpstreamView) -> float:
        share = _busy_share(view, now)
        share += SERVICE_COLD_SHARE * (view.entry.cold_s > 0)
        return share + SERVICE_ZONE_SHARE * (view.entry.zone != zone)

    view = min(views, key=cost)
    return Choice(view, 0, 0.0, _busy_share(view, now))
