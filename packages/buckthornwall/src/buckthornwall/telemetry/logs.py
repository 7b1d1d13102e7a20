"""One line of key=value pairs for each event, through loguru."""

import time
from typing import Any

from loguru import logger

from buckthornwall.utils import ConfigItem, ConfigNamespace

from .limits import LineLimiter
from .output import PipeWriter

__all__ = ["TelemetrySettings", "configure_logs", "log_event"]

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
LINE = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}\n"
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
    """Monotonic time for the limits, also before trio runs."""

    def now(self) -> float:
        return time.monotonic()


class _InstalledLimiter:
    """The limiter in force; tests and tools run without one."""

    limiter: LineLimiter | None = None


def configure_logs(settings: TelemetrySettings, node: str) -> None:
    """Send events to standard output, bounded and without ever waiting.

    Parameters
    ----------
    settings
        The ``[telemetry]`` section.
    node
        Name of this instance, on every line.
    """
    logger.remove()
    line = LINE.replace("{message}", f"node={node} {{message}}")
    writer = PipeWriter(STDOUT)
    logger.add(writer.write, level=settings.log_level, format=lambda record: line)
    _InstalledLimiter.limiter = LineLimiter(
        _SystemClock(), settings.lines_per_s, settings.lines_burst
    )


def _value(value: Any) -> str:
    text = str(value)
    if not text or NEEDS_QUOTES & set(text):
        return '"' + text.replace('"', "'").replace("\n", " ") + '"'
    return text


def log_event(event: str, level: str = "INFO", **fields: Any) -> None:
    """Log one event.

    Parameters
    ----------
    event
        Its name, in lower case with underscores.
    level
        One of `LEVELS`.
    **fields
        Further pairs; a value with blanks is quoted. ``left_out`` is added
        where lines of the same event and level were left out before this one.
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
    pairs += [f"{key}={_value(value)}" for key, value in fields.items()]
    # The line is an argument, so that braces in a value are not formatted.
    logger.log(level, "{}", " ".join(pairs))
