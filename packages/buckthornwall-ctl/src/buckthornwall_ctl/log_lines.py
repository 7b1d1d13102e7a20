"""Log lines of instances, parsed into fields."""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

from buckthornwall.codes import ResultCode, SettingsError

__all__ = ["LogLine", "read_logs"]

FIELD = re.compile(r'(\w+)=("[^"]*"|\S*)')
PREFIX_KEYS = ("time", "level", "node", "event", "request")


@dataclass(frozen=True)
class LogLine:
    """A logged event of an instance."""

    at: datetime
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """Name of the event."""
        return self.fields["event"]

    @property
    def node(self) -> str:
        """Id of the instance."""
        return self.fields.get("node", "?")

    def format(self, start: datetime) -> str:
        """Return the line as an entry of a timeline that begins at `start`."""
        offset_ms = (self.at - start).total_seconds() * 1000
        other_fields = " ".join(
            f"{key}={value}"
            for key, value in self.fields.items()
            if key not in PREFIX_KEYS and value not in ("", '""')
        )
        return f"{offset_ms:+9.0f} ms  {self.node}  {self.event}  {other_fields}"


def read_logs(paths: Iterable[Path]) -> Iterable[LogLine]:
    """Yield the lines that have a time and an event, file by file.

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
            fields = dict(FIELD.findall(line))
            if "event" in fields and "time" in fields:
                yield LogLine(datetime.fromisoformat(fields["time"]), fields)
