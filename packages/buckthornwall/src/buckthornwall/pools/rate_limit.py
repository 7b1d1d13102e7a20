"""The rate of requests that an upstream takes from all instances together.

It names one in its answers, or is cold: it has just started, and bears little for a
while. An instance sends by a token bucket of its own part of it (`limit_share`), which
is nothing for most. What one instance learns from an answer it reports to the others;
the newest report holds, however old: were a limit to lapse where nobody sends, all
instances would send at once.
"""

import math
from collections.abc import Iterable
from typing import Annotated

import msgspec

from buckthornwall.utils import UpstreamId

__all__ = [
    "UNLIMITED",
    "LimitReport",
    "LimitReports",
    "RateLimit",
    "merge_limit_reports",
]

UNLIMITED = math.inf
MS_PER_S = 1000.0
# Seconds for which others are told that an upstream names no limit any longer.
LIFTED_LIMIT_REPORT_S = 10.0
# What may come at once, in seconds of the own part; one request at least.
BURST_S = 0.25


class LimitReport(msgspec.Struct, array_like=True, frozen=True):
    """What an upstream said: requests a second, or None; and how long ago."""

    per_s: Annotated[float, msgspec.Meta(ge=0)] | None
    age_ms: Annotated[int, msgspec.Meta(ge=0)]


LimitReports = dict[UpstreamId, LimitReport]


def merge_limit_reports(parts: Iterable[tuple[LimitReports, float]]) -> LimitReports:
    """Return the newest report on each upstream.

    Parameters
    ----------
    parts
        Reports, and how many seconds ago they were sent.
    """
    newest: LimitReports = {}
    for reports, sent_s_ago in parts:
        sent_ms_ago = math.ceil(sent_s_ago * MS_PER_S)
        for upstream, report in reports.items():
            age_ms = report.age_ms + sent_ms_ago
            if upstream not in newest or age_ms < newest[upstream].age_ms:
                newest[upstream] = LimitReport(report.per_s, age_ms)
    return newest


class RateLimit:
    """What one upstream takes, and what this instance may send it.

    Attributes
    ----------
    per_s : float
        Requests a second that it names; infinite without a limit.
    advertised_at : float
        When the upstream said so, in seconds, to whichever instance.
    cold_per_s : float
        Requests a second that it bears while it is cold; infinite if any number.
    cold_until : float
        When it is cold no longer, in seconds.
    local_per_s : float
        The part of this instance.
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
        """Whether the upstream names a limit."""
        return self.per_s < UNLIMITED

    def is_cold(self, now: float) -> bool:
        """Tell whether it bears little since it has just started."""
        return now < self.cold_until and self.cold_per_s < UNLIMITED

    def is_limited(self, now: float) -> bool:
        """Tell whether it takes only so many requests a second."""
        return self.advertises_limit or self.is_cold(now)

    # What it says

    def record_answer(self, per_s: float, now: float) -> bool:
        """Record what an answer to this instance says; tell whether it is new."""
        if per_s != self.per_s or self.advertises_limit:
            self._answered_locally_at = now
        return self._update(per_s, now)

    def receive(self, report: LimitReport, now: float) -> bool:
        """Record what another instance was told; tell whether it is new."""
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
        """Return what others are told of it, if this instance was told itself."""
        report_duration_s = math.inf if self.advertises_limit else LIFTED_LIMIT_REPORT_S
        if now - self._answered_locally_at >= report_duration_s:
            return None
        age_ms = math.ceil((now - self.advertised_at) * MS_PER_S)
        return LimitReport(self.per_s if self.advertises_limit else None, age_ms)

    # What it bears

    def mark_cold(self, until: float, now: float) -> None:
        """Record that it is cold until a time, at least."""
        if not self.is_limited(now):
            self.local_per_s = self._tokens = 0.0
            self._is_newly_cold = True
        self.cold_until = max(self.cold_until, until)

    # What may be sent

    def set_share(
        self, local_per_s: float, now: float, first_token: float = 0.0
    ) -> None:
        """Set the part of this instance.

        Who had none begins without a token, so that those who had one have heard of
        the change. When an upstream begins to be cold nobody had one: then a part
        begins with `first_token`, below 1.
        """
        self._refill(now)
        if not local_per_s:
            self._tokens = 0.0
        elif self._is_newly_cold:
            self._tokens = first_token
            self._refilled_at = now
            self._is_newly_cold = False
        self.local_per_s = local_per_s

    def may_send(self, now: float) -> bool:
        """Tell whether a request may be sent now."""
        if not self.is_limited(now):
            return True
        self._refill(now)
        return self._tokens >= 1

    def take(self, now: float) -> None:
        """Count a request that is sent."""
        if self.is_limited(now):
            self._refill(now)
            self._tokens -= 1

    def refund(self) -> None:
        """Count a request no longer: it did not reach the upstream."""
        self._tokens = min(self._capacity(), self._tokens + 1)

    def wait_s(self, now: float) -> float:
        """Return how long until a request may be sent, in seconds."""
        if self.may_send(now):
            return 0.0
        return (1 - self._tokens) / self.local_per_s if self.local_per_s else math.inf

    def ready_for_s(self, now: float) -> float:
        """Return for how long a request could have been sent, in seconds."""
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
