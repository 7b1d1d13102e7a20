"""Instances that have said that they leave."""

from buckthornwall.utils import ZoneId

from .messages import Beacon

__all__ = ["DepartingPeers"]


class DepartingPeers:
    """Who leaves; each says so until it has ended.

    Parameters
    ----------
    silence_s
        Seconds without a word after which one is taken to have ended.
    """

    def __init__(self, silence_s: float) -> None:
        self.silence_s = silence_s
        self._notices: dict[str, tuple[Beacon, float]] = {}

    def receive(self, beacon: Beacon, now: float) -> None:
        """Record that an instance leaves."""
        self._notices[beacon.address] = (beacon, now)

    def forget(self, address: str) -> None:
        """Record that an instance serves, as one that started again does."""
        self._notices.pop(address, None)

    def is_leaving(self, address: str, now: float) -> bool:
        """Tell whether an instance has lately said that it leaves."""
        if address not in self._notices:
            return False
        return now - self._notices[address][1] <= self.silence_s

    def in_zone(self, zone: ZoneId) -> list[str]:
        """Return the addresses of those of a zone."""
        return [
            address
            for address, (beacon, _) in self._notices.items()
            if beacon.zone == zone
        ]

    def expire(self, now: float) -> None:
        """Drop who has ended."""
        for address in list(self._notices):
            if not self.is_leaving(address, now):
                del self._notices[address]
