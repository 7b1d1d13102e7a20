"""Load of a fleet, from its logs: by second, by engine and by instance.

Many pending prefill tokens ahead of the requests placed on an engine mean that it is
overloaded. Requests of an instance that wait longer than it predicted mean that it
decided on stale reports.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from statistics import median

from .log_lines import LogLine, read_logs

__all__ = [
    "FleetLoad",
    "SecondStats",
    "summarize_load",
    "load_from_logs",
    "format_load",
]

OVERLOADED = "2001"
# Of engines and of instances, the worst first.
MAX_ROWS = 10


@dataclass
class SecondStats:
    """Requests within one second; times to first token in ms."""

    placed: int = 0
    refused: int = 0
    overdue_instances: set[str] = field(default_factory=set)
    expected_ms: list[float] = field(default_factory=list)
    observed_ms: list[float] = field(default_factory=list)


@dataclass
class EngineLoad:
    """Requests placed on one engine, and the maximum load known when placing them."""

    placed: int = 0
    max_pending_prefill: int = 0
    max_in_flight: int = 0


@dataclass
class FleetLoad:
    """Load of a fleet.

    Attributes
    ----------
    started_at : datetime
        Time of the first line.
    seconds : dict
        By seconds since the first line.
    engines : dict
        By id of engine.
    prediction_errors_ms : dict
        By instance, observed minus predicted time to first token, in ms.
    """

    started_at: datetime
    seconds: dict[int, SecondStats] = field(default_factory=dict)
    engines: dict[str, EngineLoad] = field(default_factory=dict)
    prediction_errors_ms: dict[str, list[float]] = field(default_factory=dict)

    def second(self, at: datetime) -> SecondStats:
        """Return the statistics of the second that a time falls into."""
        index = int((at - self.started_at).total_seconds())
        return self.seconds.setdefault(index, SecondStats())


def summarize_load(lines: Iterable[LogLine]) -> FleetLoad | None:
    """Return the load that log lines show, or None if there are no lines."""
    lines = sorted(lines, key=lambda line: line.at)
    if not lines:
        return None
    load = FleetLoad(lines[0].at)
    expected_ms: dict[str, float] = {}
    for line in lines:
        if line.event == "request_placed":
            expected_ms[line.fields["request"]] = float(line.fields["expected_ms"])
            _add_placement(load, line)
        elif line.event == "request_refused":
            load.second(line.at).refused += line.fields.get("code") == OVERLOADED
        elif line.event == "request_finished":
            _add_completion(load, line, expected_ms.pop(line.fields["request"], None))
        elif line.event == "news_overdue":
            load.second(line.at).overdue_instances.add(line.node)
    return load


def _add_placement(load: FleetLoad, line: LogLine) -> None:
    second = load.second(line.at)
    second.placed += 1
    second.expected_ms.append(float(line.fields["expected_ms"]))
    engine = load.engines.setdefault(line.fields["upstream"], EngineLoad())
    engine.placed += 1
    engine.max_pending_prefill = max(
        engine.max_pending_prefill, int(line.fields["unread_before"])
    )
    engine.max_in_flight = max(engine.max_in_flight, int(line.fields["in_flight"]))


def _add_completion(load: FleetLoad, line: LogLine, expected_ms: float | None) -> None:
    first_ms = line.fields.get("first_ms", "")
    if not first_ms or expected_ms is None:
        return
    load.second(line.at).observed_ms.append(float(first_ms))
    load.prediction_errors_ms.setdefault(line.node, []).append(
        float(first_ms) - expected_ms
    )


def format_load(load: FleetLoad) -> list[str]:
    """Return tables of seconds, the most loaded engines and the worst predictions."""
    lines = ["second  placed  refused  expected p50 ms  seen p50 ms  instances overdue"]
    for index, second in sorted(load.seconds.items()):
        lines.append(
            f"{index:6d}  {second.placed:6d}  {second.refused:7d}  "
            f"{_p50(second.expected_ms):>15}  {_p50(second.observed_ms):>11}  "
            f"{len(second.overdue_instances):17d}"
        )
    lines.append("engine  placed  most unread before  most in flight")
    engines = sorted(
        load.engines.items(), key=lambda each: -each[1].max_pending_prefill
    )
    for name, engine in engines[:MAX_ROWS]:
        lines.append(
            f"{name}  {engine.placed}  {engine.max_pending_prefill}"
            f"  {engine.max_in_flight}"
        )
    lines.append("instance  requests  first token later than expected, p50 ms")
    worst = sorted(load.prediction_errors_ms.items(), key=lambda each: -median(each[1]))
    for name, errors_ms in worst[:MAX_ROWS]:
        lines.append(f"{name}  {len(errors_ms)}  {median(errors_ms):.0f}")
    return lines


def _p50(values: list[float]) -> str:
    return f"{median(values):.0f}" if values else ""


def load_from_logs(paths: list[Path]) -> FleetLoad | None:
    """Return the load that log files of instances show.

    Raises
    ------
    SettingsError
        SETTINGS_UNREADABLE if a file cannot be read.
    """
    return summarize_load(read_logs(paths))
