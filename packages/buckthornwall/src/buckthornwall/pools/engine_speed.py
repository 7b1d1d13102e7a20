"""Relative speed of one engine, from the steps that all instances see there.

A sample is how long a step took as a multiple of a common unit, divided by the slowdown
that the engine stated, so that a short disturbance of its machine teaches no speed.
Instances report counts of samples and sums of their logarithms.
"""

import math
from collections import deque
from dataclasses import dataclass

from .pool_reports import (
    MAX_LOG_PERCENT,
    MAX_REPORTED_SAMPLES,
    SpeedSamples,
    bound_samples,
    limit_log_percent,
)

__all__ = ["USUAL_SLOWNESS", "EngineSpeed"]

USUAL_SLOWNESS = 1.0
# Samples of the last seconds count, by whole seconds. An engine gives a few samples a
# second to all instances together, and one that turns slow must be known before the
# requests that it holds have missed their targets of seconds.
WINDOW_S = 8
# Local samples of one second.
MAX_SAMPLES_PER_S = 32
# A report covers this many of them. One that covered all would name three times as many
# engines, ten times a second.
REPORTED_S = 2
# Time constant with which what others reported loses its weight.
PEERS_DECAY_S = 6.0
# Without reports for longer than this, none is taken to hold for the time between.
MAX_REPORT_GAP_S = 1.0
# All other instances together count as at most this many samples in one report.
MAX_PEER_SAMPLES = 500
# Weight of the usual speed, in samples, against a slower and a faster one. Parts of
# chunks look like whole chunks of a fast engine; nothing looks like those of a slow
# one.
PRIOR_SAMPLES = 4
PRIOR_SAMPLES_IF_FAST = 16
# An engine is compared with the others from this many samples on. Fewer may be of one
# moment: a partial chunk, or a disturbance that no statement showed in time.
MIN_SAMPLES = 8
# How long an engine keeps its speed without samples. Engines that are busy with prefill
# give none, and are as slow as before; beyond a minute their machine may be another.
HOLD_S = 60.0
# Peers still report samples of the incarnation before for about this long.
OLD_REPORTS_S = 3.0


@dataclass(slots=True)
class _Second:
    second: int
    count: int = 0
    log_percent: int = 0


class EngineSpeed:
    """Samples of one engine, and its slowness by them; times are in seconds.

    Attributes
    ----------
    slowness : float
        How long work takes there relative to the usual engine of the pool, as last set
        by `engine_speeds`; exactly 1.0 if it does not differ.
    peers : SpeedSamples
        Samples that all other instances report now.
    """

    def __init__(self) -> None:
        self.slowness = USUAL_SLOWNESS
        self.peers = SpeedSamples()
        self._peer_count = 0.0
        self._peer_log = 0.0
        self._received_at = -math.inf
        self._peers_from = -math.inf
        self._seconds: deque[_Second] = deque(maxlen=WINDOW_S)
        self._mean_log: float | None = None
        self._count = 0.0
        self._sampled_at = -math.inf

    def begin_anew(self, now: float) -> None:
        """Ignore what peers still report of the incarnation that ended at `now`."""
        self._peers_from = now + OLD_REPORTS_S

    def record(self, sample: float, now: float) -> None:
        """Record a steady step, as a multiple of the common unit."""
        second = math.floor(now)
        if not self._seconds or self._seconds[-1].second != second:
            self._seconds.append(_Second(second))
        last = self._seconds[-1]
        if last.count < MAX_SAMPLES_PER_S:
            last.count += 1
            last.log_percent += limit_log_percent(round(100 * math.log(sample)), 1)

    def local_samples(self, now: float, seconds: int = WINDOW_S) -> SpeedSamples:
        """Return the samples of this instance of the last seconds."""
        recent = [each for each in self._seconds if abs(now - each.second) <= seconds]
        return SpeedSamples(
            sum(each.count for each in recent),
            sum(each.log_percent for each in recent),
        )

    def to_report(self, now: float) -> SpeedSamples:
        """Return the samples as they are reported to other instances."""
        return bound_samples(self.local_samples(now, REPORTED_S), MAX_REPORTED_SAMPLES)

    def receive(self, peers: SpeedSamples, now: float) -> None:
        """Record the samples that all other instances report.

        Each report repeats what the one before held, so that it counts in proportion
        to the time since then.
        """
        is_old = now < self._peers_from <= now + OLD_REPORTS_S
        self.peers = (
            SpeedSamples() if is_old else bound_samples(peers, MAX_PEER_SAMPLES)
        )
        passed_s = max(0.0, now - self._received_at)
        self._received_at = now
        left = math.exp(-passed_s / PEERS_DECAY_S)
        share = min(MAX_REPORT_GAP_S, passed_s) / REPORTED_S
        self._peer_count = left * self._peer_count + share * self.peers.count
        self._peer_log = left * self._peer_log + share * self.peers.log_percent / 100

    def update(self, now: float) -> float | None:
        """Take in the samples; return the mean of their logarithms, None if unknown."""
        local = self.local_samples(now)
        count = local.count + self._peer_count
        if count >= MIN_SAMPLES:
            self._mean_log = (local.log_percent / 100 + self._peer_log) / count
            self._count = count
            self._sampled_at = now
        elif not 0 <= now - self._sampled_at <= HOLD_S:
            self._mean_log = None
        return self._mean_log

    def describe(self, now: float) -> dict[str, int]:
        """Return the inputs and their age as fields of a log line."""
        return {
            "samples": self.local_samples(now).count,
            "samples_of_peers": round(self._peer_count),
            "sampled_s_ago": round(now - self._sampled_at),
        }

    def relative_log(self, usual_log: float) -> float:
        """Return the logarithm of the slowness, shrunk towards the usual of 0."""
        if self._mean_log is None:
            return 0.0
        limit = MAX_LOG_PERCENT / 100
        log = min(limit, max(-limit, self._mean_log - usual_log))
        prior = PRIOR_SAMPLES if log > 0 else PRIOR_SAMPLES_IF_FAST
        return log * self._count / (self._count + prior)
