"""How long instances were behind the newest configuration, from their logs.

An instance is behind from the moment at which any other adopted a newer version until
it adopts one itself. One that stops is left out until it has started again.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path

from .log_lines import LogLine, read_logs

__all__ = ["Behind", "behind_lines", "find_behind"]

MS_PER_S = 1000.0


@dataclass(frozen=True)
class Behind:
    """One instance kept `number` for so long after a newer version was there."""

    lasted: timedelta
    node: str
    number: int
    since: datetime
    adopted: int | None


def find_behind(lines: list[LogLine]) -> list[Behind]:
    """Return the longest time behind of each instance, the longest first."""
    lines = sorted(lines, key=lambda line: line.at)
    first_at = _first_adoptions(lines)
    worst: dict[str, Behind] = {}
    kept: dict[str, int | None] = {}
    for line in lines:
        if line.event in ("starting", "stopping"):
            _note(worst, _behind(line, kept.get(line.node), None, first_at))
            kept[line.node] = None
        elif line.event == "config_adopted":
            number = int(line.pairs["number"])
            _note(worst, _behind(line, kept.get(line.node), number, first_at))
            kept[line.node] = number
    for node, number in kept.items():
        last = LogLine(lines[-1].at, {"event": "", "node": node})
        _note(worst, _behind(last, number, None, first_at))
    return sorted(worst.values(), key=lambda each: each.lasted, reverse=True)


def _first_adoptions(lines: list[LogLine]) -> list[tuple[int, datetime]]:
    """Return when each version was first in force anywhere, by number."""
    first: dict[int, datetime] = {}
    for line in lines:
        if line.event == "config_adopted":
            first.setdefault(int(line.pairs["number"]), line.at)
    return sorted(first.items())


def _behind(
    line: LogLine,
    kept: int | None,
    adopted: int | None,
    first_at: list[tuple[int, datetime]],
) -> Behind | None:
    """Return for how long `kept` was old until a line; None if it was not."""
    if kept is None:
        return None
    newer = [at for number, at in first_at if number > kept and at < line.at]
    if not newer:
        return None
    since = min(newer)
    return Behind(line.at - since, line.node, kept, since, adopted)


def _note(worst: dict[str, Behind], found: Behind | None) -> None:
    if found is None:
        return
    before = worst.get(found.node)
    if before is None or found.lasted > before.lasted:
        worst[found.node] = found


def behind_lines(paths: list[Path]) -> list[str]:
    """Return a line an instance, the one that was behind for longest first.

    Raises
    ------
    SettingsError
        SETTINGS_UNREADABLE if a file cannot be read.
    """
    found = find_behind(list(read_logs(paths)))
    if not found:
        return ["no instance was behind another"]
    return [
        f"{each.lasted.total_seconds() * MS_PER_S:8.0f} ms  {each.node}  "
        f"kept={each.number} adopted={each.adopted or 'none'} "
        f"since={each.since.isoformat()}"
        for each in found
    ]
