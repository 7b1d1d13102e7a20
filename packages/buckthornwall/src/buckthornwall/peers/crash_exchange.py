"""When instances tell each other of requests that crash upstreams.

Changes go at once along the way of all news: from a member to its speaker, and from a
speaker to its members and to other speakers. What is lost on the way, and what was told
before an instance came, shows by checksums that differ for longer than changes take;
then everything is told.
"""

from dataclasses import dataclass

from buckthornwall.quarantine import CrashReport, QuarantineTable

__all__ = ["CrashExchange"]

# A datagram of so many reports stays under 1,400 bytes, and so many a turn under the
# bytes that an instance may be told in a second.
MOST_REPORTS = 32
# Changes reach the others within so many seconds, unless they are lost.
SETTLE_S = 0.6
# Between two tellings of everything to one instance: at first, and at most.
FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 30.0


@dataclass(slots=True)
class _Difference:
    """An instance that knows something else; times in seconds."""

    tell_at: float
    pause_s: float = FIRST_PAUSE_S


class CrashExchange:
    """What is to be told, and to whom.

    Parameters
    ----------
    table
        What is known here.

    Attributes
    ----------
    was_in_sync : bool
        Whether this instance has once known what another one knew.
    """

    def __init__(self, table: QuarantineTable) -> None:
        self.table = table
        self.was_in_sync = False
        self._differing: dict[str, _Difference] = {}

    def note_checksum(self, address: str, checksum: int, now: float) -> None:
        """Compare what another instance knows with what is known here."""
        if checksum == self.table.checksum:
            self.was_in_sync = True
            self._differing.pop(address, None)
        elif address not in self._differing:
            knows_nothing = checksum == 0
            wait_s = 0.0 if knows_nothing else SETTLE_S
            self._differing[address] = _Difference(now + wait_s)

    def due(
        self, addresses: list[str], now: float
    ) -> list[tuple[str, list[CrashReport]]]:
        """Return whom to tell what, some reports a message.

        Parameters
        ----------
        addresses
            Who is told news by this instance.
        now
            The time in seconds.
        """
        if not addresses:
            return []
        changed = self.table.take_changed(MOST_REPORTS, now)
        if changed:
            self._await_changes(now)
            return [(address, changed) for address in addresses]
        self._differing = {
            address: difference
            for address, difference in self._differing.items()
            if address in addresses
        }
        told = []
        for address, difference in self._differing.items():
            if now >= difference.tell_at:
                self._postpone(difference, now)
                told += [(address, part) for part in self._parts(now)]
        return told

    def _await_changes(self, now: float) -> None:
        """Let a change reach the others before their checksums count."""
        for difference in self._differing.values():
            difference.tell_at = max(difference.tell_at, now + SETTLE_S)

    def _postpone(self, difference: _Difference, now: float) -> None:
        difference.tell_at = now + difference.pause_s
        difference.pause_s = min(LONGEST_PAUSE_S, 2 * difference.pause_s)

    def _parts(self, now: float) -> list[list[CrashReport]]:
        reports = self.table.reports(now)
        return [
            reports[first : first + MOST_REPORTS]
            for first in range(0, len(reports), MOST_REPORTS)
        ]
