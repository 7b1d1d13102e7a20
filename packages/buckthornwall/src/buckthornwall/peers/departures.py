"""Peers that have announced their departure."""

from buckthornwall.utils import ZoneId

from .messages import Beacon

__all__ = ["DepartingPeers"]


class DepartingPeers:
    """Peers that are leaving; each repeats its announcement until its process ends.

    Parameters
    ----------
    silence_s
        Seconds without an announcement after which a peer is taken to have ended.
    """

    def __init__(self, silence_s: float) -> None:
        self.silence_s = silence_s
        self._notices: dict[str, tuple[Beacon, float]] = {}

    def receive(self, beacon: Beacon, now: float) -> None:
        """Record the departure announced in a beacon."""
        self._notices[beacon.address] = (beacon, now)

    def forget(self, address: str) -> None:
        """Record that a peer serves, as one that has restarted does."""
        self._notices.pop(address, None)

    def is_leaving(self, address: str, now: float) -> bool:
        """Return whether a peer has recently announced its departure."""
        if address not in self._notices:
            return False
        return now - self._notices[address][1] <= self.silence_s

    def in_zone(self, zone: ZoneId) -> list[str]:
        """Return the addresses of a zone's departing peers."""
        return [
            address
            for address, (beacon, _) in self._notices.items()
            if beacon.zone == zone
        ]

    def expire(self, now: float) -> None:
        """Drop peers that have ended."""
        for address in list(self._notices):
            if not self.is_leaving(address, now):
                del self._notices[address]
