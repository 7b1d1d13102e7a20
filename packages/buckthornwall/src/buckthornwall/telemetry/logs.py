"""One line of key=value pairs for each event, through loguru."""

import sys
from typing import Any

from loguru import logger

from buckthornwall.utils import ConfigItem, ConfigNamespace

__all__ = ["TelemetrySettings", "configure_logs", "log_event"]

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
LINE = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}\n"
NEEDS_QUOTES = frozenset(' "=\n\t')


class TelemetrySettings(ConfigNamespace):
    """Settings of logs and traces."""

    section = "telemetry"

    log_level = ConfigItem("INFO", "Least level that is logged.", choices=LEVELS)
    trace_ratio = ConfigItem(
        0.0, "Share of requests to trace, 0 to 1.", minimum=0, maximum=1
    )


def configure_logs(level: str) -> None:
    """Send events of `level` and above to standard error."""
    logger.remove()
    logger.add(sys.stderr, level=level, format=lambda record: LINE)


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
        Further pairs; a value with blanks is quoted.
    """
    pairs = [f"event={event}"]
    pairs += [f"{key}={_value(value)}" for key, value in fields.items()]
    # The line is an argument, so that braces in a value are not formatted.
    logger.log(level, "{}", " ".join(pairs))
