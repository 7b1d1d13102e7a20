"""How loaded a fleet was, from its logs: by second, by engine and by instance.

An engine is overfilled where much is unread before the requests that are placed there.
An instance decides by old word where its requests wait longer than it expected.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from statistics import median

from .log_lines import LogLine, read_logs

__all__ = ["FleetLoad", "Second", "find_load", "fleet_load", "load_lines"]

OVERLOADED = "2001"
# Engines and instances that are shown, the worst first.
SHOWN = 10


@dataclass
class Second:
    """What was seen within one second; waits in ms."""

    placed: int = 0
    refused: int = 0
    overdue: set[str] = field(default_factory=set)
    expected_ms: list[float] = field(default_factory=list)
    seen_ms: list[float] = field(default_factory=list)


@dataclass
class EngineLoad:
    """What was placed at one engine; the most that was known to wait there."""

    placed: int = 0
    max_pending_prefill: int = 0
    most_in_flight: int = 0


@dataclass
class FleetLoad:
    """All of it.

    Attributes
    ----------
    seconds : dict
        By seconds since the first line.
    engines : dict
        By engine.
    late_ms : dict
        By instance, how much later first tokens came than expected, in ms.
    """

    began: datetime
    seconds: dict[int, Second] = field(default_factory=dict)
    engines: dict[str, EngineLoad] = field(default_factory=dict)
    late_ms: dict[str, list[float]] = field(default_factory=dict)

    def second(self, at: datetime) -> Second:
        """Return the second that a time falls into."""
        place = int((at - self.began).total_seconds())
        return self.seconds.setdefault(place, Second())


def find_load(lines: Iterable[LogLine]) -> FleetLoad | None:
    """Return what the lines of instances show, or None without any."""
    lines = sorted(lines, key=lambda line: line.at)
    if not lines:
        return None
    load = FleetLoad(lines[0].at)
    expected_ms: dict[str, float] = {}
    for line in lines:
        if line.event == "request_placed":
            expected_ms[line.pairs["request"]] = float(line.pairs["expected_ms"])
            _take_placed(load, line)
        elif line.event == "request_refused":
            load.second(line.at).refused += line.pairs.get("code") == OVERLOADED
        elif line.event == "request_finished":
            _take_finished(load, line, expected_ms.pop(line.pairs["request"], None))
        elif line.event == "news_overdue":
            load.second(line.at).overdue.add(line.node)
    return load


def _take_placed(load: FleetLoad, line: LogLine) -> None:
    second = load.second(line.at)
    second.placed += 1
    second.expected_ms.append(float(line.pairs["expected_ms"]))
    engine = load.engines.setdefault(line.pairs["upstream"], EngineLoad())
    engine.placed += 1
    engine.max_pending_prefill = max(
        engine.max_pending_prefill, int(line.pairs["unread_before"])
    )
    engine.most_in_flight = max(engine.most_in_flight, int(line.pairs["in_flight"]))


def _take_finished(load: FleetLoad, line: LogLine, expected_ms: float | None) -> None:
    first_ms = line.pairs.get("first_ms", "")
    if not first_ms or expected_ms is None:
        return
    load.second(line.at).seen_ms.append(float(first_ms))
    load.late_ms.setdefault(line.node, []).append(float(first_ms) - expected_ms)


def load_lines(load: FleetLoad) -> list[str]:
    """Return a table of seconds, the fullest engines, the worst predictions."""
    lines = ["second  placed  refused  expected p50 ms  seen p50 ms  instances overdue"]
    for place, second in sorted(load.seconds.items()):
        lines.append(
            f"{place:6d}  {second.placed:6d}  {second.refused:7d}  "
            f"{_middle(second.expected_ms):>15}  {_middle(second.seen_ms):>11}  "
            f"{len(second.overdue):17d}"
        )
    lines.append("engine  placed  most unread before  most in flight")
    engines = sorted(
        load.engines.items(), key=lambda each: -each[1].max_pending_prefill
    )
    for name, engine in engines[:SHOWN]:
        lines.append(
            f"{name}  {engine.placed}  {engine.max_pending_prefill}"
            f"  {engine.most_in_flight}"
        )
    lines.append("instance  requests  first token later than expected, p50 ms")
    late = sorted(load.late_ms.items(), key=lambda each: -median(each[1]))
    for name, late_ms in late[:SHOWN]:
        lines.append(f"{name}  {len(late_ms)}  {median(late_ms):.0f}")
    return lines


def _middle(values: list[float]) -> str:
    return f"{median(values):.0f}" if values else ""


def fleet_load(paths: list[Path]) -> FleetLoad | None:
    """Return what log files of instances show.

    Raises
    ------
    SettingsError
        SETTINGS_UNREADABLE if a file cannot be read.
    """
    return find_load(read_logs(paths))
