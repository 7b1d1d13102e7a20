"""When more urgent requests got nothing while less urgent ones began, from logs.

Each attempt of a caller counts by itself, in the window in which its end was logged.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from .log_lines import LogLine, read_logs

__all__ = ["TierWindow", "count_by_window", "format_inversions"]

WINDOW_S = 5
END_EVENTS = ("request_refused", "request_finished")


@dataclass
class TierWindow:
    """What became of one pool's requests of one tier within a window.

    `unserved` counts by reason those that got no part of an answer; `served` those that
    got some.
    """

    served: int = 0
    unserved: Counter[str] = field(default_factory=Counter)

    @property
    def unserved_share(self) -> float:
        """The share of its requests that got nothing."""
        unserved_total = self.unserved.total()
        return unserved_total / max(1, unserved_total + self.served)


# By window, pool and tier.
Windows = dict[tuple[int, str, int], TierWindow]


def count_by_window(lines: Iterable[LogLine]) -> Windows:
    """Return what became of requests that reached a pool."""
    lines = [
        line for line in lines if line.event in END_EVENTS and line.fields.get("pool")
    ]
    windows: Windows = {}
    if not lines:
        return windows
    started_at = min(line.at for line in lines)
    for line in lines:
        index = int((line.at - started_at).total_seconds() // WINDOW_S)
        key = (index, line.fields["pool"], int(line.fields["tier"]))
        window = windows.setdefault(key, TierWindow())
        if line.fields.get("first_ms", "").strip('"'):
            window.served += 1
        else:
            reason = line.fields.get("code") or line.fields.get("outcome", "?")
            window.unserved[reason] += 1
    return windows


def _served_less_urgent(windows: Windows, key: tuple[int, str, int]) -> int:
    """Return how many less urgent requests of the pool began in the window."""
    index, pool, tier = key
    return sum(
        window.served
        for (other_index, other_pool, other_tier), window in windows.items()
        if (other_index, other_pool) == (index, pool) and other_tier > tier
    )


def format_inversions(paths: list[Path]) -> list[str]:
    """Return a line for each window in which a tier got less than one below it.

    Raises
    ------
    SettingsError
        SETTINGS_UNREADABLE if a file cannot be read.
    """
    windows = count_by_window(read_logs(paths))
    lines = ["from s  pool  tier  begun  nothing  share  less urgent begun  why"]
    for key, window in sorted(windows.items()):
        less_urgent = _served_less_urgent(windows, key)
        if not window.unserved or not less_urgent:
            continue
        index, pool, tier = key
        why = " ".join(f"{code}={n}" for code, n in window.unserved.most_common())
        lines.append(
            f"{index * WINDOW_S:6d}  {pool}  {tier:4d}  {window.served:5d}  "
            f"{window.unserved.total():7d}  {window.unserved_share:5.3f}  "
            f"{less_urgent:17d}  {why}"
        )
    if len(lines) == 1:
        return ["no request got nothing while less urgent ones began"]
    return lines
