"""Whether this instance can open connections to upstreams at all.

Only new connections tell: open ones may hang, or live on while new ones are refused.
"""

from collections.abc import Callable

from buckthornwall.utils import UpstreamId

__all__ = ["Isolation"]

NEVER = float("-inf")
# Fewer cannot distinguish an isolated instance from upstreams that are gone.
MIN_UPSTREAMS = 2
# What was observed this many seconds before an isolation was found belongs to it: the
# first failure may be that of a silent connection.
CUT_EVIDENCE_S = 2.0
# Rounds of probes after failures, and after silence, are at least this far apart.
FAILURE_ROUND_INTERVAL_S = 0.25
SILENCE_ROUND_INTERVAL_S = 1.0


class Isolation:
    """Isolation of this instance from all upstreams; a pure state machine.

    Attributes
    ----------
    is_isolated : bool
        Whether it can open connections to no upstream.
    since : float
        When the newest isolation was found, in seconds.
    connected_at, failed_at : float
        When a connection was last opened, and when an upstream last failed.
    failures : dict
        By upstream, when it last failed, of those since the last opened connection.
    on_isolated : Callable
        Called when an isolation begins.
    on_regained : Callable
        Called when it ends, with the time since when observations belong to it.
    """

    def __init__(self) -> None:
        self.is_isolated = False
        self.since = NEVER
        self.connected_at = NEVER
        self.failed_at = NEVER
        self.failures: dict[UpstreamId, float] = {}
        self.round_began_at = NEVER
        self.on_isolated: Callable[[], None] = lambda: None
        self.on_regained: Callable[[float], None] = lambda since: None

    @property
    def is_in_doubt(self) -> bool:
        """Whether failures of upstreams may be due to an isolation."""
        return self.is_isolated or bool(self.failures)

    def record_connected(self, upstream: UpstreamId, now: float) -> None:
        """Record that a connection to an upstream was opened."""
        self.connected_at = now
        self.failures.clear()
        if self.is_isolated:
            self.is_isolated = False
            self.on_regained(self.since - CUT_EVIDENCE_S)

    def record_failed(self, upstream: UpstreamId, now: float) -> None:
        """Record that a connection could not be opened, was lost or is silent."""
        self.failed_at = self.failures[upstream] = now

    def is_probe_due(self, is_silent: bool, now: float) -> bool:
        """Return whether a round of probes is due.

        Parameters
        ----------
        is_silent
            Whether requests wait while nothing arrives from any upstream.
        now
            Time in seconds.
        """
        if self.is_isolated:
            return False
        since_s = now - self.round_began_at
        if self.failures:
            return since_s >= FAILURE_ROUND_INTERVAL_S
        return is_silent and since_s >= SILENCE_ROUND_INTERVAL_S

    def begin_round(self, now: float) -> None:
        """Record that a round of probes begins."""
        self.round_began_at = now

    def end_round(self, failed: int, now: float) -> bool:
        """Record that a round of probes ended; return whether isolation begins.

        Parameters
        ----------
        failed
            Number of upstreams probed, but for those known to have ended, if all
            failed; else 0.
        now
            Time in seconds.
        """
        was_refuted = self.connected_at >= self.round_began_at
        if self.is_isolated or was_refuted or failed < MIN_UPSTREAMS:
            self.failures.clear()
            return False
        self.is_isolated = True
        self.since = now
        self.on_isolated()
        return True
