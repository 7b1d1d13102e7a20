"""When a speaker sends which kind of report, within a rate of bytes."""

from enum import Enum

__all__ = ["ReportKind", "ReportPacing"]

# Where the byte rate does not allow a digest at each interval, digests take this share
# of the bytes and packed loads the rest: members' addresses change by the minute, loads
# with every request.
DIGEST_SHARE = 0.25
# Packed loads refer to the list of upstreams in a digest, so an instance that missed
# the digest uses old loads until the next one.
MAX_DIGEST_INTERVAL_S = 2.0
# A new speaker becomes known only by its digests, and datagrams are lost: during this
# time it sends digests as often as the byte rate allows.
NEW_SPEAKER_S = 3.0


class ReportKind(Enum):
    """A kind of report that a speaker sends."""

    DIGEST = "digest"  # complete
    COUNTS = "counts"  # packed loads, cached prefixes and the newest revision
    HEARTBEAT = "heartbeat"  # the newest revision


class ReportPacing:
    """Decides which report is due to one group of recipients; times in seconds.

    Parameters
    ----------
    interval_s
        Seconds between two calls of `due`.
    heartbeat_s
        Maximum seconds between two reports of any kind.
    bytes_per_s
        Maximum bytes a second to one recipient.
    """

    def __init__(
        self, interval_s: float, heartbeat_s: float, bytes_per_s: float
    ) -> None:
        self.interval_s = interval_s
        self.heartbeat_s = heartbeat_s
        self.bytes_per_s = bytes_per_s
        self.reset(0.0)

    def reset(self, now: float) -> None:
        """Start over: a new speaker sends a digest first."""
        never = float("-inf")
        self.active_since = now
        self._sizes = {ReportKind.DIGEST: 0, ReportKind.COUNTS: 0}
        self._sent_at = dict.fromkeys(ReportKind, never)

    def due(self, now: float) -> ReportKind | None:
        """Return the kind of report that is due now, or None."""
        due_by = now + self.interval_s / 2  # tolerates late timers
        if due_by - self._sent_at[ReportKind.DIGEST] >= self.digest_interval_s(now):
            return ReportKind.DIGEST
        if due_by - self._last_sent_at(ReportKind.COUNTS) >= self.counts_interval_s:
            return ReportKind.COUNTS
        if due_by - self._last_sent_at(ReportKind.HEARTBEAT) >= self.heartbeat_s:
            return ReportKind.HEARTBEAT
        return None

    def record_sent(self, kind: ReportKind, size: int, now: float) -> None:
        """Record that a report of `size` bytes was sent to each recipient."""
        self._sent_at[kind] = now
        if kind in self._sizes:
            self._sizes[kind] = size

    def _last_sent_at(self, kind: ReportKind) -> float:
        """Return when a kind was last sent, by itself or within a fuller kind."""
        kinds = list(ReportKind)
        return max(self._sent_at[each] for each in kinds[: kinds.index(kind) + 1])

    def digest_interval_s(self, now: float) -> float:
        """Return the interval between two digests."""
        digest_s = self._sizes[ReportKind.DIGEST] / self.bytes_per_s
        if digest_s <= self.interval_s:
            return self.interval_s
        if now - self.active_since > NEW_SPEAKER_S:
            digest_s /= DIGEST_SHARE
        return min(digest_s, MAX_DIGEST_INTERVAL_S)

    @property
    def counts_interval_s(self) -> float:
        """The interval between two reports of packed loads."""
        rate = self.bytes_per_s * (1 - DIGEST_SHARE)
        return max(self.interval_s, self._sizes[ReportKind.COUNTS] / rate)

    def load_interval_s(self, now: float) -> float:
        """Return the interval between two reports that hold loads, of either kind."""
        return min(self.digest_interval_s(now), self.counts_interval_s)
