"""Rate limit of an upstream for the requests of all instances together.

An upstream advertises a limit in its responses, or has one while it is cold, that is,
accepts only few requests for a while after its start. Each instance sends by a token
bucket of its share of the limit (`limit_share`), which is 0 for most instances. An
instance reports to its peers what it learns from a response. The newest report stays in
force however old it is: if a limit expired where no instance sends, all instances would
send at once.
"""

import math
from collections.abc import Iterable
from typing import Annotated

import msgspec

from buckthornwall.utils import Count, UpstreamId, add_counts

__all__ = [
    "UNLIMITED",
    "LimitReport",
    "LimitReports",
    "RateLimit",
    "merge_limit_reports",
]

UNLIMITED = math.inf
MS_PER_S = 1000.0
# Seconds for which the end of an upstream's advertised limit is reported to peers.
LIFTED_LIMIT_REPORT_S = 10.0
# Size of a burst in seconds of the local share; one request at least.
BURST_S = 0.25


class LimitReport(msgspec.Struct, array_like=True, frozen=True):
    """Requests a second that an upstream advertised (None: no limit), and its age."""

    per_s: Annotated[float, msgspec.Meta(ge=0)] | None
    age_ms: Count


LimitReports = dict[UpstreamId, LimitReport]


def merge_limit_reports(
    timed_reports: Iterable[tuple[LimitReports, float]],
) -> LimitReports:
    """Return the newest report on each upstream.

    Parameters
    ----------
    timed_reports
        Reports, and how many seconds ago each set of them was sent.
    """
    newest: LimitReports = {}
    for reports, sent_s_ago in timed_reports:
        sent_ms_ago = math.ceil(sent_s_ago * MS_PER_S)
        for upstream, report in reports.items():
            age_ms = add_counts(report.age_ms, sent_ms_ago)
            if upstream not in newest or age_ms < newest[upstream].age_ms:
                newest[upstream] = LimitReport(report.per_s, age_ms)
    return newest


class RateLimit:
    """Rate limit of one upstream, and this instance's share of it.

    Attributes
    ----------
    per_s : float
        Requests a second that the upstream advertises; infinite without a limit.
    advertised_at : float
        When the upstream advertised it, in seconds, to any instance.
    cold_per_s : float
        Requests a second that it accepts while cold; infinite without a limit.
    cold_until : float
        End of its cold start, in seconds.
    local_per_s : float
        Share of this instance, in requests a second.
    """

    def __init__(self) -> None:
        self.per_s = UNLIMITED
        self.advertised_at = float("-inf")
        self.cold_per_s = UNLIMITED
        self.cold_until = float("-inf")
        self.local_per_s = 0.0
        self._answered_locally_at = float("-inf")
        self._tokens = 0.0
        self._refilled_at = 0.0
        self._ready_since = 0.0
        self._is_newly_cold = False

    @property
    def advertises_limit(self) -> bool:
        """Whether the upstream advertises a limit."""
        return self.per_s < UNLIMITED

    def is_cold(self, now: float) -> bool:
        """Return whether it accepts only few requests since it has just started."""
        return now < self.cold_until and self.cold_per_s < UNLIMITED

    def is_limited(self, now: float) -> bool:
        """Return whether the rate of requests to it is limited."""
        return self.advertises_limit or self.is_cold(now)

    # Advertised limits

    def record_answer(self, per_s: float, now: float) -> bool:
        """Record the limit in a local response; return whether it changed."""
        if per_s != self.per_s or self.advertises_limit:
            self._answered_locally_at = now
        return self._update(per_s, now)

    def receive(self, report: LimitReport, now: float) -> bool:
        """Record the report of a peer; return whether the limit changed."""
        advertised_at = now - report.age_ms / MS_PER_S
        if advertised_at <= self.advertised_at:
            return False
        return self._update(
            UNLIMITED if report.per_s is None else report.per_s, advertised_at
        )

    def _update(self, per_s: float, advertised_at: float) -> bool:
        is_new = per_s != self.per_s
        if is_new and not self.advertises_limit:
            self.local_per_s = self._tokens = 0.0
        self.per_s = per_s
        self.advertised_at = advertised_at
        return is_new

    def report(self, now: float) -> LimitReport | None:
        """Return the report for peers, if this instance learned of the limit itself."""
        report_duration_s = math.inf if self.advertises_limit else LIFTED_LIMIT_REPORT_S
        if now - self._answered_locally_at >= report_duration_s:
            return None
        age_ms = math.ceil((now - self.advertised_at) * MS_PER_S)
        return LimitReport(self.per_s if self.advertises_limit else None, age_ms)

    # Cold starts

    def mark_cold(self, until: float, now: float) -> None:
        """Record that the upstream is cold at least until a time."""
        if not self.is_limited(now):
            self.local_per_s = self._tokens = 0.0
            self._is_newly_cold = True
        self.cold_until = max(self.cold_until, until)

    # Token bucket

    def set_share(
        self, local_per_s: float, now: float, initial_tokens: float = 0.0
    ) -> None:
        """Set the share of this instance.

        An instance that had none starts without a token, so that those that had one
        have learned of the change by then. When an upstream turns cold no instance had
        one: a share then starts with `initial_tokens`, below 1.
        """
        self._refill(now)
        if not local_per_s:
            self._tokens = 0.0
        elif self._is_newly_cold:
            self._tokens = initial_tokens
            self._refilled_at = now
            self._is_newly_cold = False
        self.local_per_s = local_per_s

    def may_send(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        # The usual case; asked for each upstream of a pool with each request.
        if self.per_s == UNLIMITED and now >= self.cold_until:
            return True
        if not self.is_limited(now):
            return True
        self._refill(now)
        return self._tokens >= 1

    def take(self, now: float) -> None:
        """Take a token for a request that is sent."""
        if self.is_limited(now):
            self._refill(now)
            self._tokens -= 1

    def refund(self) -> None:
        """Return the token of a request that did not reach the upstream."""
        self._tokens = min(self._capacity(), self._tokens + 1)

    def wait_s(self, now: float) -> float:
        """Return how long until a request may be sent, in seconds."""
        if self.may_send(now):
            return 0.0
        return (1 - self._tokens) / self.local_per_s if self.local_per_s else math.inf

    def ready_for_s(self, now: float) -> float:
        """Return for how long a token has been available, in seconds."""
        return now - self._ready_since if self.may_send(now) else 0.0

    def _refill(self, now: float) -> None:
        gained = self.local_per_s * (now - self._refilled_at)
        if self._tokens < 1 <= self._tokens + gained:
            self._ready_since = (
                self._refilled_at + (1 - self._tokens) / self.local_per_s
            )
        self._tokens = min(self._capacity(), self._tokens + gained)
        self._refilled_at = now

    def _capacity(self) -> float:
        return max(1.0, self.local_per_s * BURST_S)
