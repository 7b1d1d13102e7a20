"""Whom a speaker tells the same words."""

from .pacing import ReportKind, ReportPacing

__all__ = ["RecipientGroup"]


class RecipientGroup:
    """One group of recipients: a zone's members, or the speakers of other zones.

    Parameters
    ----------
    is_fleet
        Whether they are told of the fleet, or of the speaker's zone.
    pacing
        When they are told what.

    Attributes
    ----------
    digest : bytes
        The last digest, as it was sent.
    """

    def __init__(self, is_fleet: bool, pacing: ReportPacing) -> None:
        self.is_fleet = is_fleet
        self.pacing = pacing
        self.reset(0.0)

    def reset(self, now: float) -> None:
        """Record that the speaker begins to speak."""
        self.pacing.reset(now)
        self.last_digest = b""
        self._digest_recipients: set[str] = set()

    def new_recipients(self, addresses: list[str]) -> list[str]:
        """Return who has not been sent the last digest, and count them as sent it.

        Without it heartbeats tell them nothing, and two zones' speakers that know of
        each other by turns may never meet a digest.
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
        """Record that a word was told to all."""
        self.pacing.record_sent(kind, len(data), now)
        if kind is ReportKind.DIGEST:
            self.last_digest = data
            self._digest_recipients = set(addresses)
