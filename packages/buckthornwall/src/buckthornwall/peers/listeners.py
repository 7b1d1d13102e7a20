"""Whom a speaker tells the same words."""

from .pacing import WordForm, WordPacing

__all__ = ["Listeners"]


class Listeners:
    """One group of listeners: a zone's members, or the speakers of other zones.

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

    def __init__(self, is_fleet: bool, pacing: WordPacing) -> None:
        self.is_fleet = is_fleet
        self.pacing = pacing
        self.begin(0.0)

    def begin(self, now: float) -> None:
        """Record that the speaker begins to speak."""
        self.pacing.begin(now)
        self.digest = b""
        self._informed: set[str] = set()

    def newcomers(self, addresses: list[str]) -> list[str]:
        """Return who has not been sent the last digest, and count them as sent it.

        Without it heartbeats tell them nothing, and two zones' speakers that know of
        each other by turns may never meet a digest.
        """
        if not self.digest:
            return []
        new = [address for address in addresses if address not in self._informed]
        self._informed = set(addresses)
        return new

    def note(
        self, form: WordForm, data: bytes, addresses: list[str], now: float
    ) -> None:
        """Record that a word was told to all."""
        self.pacing.note(form, len(data), now)
        if form is WordForm.DIGEST:
            self.digest = data
            self._informed = set(addresses)
