"""Which engines of a pool differ in speed, and by how much.

The usual engine is the one in the middle. An engine that differs by less than a bound
is taken to be as usual, so that a pool of alike engines is served as if none were
measured.
"""

import math
import statistics
from collections.abc import Iterable

from .engine_speed import USUAL_SLOWNESS, EngineSpeed
from .pool_reports import EngineSpeeds, SpeedSamples
from .view import UpstreamView

__all__ = ["receive_speeds", "speeds_to_report", "update_speeds"]

# An engine differs from this factor on; a wait or pause that is wrong by less is within
# what calibration and the shares of targets and pauses allow for. One that differs is
# as usual again below the second factor.
MIN_FACTOR = 1.3
MIN_FACTOR_KEPT = 1.2
# With fewer engines known there is no middle.
MIN_ENGINES = 3


def speeds_to_report(views: Iterable[UpstreamView], now: float) -> EngineSpeeds:
    """Return the samples of engines that are reported to peers."""
    return {
        view.id: samples
        for view in views
        if (samples := view.speed.to_report(now)).count
    }


def receive_speeds(
    views: Iterable[UpstreamView], peers: EngineSpeeds, now: float
) -> None:
    """Take in what all other instances report of the engines of a pool."""
    views, nothing = list(views), SpeedSamples()
    for view in views:
        view.speed.receive(peers.get(view.id, nothing), now)
    update_speeds([view.speed for view in views], now)


def update_speeds(speeds: Iterable[EngineSpeed], now: float) -> None:
    """Set the slowness of each engine of a pool by the samples of all."""
    speeds = list(speeds)
    known = [log for speed in speeds if (log := speed.update(now)) is not None]
    usual_log = statistics.median(known) if len(known) >= MIN_ENGINES else None
    for speed in speeds:
        log = 0.0 if usual_log is None else speed.relative_log(usual_log)
        speed.slowness = _slowness(log, speed.slowness != USUAL_SLOWNESS)


def _slowness(log: float, differs: bool) -> float:
    factor = MIN_FACTOR_KEPT if differs else MIN_FACTOR
    return USUAL_SLOWNESS if abs(log) < math.log(factor) else math.exp(log)
