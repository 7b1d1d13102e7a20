"""Priority inversions, from logs.

In an inversion more urgent requests are unserved while less urgent ones are served.
Each attempt of a client counts separately, in the window in which its end was logged.
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
    """Outcomes of one pool's requests of one tier within a window.

    `served` counts requests that received at least part of a response, `unserved` those
    that received none, by result code or outcome, with the reason of a refusal.
    """

    served: int = 0
    unserved: Counter[str] = field(default_factory=Counter)

    @property
    def unserved_share(self) -> float:
        """Fraction of the requests that received no response."""
        unserved_total = self.unserved.total()
        return unserved_total / max(1, unserved_total + self.served)


# By window, pool and tier.
Windows = dict[tuple[int, str, int], TierWindow]


def count_by_window(lines: Iterable[LogLine]) -> Windows:
    """Return the outcomes of the requests that reached a pool."""
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
            window.unserved[_reason(line)] += 1
    return windows


def _reason(line: LogLine) -> str:
    """Return why a request was unserved: code or outcome, and what explains it."""
    fields = line.fields
    end = fields.get("code") or fields.get("outcome", "?")
    detail = (fields.get("reason") or fields.get("detail", "")).strip('"')
    return f"{end}/{detail}" if detail.isalpha() else end


def _served_less_urgent(windows: Windows, key: tuple[int, str, int]) -> int:
    """Return how many less urgent requests of the pool were served in the window."""
    index, pool, tier = key
    return sum(
        window.served
        for (other_index, other_pool, other_tier), window in windows.items()
        if (other_index, other_pool) == (index, pool) and other_tier > tier
    )


def format_inversions(paths: list[Path]) -> list[str]:
    """Return a line for each window and tier with a priority inversion.

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
        return ["no request was unserved while less urgent ones were served"]
    return lines
