"""Gossip of requests that crash upstreams.

Changes are sent at once: from a member to its zone's speaker, and from a speaker to its
members and to other speakers. Lost datagrams, and changes from before an instance
started, show as checksums that differ for longer than changes take to propagate; then
all reports are sent (anti-entropy).
"""

from dataclasses import dataclass

from buckthornwall.quarantine import CrashReport, QuarantineTable

__all__ = ["CrashExchange"]

# A datagram with this many reports fits a packet of 1,400 bytes, and ten of them a
# second fit the bytes that an instance may receive.
MAX_REPORTS = 32
# Time in which changes reach the other instances unless they are lost.
PROPAGATION_S = 0.6
# Bounds of the exponential back-off between two complete transfers to one instance.
MIN_RESYNC_INTERVAL_S = 1.0
MAX_RESYNC_INTERVAL_S = 30.0


@dataclass(slots=True)
class _PendingResync:
    """A complete transfer to a peer whose checksum differs; times in seconds."""

    due_at: float
    interval_s: float = MIN_RESYNC_INTERVAL_S


class CrashExchange:
    """Decides which crash reports are due to which peer.

    Parameters
    ----------
    table
        The crash reports that this instance holds.

    Attributes
    ----------
    was_in_sync : bool
        Whether the checksum has matched that of a peer at least once.
    """

    def __init__(self, table: QuarantineTable) -> None:
        self.table = table
        self.was_in_sync = False
        self._pending: dict[str, _PendingResync] = {}

    def note_checksum(self, address: str, checksum: int, now: float) -> None:
        """Compare the checksum of a peer with the local one, and schedule a resync."""
        if checksum == self.table.checksum:
            self.was_in_sync = True
            self._pending.pop(address, None)
        elif address not in self._pending:
            knows_nothing = checksum == 0
            wait_s = 0.0 if knows_nothing else PROPAGATION_S
            self._pending[address] = _PendingResync(now + wait_s)

    def due(
        self, addresses: list[str], now: float
    ) -> list[tuple[str, list[CrashReport]]]:
        """Return the messages that are due, as address and reports.

        Parameters
        ----------
        addresses
            The peers that this instance sends gossip to.
        now
            The time in seconds.
        """
        if not addresses:
            return []
        changed = self.table.take_changed(MAX_REPORTS, now)
        if changed:
            self._delay_resyncs(now)
            return [(address, changed) for address in addresses]
        self._pending = {
            address: resync
            for address, resync in self._pending.items()
            if address in addresses
        }
        messages = []
        for address, resync in self._pending.items():
            if now >= resync.due_at:
                self._back_off(resync, now)
                messages += [(address, batch) for batch in self._batches(now)]
        return messages

    def _delay_resyncs(self, now: float) -> None:
        """Delay resyncs until a change has had time to propagate."""
        for resync in self._pending.values():
            resync.due_at = max(resync.due_at, now + PROPAGATION_S)

    def _back_off(self, resync: _PendingResync, now: float) -> None:
        resync.due_at = now + resync.interval_s
        resync.interval_s = min(MAX_RESYNC_INTERVAL_S, 2 * resync.interval_s)

    def _batches(self, now: float) -> list[list[CrashReport]]:
        reports = self.table.reports(now)
        return [
            reports[first : first + MAX_REPORTS]
            for first in range(0, len(reports), MAX_REPORTS)
        ]
