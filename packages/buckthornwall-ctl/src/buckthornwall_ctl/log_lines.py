"""Lines of instances' logs, as their pairs."""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

from buckthornwall.codes import ResultCode, SettingsError

__all__ = ["LogLine", "read_logs"]

PAIR = re.compile(r'(\w+)=("[^"]*"|\S*)')
TOLD_FIRST = ("time", "level", "node", "event", "request")


@dataclass(frozen=True)
class LogLine:
    """One event of an instance."""

    at: datetime
    pairs: dict[str, str]

    @property
    def event(self) -> str:
        """What happened."""
        return self.pairs["event"]

    @property
    def node(self) -> str:
        """Where it happened."""
        return self.pairs.get("node", "?")

    def told(self, start: datetime) -> str:
        """Return the line as a part of a story that began at `start`."""
        offset_ms = (self.at - start).total_seconds() * 1000
        rest = " ".join(
            f"{key}={value}"
            for key, value in self.pairs.items()
            if key not in TOLD_FIRST and value not in ("", '""')
        )
        return f"{offset_ms:+9.0f} ms  {self.node}  {self.event}  {rest}"


def read_logs(paths: Iterable[Path]) -> Iterable[LogLine]:
    """Return the lines that have a time and an event, file by file.

    Raises
    ------
    SettingsError
        SETTINGS_UNREADABLE if a file cannot be read.
    """
    for path in paths:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            raise SettingsError(ResultCode.SETTINGS_UNREADABLE, str(error)) from error
        for line in text.splitlines():
            pairs = dict(PAIR.findall(line))
            if "event" in pairs and "time" in pairs:
                yield LogLine(datetime.fromisoformat(pairs["time"]), pairs)
