"""How much work lies at an upstream, as far as this instance knows."""

from dataclasses import dataclass, field

from .waits import Waits

__all__ = ["NO_PEERS", "Load", "LoadReport", "PeerLoad"]

# A report older than this says nothing that own counts do not say better.
MAX_REPORT_AGE_S = 1.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an upstream said of itself: requests running, waiting, and slots."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """What other instances have sent there and not yet got back.

    `pending_prefill` gives the prompt tokens still to be read, by rank, and
    `pause_sensitive` how many of the requests are streams whose pauses must be short.
    `oldest_wait_s` tells, by rank, how long the oldest request has waited for its first
    token, in seconds. `memory` counts the tokens that the requests take in the engine's
    memory.
    """

    requests: int = 0
    pending_prefill: dict[int, int] = field(default_factory=dict)
    pause_sensitive: int = 0
    oldest_wait_s: dict[int, float] = field(default_factory=dict)
    memory: int = 0


NO_PEERS = PeerLoad()


class Load:
    """Counts of one upstream.

    Attributes
    ----------
    requests : int
        Requests of this instance in flight there.
    pause_sensitive : int
        Those of them whose pauses must be short.
    pending_prefill : dict
        By rank, the prompt tokens of this instance sent there whose first
        token is due.
    memory : int
        Tokens that the requests of this instance take in the engine's memory.
    waits : Waits
        How long requests of this instance have waited there.
    peers : PeerLoad
        The same over the other instances, as last told.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.pause_sensitive = 0
        self.pending_prefill: dict[int, int] = {}
        self.memory = 0
        self.waits = Waits()
        self.peers = NO_PEERS
        self.report: LoadReport | None = None
        self._report_at = 0.0
        self._requests_at_report = 0

    def record_report(self, report: LoadReport, now: float) -> None:
        """Note what came with a reply at `now`."""
        self.report = report
        self._report_at = now
        self._requests_at_report = self.requests

    def add_pending_prefill(self, rank: int, tokens: int) -> None:
        """Count prompt tokens of a rank, or no longer if negative."""
        left = self.pending_prefill.get(rank, 0) + tokens
        if left > 0:
            self.pending_prefill[rank] = left
        else:
            self.pending_prefill.pop(rank, None)

    def total_pause_sensitive(self) -> int:
        """Return the streams there whose pauses must be short."""
        return self.pause_sensitive + self.peers.pause_sensitive

    def total_memory_tokens(self) -> int:
        """Return the tokens of memory that requests there take."""
        return self.memory + self.peers.memory

    def in_flight(self, now: float) -> int:
        """Return the best guess of the requests there, running or waiting."""
        counted = self.requests + self.peers.requests
        if self.report is None or now - self._report_at > MAX_REPORT_AGE_S:
            return counted
        reported = self.report.running + self.report.waiting
        since = self.requests - self._requests_at_report
        return max(counted, reported + since)

    def report_age_ms(self, now: float) -> int | str:
        """Return how old the upstream's own report is, or '' without any."""
        return "" if self.report is None else round((now - self._report_at) * 1000)

    def waiting(self, now: float) -> int:
        """Return the requests that the upstream said wait there for a slot."""
        if self.report is None or now - self._report_at > MAX_REPORT_AGE_S:
            return 0
        return self.report.waiting

    def oldest_wait_before_s(self, rank: int, now: float) -> float:
        """Return how long the oldest request before a new one has waited."""
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
        """Return the prompt tokens that are read before a new one of `rank`."""
        return sum(
            tokens
            for pending_prefill in (self.pending_prefill, self.peers.pending_prefill)
            for other, tokens in pending_prefill.items()
            if other <= rank
        )

    def pending_prefill_after(self, rank: int) -> int:
        """Return the prompt tokens that are read after a new one of `rank`."""
        return self.total_pending_prefill() - self.pending_prefill_before(rank)

    def total_pending_prefill(self) -> int:
        """Return all prompt tokens that wait there to be read."""
        return sum(self.pending_prefill.values()) + sum(
            self.peers.pending_prefill.values()
        )
