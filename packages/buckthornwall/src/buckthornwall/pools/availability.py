"""Whether an upstream may get a request now, and if not, why.

Every path to an upstream checks this: first attempts, retries and resumed streams when
their upstream is chosen, and each of them again right before it is sent.
"""

from collections.abc import Container
from enum import Enum

from buckthornwall.utils import ZoneId

from .entry import UpstreamState
from .view import UpstreamView

__all__ = ["ADVISORY", "FORBIDDING", "LASTING", "Obstacle", "find_obstacle", "wait_s"]

# Assumed wait for room at a brittle upstream, in seconds.
ROOM_WAIT_S = 0.25


class Obstacle(Enum):
    """Why an upstream gets no request now, in the order in which they are checked."""

    REGISTERED_LEAVING = "registered_leaving"  # by its registration
    STATED_LEAVING = "stated_leaving"  # by its own response
    NOT_LOADED = "not_loaded"  # by its registration
    EVACUATED = "evacuated"  # by the operator, for its zone
    RESTING = "resting"  # by its own response
    RATE_LIMITED = "rate_limited"  # no token of this instance is left
    BRITTLE = "brittle"  # no room that is known to be free for this instance
    EJECTED = "ejected"  # by the outcomes of earlier requests
    UNREACHABLE = "unreachable"  # by the reports of other instances


# Obstacles that no waiting request can outlast.
LASTING = frozenset(
    {
        Obstacle.REGISTERED_LEAVING,
        Obstacle.STATED_LEAVING,
        Obstacle.NOT_LOADED,
        Obstacle.EVACUATED,
    }
)
# Obstacles that also apply to a request whose upstream is already chosen.
FORBIDDING = LASTING | {Obstacle.RESTING}
# Obstacles that are disregarded if all upstreams of a pool have one: where all fail, to
# keep sending is better than to refuse everything.
ADVISORY = frozenset({Obstacle.EJECTED, Obstacle.UNREACHABLE})


def find_obstacle(
    view: UpstreamView, evacuated: Container[ZoneId], now: float
) -> Obstacle | None:
    """Return why an upstream gets no request now, or None if it may get one.

    Parameters
    ----------
    view
        The upstream.
    evacuated
        Availability zones that get no new requests.
    now
        The time in seconds.
    """
    entry, notices = view.entry, view.notices
    if entry.state is not UpstreamState.READY:
        return Obstacle.REGISTERED_LEAVING
    if notices.is_leaving:
        return Obstacle.STATED_LEAVING
    if not entry.loaded:
        return Obstacle.NOT_LOADED
    if entry.zone in evacuated:
        return Obstacle.EVACUATED
    if now < notices.rest_until:
        return Obstacle.RESTING
    if not view.rate_limit.may_send(now):
        return Obstacle.RATE_LIMITED
    # Asked for each upstream of a pool with each request, so calls are avoided.
    if view.brittleness.may_restrict and not view.brittleness.may_send(view.load, now):
        return Obstacle.BRITTLE
    if view.health.ejected and not view.health.allows_request(now):
        return Obstacle.EJECTED
    return Obstacle.UNREACHABLE if view.reachability.is_unreachable(now) else None


def wait_s(view: UpstreamView, now: float) -> float:
    """Return how long until an upstream without lasting obstacle may get a request.

    In seconds; infinite where this instance has no share of a rate limit.
    """
    is_free = view.brittleness.may_send(view.load, now)
    room_wait_s = 0.0 if is_free else ROOM_WAIT_S
    return max(view.notices.rest_s(now), view.rate_limit.wait_s(now), room_wait_s)
