"""Upstreams that do not accept requests, as reported among instances.

The list of upstreams lags: one that crashed stays on it for seconds. One that sheds
requests asks each instance by itself for a rest. Without reports, each of many
instances would find out for itself, by requests of its callers.
"""

from buckthornwall.utils import Count, UpstreamId, add_counts

__all__ = ["Reachability", "Unreachable", "add_unreachable"]

# Number of instances that recently could not reach an upstream, or that it asked for a
# rest, by upstream.
Unreachable = dict[UpstreamId, Count]

# A failure is reported for this many seconds. The next attempt then finds out anew, so
# a recovered upstream is used again, and one still down costs a few attempts a second.
# Where each of many instances finds out for itself, requests run out of upstreams.
FAILURE_TTL_S = 1.0
# Reports count for this many seconds after receipt; they are sent repeatedly.
REPORT_TTL_S = 0.6
# One or two instances may be cut off themselves, or have met a full listener.
MIN_REPORTERS = 3
# A response to this instance within this many seconds overrides the reports of peers.
ANSWER_TTL_S = 1.0


class Reachability:
    """Reachability of one upstream; times are in seconds."""

    def __init__(self) -> None:
        self.failed_at = float("-inf")
        self.answered_at = float("-inf")
        self._reporters = 0
        self._received_at = float("-inf")

    def record_failed(self, now: float) -> None:
        """Record that nothing could be sent to the upstream."""
        self.failed_at = now

    def forget_since(self, since: float) -> None:
        """Forget a failure from `since` on."""
        if self.failed_at >= since:
            self.failed_at = float("-inf")

    def record_answered(self, now: float) -> None:
        """Record that data arrived from the upstream."""
        self.answered_at = now

    def should_report(self, now: float) -> bool:
        """Return whether to report to peers that it cannot be reached."""
        return (
            self.failed_at > self.answered_at and now - self.failed_at <= FAILURE_TTL_S
        )

    def record_reports(self, reporters: int, now: float) -> None:
        """Record how many instances cannot reach it."""
        self._reporters = reporters
        self._received_at = now

    def is_unreachable(self, now: float) -> bool:
        """Return whether enough other instances cannot reach it."""
        if self._reporters < MIN_REPORTERS or now - self._received_at > REPORT_TTL_S:
            return False
        return now - self.answered_at > ANSWER_TTL_S


def add_unreachable(total: Unreachable, part: Unreachable) -> None:
    """Add the counts of some instances to a total."""
    for upstream, reporters in part.items():
        total[upstream] = add_counts(total.get(upstream, 0), reporters)
