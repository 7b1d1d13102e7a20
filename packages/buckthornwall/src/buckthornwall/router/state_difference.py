"""Notices that instances at the same position hold different states.

This must not happen, and nothing else would end it before the next change.
"""

import math
from collections.abc import Iterable

from buckthornwall.discovery.checksum import UNKNOWN_CHECKSUM
from buckthornwall.peers import Beacon, Digest, StateKey, freshness
from buckthornwall.telemetry import log_event

__all__ = ["StateDifference"]

# A difference that goes on is reported, and the store read, at this interval.
REPORT_INTERVAL_S = 10.0


class StateDifference:
    """Whether another instance holds something else at the same position.

    Parameters
    ----------
    max_s
        How long a change may take to be in force everywhere, in seconds.

    Attributes
    ----------
    count : int
        Differences reported so far.
    """

    def __init__(self, max_s: float) -> None:
        self.max_s = max_s
        self.count = 0
        self._since = math.inf
        self._reported_at = -math.inf

    @property
    def is_present(self) -> bool:
        """Whether another instance differed when this was last checked."""
        return self._since < math.inf

    def is_due(
        self,
        key: StateKey,
        checksum: int,
        reports: Iterable[Beacon | Digest],
        now: float,
    ) -> bool:
        """Return whether a difference has lasted and is to be resolved now.

        Parameters
        ----------
        key, checksum
            What is in force at this instance.
        reports
            What others report.
        now
            The time in seconds.
        """
        peer = _differing_peer(key, checksum, reports)
        if peer is None:
            self._since = math.inf
            return False
        self._since = min(self._since, now)
        is_recent = now - self._reported_at < REPORT_INTERVAL_S
        if now - self._since < self.max_s or is_recent:
            return False
        self.count += 1
        self._reported_at = now
        log_event(
            "state_differs",
            "WARNING",
            peer=peer,
            era=key[0],
            number=key[1],
            mark=key[2],
            removal=key[3],
            lasted_ms=round((now - self._since) * 1000),
        )
        return True


def _differing_peer(
    key: StateKey, checksum: int, reports: Iterable[Beacon | Digest]
) -> str | None:
    """Return the address of an instance that differs at the same position."""
    for report in reports:
        is_known = report.state_checksum != UNKNOWN_CHECKSUM
        is_same = report.state_checksum == checksum or not is_known
        if not is_same and freshness(report, key[0]) == key:
            return (
                report.address if isinstance(report, Beacon) else report.freshest_peer
            )
    return None
