"""How often the store must answer, so that a loss of touch with it is found in time.

A change must be in force everywhere a given time after the store acknowledged it, also
if all readers lose the store just before. That time is spent on noticing that their
reads are overdue, on reading in their place, and on the reports and views by which the
other members hear of the change.
"""

from dataclasses import dataclass

from buckthornwall.discovery import DiscoverySettings
from buckthornwall.peers import PeerSettings

__all__ = ["MAX_SUBSTITUTES", "SUBSTITUTE_STAGGER_S", "ReadBudget"]

MS_PER_S = 1000.0
# While reads are overdue, this many members of each zone read too. Each waits for those
# before it in the order of priority, which may be out of touch themselves.
MAX_SUBSTITUTES = 4
SUBSTITUTE_STAGGER_S = 0.1
# An answer of the store that takes a while, and a report that is lost.
ANSWER_MARGIN_S = 0.1
# Two intervals at which members look for what is due, a read and a view.
READ_AND_VIEW_S = 0.35
# Shortest time between two answers for which a reader may be asked.
MIN_CYCLE_S = 0.1


@dataclass(slots=True)
class ReadBudget:
    """The shares of the time in which a change must be in force everywhere.

    `discovery` and `peers` are the sections of the settings that it follows from.
    """

    discovery: DiscoverySettings
    peers: PeerSettings

    @property
    def cycle_s(self) -> float:
        """The longest time between two answers to a reader that is in touch."""
        wanted_s = (self.discovery.watch_ms + self.discovery.gap_ms) / MS_PER_S
        return min(wanted_s, self.discovery.apply_ms / MS_PER_S - self._takeover_s)

    @property
    def watch_s(self) -> float:
        """The longest duration of a watch."""
        return self.cycle_s - self.discovery.gap_ms / MS_PER_S

    @property
    def overdue_s(self) -> float:
        """The age from which on the newest read of the fleet is overdue."""
        return self.cycle_s + self._margin_s

    @property
    def is_sufficient(self) -> bool:
        """Whether a reader can answer for its reads in time."""
        return self.cycle_s >= self.discovery.gap_ms / MS_PER_S + MIN_CYCLE_S

    @property
    def _margin_s(self) -> float:
        """How much older the newest read looks where its reader is in touch."""
        return self.peers.heartbeat_ms / MS_PER_S + ANSWER_MARGIN_S

    @property
    def _takeover_s(self) -> float:
        """The time from an overdue read until a change is in force everywhere."""
        report_s = (self.peers.beacon_ms + self.peers.heartbeat_ms) / MS_PER_S
        last_substitute_s = (MAX_SUBSTITUTES - 1) * SUBSTITUTE_STAGGER_S
        return self._margin_s + last_substitute_s + READ_AND_VIEW_S + report_s
