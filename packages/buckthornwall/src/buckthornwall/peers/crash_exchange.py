"""Gossip of requests that crash upstreams.

Changes are sent at once: from a member to its zone's speaker, and from a speaker to its
members and to other speakers. Losses, and what was sent before an instance started,
show by checksums that differ for longer than changes take; then everything is sent
(anti-entropy).
"""

from dataclasses import dataclass

from buckthornwall.quarantine import CrashReport, QuarantineTable

__all__ = ["CrashExchange"]

# A datagram of so many reports fits a packet of 1,400 bytes, and ten a second the bytes
# that an instance may receive.
MOST_REPORTS = 32
# Changes reach the others within so many seconds, unless they are lost.
SETTLE_S = 0.6
# Between two complete transfers to one instance: at first, and at most.
FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 30.0


@dataclass(slots=True)
class _PendingSync:
    """A complete transfer to an instance that knows something else; in seconds."""

    sync_at: float
    pause_s: float = FIRST_PAUSE_S


class CrashExchange:
    """Which reports are due, and to whom.

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
        self._pending: dict[str, _PendingSync] = {}

    def note_checksum(self, address: str, checksum: int, now: float) -> None:
        """Compare what another instance knows with what is known here."""
        if checksum == self.table.checksum:
            self.was_in_sync = True
            self._pending.pop(address, None)
        elif address not in self._pending:
            knows_nothing = checksum == 0
            wait_s = 0.0 if knows_nothing else SETTLE_S
            self._pending[address] = _PendingSync(now + wait_s)

    def due(
        self, addresses: list[str], now: float
    ) -> list[tuple[str, list[CrashReport]]]:
        """Return the messages that are due: an address, and its reports.

        Parameters
        ----------
        addresses
            Whom this instance sends gossip.
        now
            The time in seconds.
        """
        if not addresses:
            return []
        changed = self.table.take_changed(MOST_REPORTS, now)
        if changed:
            self._await_changes(now)
            return [(address, changed) for address in addresses]
        self._pending = {
            address: sync
            for address, sync in self._pending.items()
            if address in addresses
        }
        messages = []
        for address, sync in self._pending.items():
            if now >= sync.sync_at:
                self._postpone(sync, now)
                messages += [(address, part) for part in self._parts(now)]
        return messages

    def _await_changes(self, now: float) -> None:
        """Let a change reach the others before their checksums count."""
        for sync in self._pending.values():
            sync.sync_at = max(sync.sync_at, now + SETTLE_S)

    def _postpone(self, sync: _PendingSync, now: float) -> None:
        sync.sync_at = now + sync.pause_s
        sync.pause_s = min(LONGEST_PAUSE_S, 2 * sync.pause_s)

    def _parts(self, now: float) -> list[list[CrashReport]]:
        reports = self.table.reports(now)
        return [
            reports[first : first + MOST_REPORTS]
            for first in range(0, len(reports), MOST_REPORTS)
        ]
