"""Load of one upstream as known to this instance."""

from dataclasses import dataclass, field

from .recent_prefill import RecentPrefill
from .slowdown import Slowdown, SlowdownEstimate
from .waits import Waits

__all__ = ["NO_PEERS", "Load", "LoadReport", "PeerLoad"]

# The counts of the instances are more accurate than an older report of the upstream.
MAX_REPORT_AGE_S = 1.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An upstream's report of its running requests, queued requests, and slots.

    `slowdown` is how long work takes there now, None if the upstream does not say.
    """

    running: int
    waiting: int
    slots: int
    slowdown: Slowdown | None = None


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Work of the peers in flight at one upstream.

    Attributes
    ----------
    requests : int
        Requests in flight.
    pending_prefill : dict
        Prompt tokens not prefilled yet, by rank.
    pause_sensitive : int
        Pause-sensitive streams among the requests.
    oldest_wait_s : dict
        How long the oldest request has waited for its first token, in seconds, by rank.
    memory : int
        Tokens that the requests take in the engine's memory.
    """

    requests: int = 0
    pending_prefill: dict[int, int] = field(default_factory=dict)
    pause_sensitive: int = 0
    oldest_wait_s: dict[int, float] = field(default_factory=dict)
    memory: int = 0


NO_PEERS = PeerLoad()


class Load:
    """Load of one upstream: local work, work of the peers, and its own report.

    Attributes
    ----------
    requests : int
        Requests of this instance in flight there.
    pause_sensitive : int
        Pause-sensitive streams among them.
    pending_prefill : dict
        Prompt tokens of this instance sent there and not prefilled yet, by rank.
    memory : int
        Tokens that the requests of this instance take in the engine's memory.
    slowdown : SlowdownEstimate
        How long work takes there, by the upstream's reports.
    waits : Waits
        How long requests of this instance have waited there.
    recent_prefill : RecentPrefill
        Prompt tokens of this instance sent there recently.
    peers : PeerLoad
        The same over the other instances, as last received.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.pause_sensitive = 0
        self.pending_prefill: dict[int, int] = {}
        self.memory = 0
        self.slowdown = SlowdownEstimate()
        self.waits = Waits()
        self.recent_prefill = RecentPrefill()
        self.peers = NO_PEERS
        self.report: LoadReport | None = None
        self._report_at = 0.0
        self._requests_at_report = 0

    def record_report(self, report: LoadReport, now: float) -> None:
        """Record a report that came with a response at `now`."""
        self.report = report
        self._report_at = now
        if report.slowdown is not None:
            self.slowdown.record(report.slowdown, now)
        self._requests_at_report = self.requests

    def add_pending_prefill(self, rank: int, tokens: int) -> None:
        """Add pending prompt tokens of a rank; a negative number removes them."""
        left = self.pending_prefill.get(rank, 0) + tokens
        if left > 0:
            self.pending_prefill[rank] = left
        else:
            self.pending_prefill.pop(rank, None)

    def total_pause_sensitive(self) -> int:
        """Return the number of pause-sensitive streams there."""
        return self.pause_sensitive + self.peers.pause_sensitive

    def total_memory_tokens(self) -> int:
        """Return the tokens that all requests take in the engine's memory."""
        return self.memory + self.peers.memory

    def in_flight(self, now: float) -> int:
        """Return the estimated number of requests there, running or queued.

        The larger of the counts and the upstream's report, with the requests sent from
        here since then.
        """
        counted = self.requests + self.peers.requests
        if self.report is None or now - self._report_at > MAX_REPORT_AGE_S:
            return counted
        reported = self.report.running + self.report.waiting
        since = self.requests - self._requests_at_report
        return max(counted, reported + since)

    def report_age_ms(self, now: float) -> int | str:
        """Return the age of the upstream's report, or '' without one."""
        return "" if self.report is None else round((now - self._report_at) * 1000)

    def waiting(self, now: float) -> int:
        """Return the number of requests that the upstream reported as queued."""
        if self.report is None or now - self._report_at > MAX_REPORT_AGE_S:
            return 0
        return self.report.waiting

    def oldest_wait_before_s(self, rank: int, now: float) -> float:
        """Return the wait of the oldest request served before a new one of `rank`."""
        return max(
            (
                age
                for oldest in (self.waits.oldest_wait_s(now), self.peers.oldest_wait_s)
                for other, age in oldest.items()
                if other <= rank
            ),
            default=0.0,
        )

    def pending_prefill_before(self, rank: int) -> int:
        """Return the pending tokens that are prefilled before a new one of `rank`."""
        return sum(
            tokens
            for pending_prefill in (self.pending_prefill, self.peers.pending_prefill)
            for other, tokens in pending_prefill.items()
            if other <= rank
        )

    def pending_prefill_after(self, rank: int) -> int:
        """Return the pending tokens that are prefilled after a new one of `rank`."""
        return self.total_pending_prefill() - self.pending_prefill_before(rank)

    def total_pending_prefill(self) -> int:
        """Return the pending prefill tokens of all ranks."""
        return sum(self.pending_prefill.values()) + sum(
            self.peers.pending_prefill.values()
        )
