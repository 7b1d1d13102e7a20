"""The notices of one upstream that are in force."""

__all__ = ["MAX_REST_S", "UpstreamNotices"]

# A longer rest is taken for an error of the upstream. It ends at the latest when the
# upstream starts again.
MAX_REST_S = 3600.0
# A rest is extended by up to this fraction, and this many seconds, by a random part for
# each instance: those that were notified together would otherwise all return together.
MAX_SPREAD_FRACTION = 0.1
MAX_SPREAD_S = 0.25
# A rest is reported to peers for this many seconds. It is for this instance alone, so
# later they find out themselves whether the upstream accepts their requests.
REPORT_S = 1.0


class UpstreamNotices:
    """What one incarnation of an upstream has stated about itself.

    Attributes
    ----------
    is_leaving : bool
        Whether it has stated that it is leaving. An incarnation that leaves does not
        return, so nothing but another incarnation ends this.
    rest_until : float
        Time in seconds until which it wants no request from this instance.
    """

    def __init__(self) -> None:
        self.is_leaving = False
        self.rest_until = float("-inf")
        self._asked_for_rest_at = float("-inf")

    def record_leaving(self) -> bool:
        """Record that it is leaving; return whether that was not known."""
        was_known, self.is_leaving = self.is_leaving, True
        return not was_known

    def record_rest(self, seconds: float, now: float, spread: float) -> None:
        """Record that it wants no request for some seconds from now.

        A response that asks for less than an earlier one shortens nothing: it may
        answer a request that was under way before.

        Parameters
        ----------
        seconds
            The rest that it asked for.
        now
            The time in seconds.
        spread
            Part of the longest extension that this instance adds, 0 to 1.
        """
        self._asked_for_rest_at = now
        seconds = min(seconds, MAX_REST_S)
        seconds += spread * min(MAX_SPREAD_S, MAX_SPREAD_FRACTION * seconds)
        self.rest_until = max(self.rest_until, now + seconds)

    def rest_s(self, now: float) -> float:
        """Return how much longer it wants no request, in seconds."""
        return max(0.0, self.rest_until - now)

    def is_resting(self, now: float) -> bool:
        """Return whether it wants no request now."""
        return now < self.rest_until

    def should_report_rest(self, now: float) -> bool:
        """Return whether to report to peers that it asked for a rest."""
        return self.is_resting(now) and now - self._asked_for_rest_at <= REPORT_S
