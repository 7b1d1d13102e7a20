"""Which upstreams cannot be reached, as instances tell each other.

A list of upstreams lags: one that crashed stays on it for seconds. Each of many
instances would find out for itself, by requests of its callers.
"""

from buckthornwall.utils import UpstreamId

__all__ = ["Reachability", "Unreachable", "add_unreachable"]

# By upstream, how many instances could lately not reach it.
Unreachable = dict[UpstreamId, int]

# What was found is told for so many seconds: whoever tries next finds out anew, so an
# upstream that is back is used again, and one that is not costs some tries a second.
# Where each of many instances finds out for itself, requests run out of upstreams.
FAILURE_TTL_S = 1.0
# Word counts for so long after it was heard, in seconds: it is told again and again.
REPORT_TTL_S = 0.6
# One or two instances may be cut off themselves, or have met a full listener.
MIN_REPORTERS = 3
# Who has had an answer from an upstream within so many seconds goes by that.
ANSWER_TTL_S = 1.0


class Reachability:
    """Whether one upstream can be reached; times are in seconds."""

    def __init__(self) -> None:
        self.failed_at = float("-inf")
        self.answered_at = float("-inf")
        self._reporters = 0
        self._received_at = float("-inf")

    def record_failed(self, now: float) -> None:
        """Record that nothing could be sent there."""
        self.failed_at = now

    def record_answered(self, now: float) -> None:
        """Record that something came from there."""
        self.answered_at = now

    def should_report(self, now: float) -> bool:
        """Tell whether others are to hear that it cannot be reached."""
        return (
            self.failed_at > self.answered_at and now - self.failed_at <= FAILURE_TTL_S
        )

    def record_reports(self, reporters: int, now: float) -> None:
        """Take how many instances cannot reach it."""
        self._reporters = reporters
        self._received_at = now

    def is_unreachable(self, now: float) -> bool:
        """Tell whether enough others cannot reach it."""
        if self._reporters < MIN_REPORTERS or now - self._received_at > REPORT_TTL_S:
            return False
        return now - self.answered_at > ANSWER_TTL_S


def add_unreachable(total: Unreachable, part: Unreachable) -> None:
    """Add what some instances found to a total."""
    for upstream, reporters in part.items():
        total[upstream] = total.get(upstream, 0) + reporters
