"""Configuration lag of instances, from their logs.

An instance lags from the moment at which any instance adopts a newer version until it
adopts a newer one itself. A stopped instance is ignored until it adopts a version.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path

from .log_lines import LogLine, read_logs

__all__ = ["ConfigLag", "format_config_lags", "find_config_lags"]

MS_PER_S = 1000.0


@dataclass(frozen=True)
class ConfigLag:
    """How long an instance kept version `number` after a newer one was adopted."""

    duration: timedelta
    node: str
    number: int
    since: datetime
    adopted: int | None


def find_config_lags(lines: list[LogLine]) -> list[ConfigLag]:
    """Return the longest lag of each instance, in descending order."""
    lines = sorted(lines, key=lambda line: line.at)
    first_adoptions = _first_adoptions(lines)
    longest: dict[str, ConfigLag] = {}
    adopted_numbers: dict[str, int | None] = {}
    for line in lines:
        if line.event in ("starting", "stopping"):
            _keep_longest(
                longest,
                _lag_until(line, adopted_numbers.get(line.node), None, first_adoptions),
            )
            adopted_numbers[line.node] = None
        elif line.event == "config_adopted":
            number = int(line.fields["number"])
            _keep_longest(
                longest,
                _lag_until(
                    line, adopted_numbers.get(line.node), number, first_adoptions
                ),
            )
            adopted_numbers[line.node] = number
    for node, number in adopted_numbers.items():
        last = LogLine(lines[-1].at, {"event": "", "node": node})
        _keep_longest(longest, _lag_until(last, number, None, first_adoptions))
    return sorted(longest.values(), key=lambda each: each.duration, reverse=True)


def _first_adoptions(lines: list[LogLine]) -> list[tuple[int, datetime]]:
    """Return when any instance first adopted each version, sorted by number."""
    first: dict[int, datetime] = {}
    for line in lines:
        if line.event == "config_adopted":
            first.setdefault(int(line.fields["number"]), line.at)
    return sorted(first.items())


def _lag_until(
    line: LogLine,
    current: int | None,
    adopted: int | None,
    first_adoptions: list[tuple[int, datetime]],
) -> ConfigLag | None:
    """Return the lag of version `current` at a line; None if it was the newest."""
    if current is None:
        return None
    newer = [at for number, at in first_adoptions if number > current and at < line.at]
    if not newer:
        return None
    since = min(newer)
    return ConfigLag(line.at - since, line.node, current, since, adopted)


def _keep_longest(longest: dict[str, ConfigLag], lag: ConfigLag | None) -> None:
    if lag is None:
        return
    previous = longest.get(lag.node)
    if previous is None or lag.duration > previous.duration:
        longest[lag.node] = lag


def format_config_lags(paths: list[Path]) -> list[str]:
    """Return a line for each instance, the longest lag first.

    Raises
    ------
    SettingsError
        SETTINGS_UNREADABLE if a file cannot be read.
    """
    lags = find_config_lags(list(read_logs(paths)))
    if not lags:
        return ["no instance was behind another"]
    return [
        f"{each.duration.total_seconds() * MS_PER_S:8.0f} ms  {each.node}  "
        f"kept={each.number} adopted={each.adopted or 'none'} "
        f"since={each.since.isoformat()}"
        for each in lags
    ]
