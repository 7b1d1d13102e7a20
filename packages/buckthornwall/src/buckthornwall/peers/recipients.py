"""Peers that a speaker sends the same reports."""

from .pacing import ReportKind, ReportPacing

__all__ = ["RecipientGroup"]


class RecipientGroup:
    """One group of recipients: a zone's members, or the speakers of other zones.

    Parameters
    ----------
    is_fleet
        Whether reports cover the fleet, not only the speaker's zone.
    pacing
        Decides when which report is due.

    Attributes
    ----------
    last_digest : bytes
        The last digest, as it was sent.
    """

    def __init__(self, is_fleet: bool, pacing: ReportPacing) -> None:
        self.is_fleet = is_fleet
        self.pacing = pacing
        self.reset(0.0)

    def reset(self, now: float) -> None:
        """Start over, as a new speaker does."""
        self.pacing.reset(now)
        self.last_digest = b""
        self._digest_recipients: set[str] = set()

    def new_recipients(self, addresses: list[str]) -> list[str]:
        """Return the peers that have not been sent the last digest; record it as sent.

        Without the digest they cannot read heartbeats, and the speakers of two zones
        that know each other only intermittently may never receive one.
        """
        if not self.last_digest:
            return []
        new = [
            address for address in addresses if address not in self._digest_recipients
        ]
        self._digest_recipients = set(addresses)
        return new

    def record_sent(
        self, kind: ReportKind, data: bytes, addresses: list[str], now: float
    ) -> None:
        """Record that a report was sent to all addresses."""
        self.pacing.record_sent(kind, len(data), now)
        if kind is ReportKind.DIGEST:
            self.last_digest = data
            self._digest_recipients = set(addresses)
