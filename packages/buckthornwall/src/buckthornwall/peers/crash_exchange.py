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
MAX_REPORTS = 32
# Changes reach the others within so many seconds, unless they are lost.
PROPAGATION_S = 0.6
# Between two complete transfers to one instance: at first, and at most.
MIN_RESYNC_INTERVAL_S = 1.0
MAX_RESYNC_INTERVAL_S = 30.0


@dataclass(slots=True)
class _PendingResync:
    """A complete transfer to an instance that knows something else; in seconds."""

    due_at: float
    interval_s: float = MIN_RESYNC_INTERVAL_S


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
        self._pending: dict[str, _PendingResync] = {}

    def note_checksum(self, address: str, checksum: int, now: float) -> None:
        """Compare what another instance knows with what is known here."""
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
        """Let a change reach the others before their checksums count."""
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
