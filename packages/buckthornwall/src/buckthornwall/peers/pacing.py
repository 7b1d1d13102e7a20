"""How often a speaker tells what, within the bytes that its recipients are sent."""

from enum import Enum

__all__ = ["ReportKind", "ReportPacing"]

# Where whole digests cannot come with every turn, they take this part of the bytes and
# counts the rest: members' addresses change by the minute, counts with every request.
DIGEST_SHARE = 0.25
# Digests are never further apart, in seconds: counts name upstreams by the list that a
# digest gave, so who missed one goes by old counts for that long.
MAX_DIGEST_INTERVAL_S = 2.0
# A new speaker is known by its digests alone, and datagrams are lost: it tells them as
# often as the bytes allow for so many seconds.
NEW_SPEAKER_S = 3.0


class ReportKind(Enum):
    """What a speaker tells at one turn."""

    DIGEST = "digest"  # everything
    COUNTS = "counts"  # work, parts of prompts and what is newest
    HEARTBEAT = "heartbeat"  # what is newest


class ReportPacing:
    """What is due to one group of recipients; times are in seconds.

    Parameters
    ----------
    interval_s
        Seconds between two turns of the speaker.
    heartbeat_s
        The longest time without a word.
    bytes_per_s
        Most bytes that one listener is sent in a second.
    """

    def __init__(
        self, interval_s: float, heartbeat_s: float, bytes_per_s: float
    ) -> None:
        self.interval_s = interval_s
        self.heartbeat_s = heartbeat_s
        self.bytes_per_s = bytes_per_s
        self.reset(0.0)

    def reset(self, now: float) -> None:
        """Start afresh: who speaks from now on tells everything first."""
        never = float("-inf")
        self.active_since = now
        self._sizes = {ReportKind.DIGEST: 0, ReportKind.COUNTS: 0}
        self._sent_at = dict.fromkeys(ReportKind, never)

    def due(self, now: float) -> ReportKind | None:
        """Return what is to be told at this turn, or None for nothing."""
        due_by = now + self.interval_s / 2  # timers are late by a little
        if due_by - self._sent_at[ReportKind.DIGEST] >= self.digest_interval_s(now):
            return ReportKind.DIGEST
        if due_by - self._last_sent_at(ReportKind.COUNTS) >= self.counts_interval_s:
            return ReportKind.COUNTS
        if due_by - self._last_sent_at(ReportKind.HEARTBEAT) >= self.heartbeat_s:
            return ReportKind.HEARTBEAT
        return None

    def record_sent(self, kind: ReportKind, size: int, now: float) -> None:
        """Record that a word of `size` bytes was told to each listener."""
        self._sent_at[kind] = now
        if kind in self._sizes:
            self._sizes[kind] = size

    def _last_sent_at(self, kind: ReportKind) -> float:
        """Return when a kind was told, by itself or in a fuller one."""
        kinds = list(ReportKind)
        return max(self._sent_at[each] for each in kinds[: kinds.index(kind) + 1])

    def digest_interval_s(self, now: float) -> float:
        """Return the time between two digests."""
        digest_s = self._sizes[ReportKind.DIGEST] / self.bytes_per_s
        if digest_s <= self.interval_s:
            return self.interval_s
        if now - self.active_since > NEW_SPEAKER_S:
            digest_s /= DIGEST_SHARE
        return min(digest_s, MAX_DIGEST_INTERVAL_S)

    @property
    def counts_interval_s(self) -> float:
        """The time between two words that hold counts."""
        rate = self.bytes_per_s * (1 - DIGEST_SHARE)
        return max(self.interval_s, self._sizes[ReportKind.COUNTS] / rate)

    def load_interval_s(self, now: float) -> float:
        """Return the time between two words that hold counts, of either kind."""
        return min(self.digest_interval_s(now), self.counts_interval_s)
