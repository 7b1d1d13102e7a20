"""Log lines when the digest that an instance relies on is overdue."""

from buckthornwall.peers import PeerTable
from buckthornwall.routing import RoutingTable
from buckthornwall.telemetry import log_event

__all__ = ["StalenessMonitor"]

# A speaker's digest only gets older than this if something is wrong.
MAX_STALENESS_S = 1.0


class StalenessMonitor:
    """Logs when the digests of this instance's speaker stop, and when they resume.

    Parameters
    ----------
    peers
        The speaker, and the age of its last digest.
    table
        Holds the number of the configuration in force.
    """

    def __init__(self, peers: PeerTable, table: RoutingTable) -> None:
        self.peers = peers
        self.table = table
        self.stale_since: float | None = None

    def check(self, now: float) -> None:
        """Log a line if the state has changed at `now`, in seconds."""
        age_s = self.peers.staleness_s(now)
        if age_s > MAX_STALENESS_S and self.stale_since is None:
            self.stale_since = now - age_s
            log_event(
                "news_overdue",
                "WARNING",
                speaker=self.peers.speaker_address(now),
                word_age_ms=round(age_s * 1000),
                number=self.table.number,
            )
        elif age_s <= MAX_STALENESS_S and self.stale_since is not None:
            silent_ms = round((now - age_s - self.stale_since) * 1000)
            self.stale_since = None
            log_event("news_heard", silent_ms=silent_ms, number=self.table.number)
