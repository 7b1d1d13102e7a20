"""When more urgent requests got nothing while less urgent ones began, from logs.

Each attempt of a caller counts by itself, in the window in which its end was logged.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from .log_lines import LogLine, read_logs

__all__ = ["TierWindow", "find_windows", "urgency_lines"]

WINDOW_S = 5
ENDS = ("request_refused", "request_finished")


@dataclass
class TierWindow:
    """What became of one pool's requests of one tier within a window.

    `without` counts by reason those that got no part of an answer; `begun` those that
    got some.
    """

    begun: int = 0
    without: Counter[str] = field(default_factory=Counter)

    @property
    def share_without(self) -> float:
        """The share of its requests that got nothing."""
        nothing = self.without.total()
        return nothing / max(1, nothing + self.begun)


# By window, pool and tier.
Windows = dict[tuple[int, str, int], TierWindow]


def find_windows(lines: Iterable[LogLine]) -> Windows:
    """Return what became of requests that reached a pool."""
    lines = [line for line in lines if line.event in ENDS and line.pairs.get("pool")]
    windows: Windows = {}
    if not lines:
        return windows
    began = min(line.at for line in lines)
    for line in lines:
        place = int((line.at - began).total_seconds() // WINDOW_S)
        key = (place, line.pairs["pool"], int(line.pairs["tier"]))
        window = windows.setdefault(key, TierWindow())
        if line.pairs.get("first_ms", "").strip('"'):
            window.begun += 1
        else:
            reason = line.pairs.get("code") or line.pairs.get("outcome", "?")
            window.without[reason] += 1
    return windows


def _begun_below(windows: Windows, key: tuple[int, str, int]) -> int:
    """Return how many less urgent requests of the pool began in the window."""
    place, pool, tier = key
    return sum(
        window.begun
        for (other_place, other_pool, other_tier), window in windows.items()
        if (other_place, other_pool) == (place, pool) and other_tier > tier
    )


def urgency_lines(paths: list[Path]) -> list[str]:
    """Return a line for each window in which a tier got less than one below it.

    Raises
    ------
    SettingsError
        SETTINGS_UNREADABLE if a file cannot be read.
    """
    windows = find_windows(read_logs(paths))
    lines = ["from s  pool  tier  begun  nothing  share  less urgent begun  why"]
    for key, window in sorted(windows.items()):
        below = _begun_below(windows, key)
        if not window.without or not below:
            continue
        place, pool, tier = key
        why = " ".join(f"{code}={n}" for code, n in window.without.most_common())
        lines.append(
            f"{place * WINDOW_S:6d}  {pool}  {tier:4d}  {window.begun:5d}  "
            f"{window.without.total():7d}  {window.share_without:5.3f}  "
            f"{below:17d}  {why}"
        )
    if len(lines) == 1:
        return ["no request got nothing while less urgent ones began"]
    return lines
