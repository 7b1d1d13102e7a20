"""Logs each event as one line of key=value pairs, through loguru."""

import time
from typing import Any

from loguru import logger

from buckthornwall.utils import ConfigItem, ConfigNamespace

from .limits import LineLimiter
from .output import PipeWriter

__all__ = ["TelemetrySettings", "configure_logs", "log_event"]

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
LINE_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}\n"
STDOUT = 1
NEEDS_QUOTES = frozenset(' "=\n\t')


class TelemetrySettings(ConfigNamespace):
    """Settings of logs and traces."""

    section = "telemetry"

    log_level = ConfigItem("INFO", "Lowest level that is logged.", choices=LEVELS)
    trace_ratio = ConfigItem(
        0.0, "Fraction of requests to trace, 0 to 1.", minimum=0, maximum=1
    )
    lines_per_s = ConfigItem(
        50.0, "Maximum log lines a second of one event and level.", minimum=1
    )
    lines_burst = ConfigItem(
        200.0, "Maximum burst of log lines of one event and level.", minimum=1
    )


class _SystemClock:
    """Monotonic time for the line limiter, which also works before trio runs."""

    def now(self) -> float:
        return time.monotonic()


class _InstalledLimiter:
    """The limiter in use; None in tests and tools."""

    limiter: LineLimiter | None = None


def configure_logs(settings: TelemetrySettings, node: str) -> None:
    """Log events to standard output, rate-limited and without blocking.

    Parameters
    ----------
    settings
        The ``[telemetry]`` section.
    node
        Name of this instance, written on every line.
    """
    logger.remove()
    line = LINE_FORMAT.replace("{message}", f"node={node} {{message}}")
    writer = PipeWriter(STDOUT)
    logger.add(writer.write, level=settings.log_level, format=lambda record: line)
    _InstalledLimiter.limiter = LineLimiter(
        _SystemClock(), settings.lines_per_s, settings.lines_burst
    )


def _format_value(value: Any) -> str:
    text = str(value)
    if not text or NEEDS_QUOTES & set(text):
        return '"' + text.replace('"', "'").replace("\n", " ") + '"'
    return text


def log_event(event: str, level: str = "INFO", **fields: Any) -> None:
    """Log one event.

    Parameters
    ----------
    event
        Name of the event, in lower case with underscores.
    level
        One of `LEVELS`.
    **fields
        Further pairs; values with white space, quotes or equals signs are quoted.
        ``left_out`` is added with the number of lines of the same event and level
        that were suppressed before this one.
    """
    limiter = _InstalledLimiter.limiter
    if limiter is not None:
        kind = f"{event}.{level}"
        if not limiter.allow(kind):
            return
        suppressed = limiter.take_suppressed(kind)
        if suppressed:
            fields["left_out"] = suppressed
    pairs = [f"event={event}"]
    pairs += [f"{key}={_format_value(value)}" for key, value in fields.items()]
    # Passed as an argument, so that loguru does not format braces in a value.
    logger.log(level, "{}", " ".join(pairs))
