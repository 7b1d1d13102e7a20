"""Event streams, forwarded by complete events and joined by event id."""

import re

__all__ = ["EventJoiner"]

EVENT_END = re.compile(rb"\r?\n\r?\n")
# The end of an event that has any line.
FILLED_EVENT_END = re.compile(rb"[^\r\n]\r?\n\r?\n")
# Lines of events and comments, as the standard on server-sent events has them.
LINES = re.compile(
    rb"(?:[A-Za-z0-9_-]{0,64}:[^\n]*\n|(?:data|event|id|retry)\r?\n|\r?\n)*+"
)
# The beginning of a line that is not complete yet.
LINE_BEGIN = re.compile(rb"[A-Za-z0-9_-]{0,64}(?::.*|\r)?", re.DOTALL)
# An incomplete event of more bytes is none.
MAX_EVENT_BYTES = 256 * 2**10
# Line breaks between two events; an upstream in trouble may send nothing else.
MAX_BLANK_BYTES = 4096
LINE_BREAKS = b"\r\n"
# Longer ids are compared as text.
MAX_ID_DIGITS = 100
EVENT_ID = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


class EventJoiner:
    """Joins the bytes of one or more attempts into complete events, each once.

    Attributes
    ----------
    last_id : str
        Id of the last event returned, or ''.
    event_count : int
        Number of events returned.
    is_event_missing : bool
        Whether an earlier attempt ended inside an event, and none was returned since.
    is_malformed : bool
        Whether this attempt has sent bytes that are no part of an event.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self.event_count = 0
        self._partial = b""
        self.is_event_missing = False
        self.is_malformed = False
        self._resumed = False
        self._blank_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Return the complete events up to the end of `data`."""
        self._count_blank(data)
        data = self._partial + data
        valid = LINES.match(data).end()
        end = 0
        for match in EVENT_END.finditer(data, 0, valid):
            end = match.end()
        if not data[:end].strip(LINE_BREAKS):
            end = 0  # sent with the next event
        self._partial = data[end:]
        self.is_malformed |= (
            len(self._partial) > MAX_EVENT_BYTES
            or self._blank_bytes > MAX_BLANK_BYTES
            or LINE_BEGIN.fullmatch(data, valid) is None
        )
        return self._forward(data[:end]) if end else b""

    def _count_blank(self, data: bytes) -> None:
        is_blank = not data.strip(LINE_BREAKS)
        self._blank_bytes = self._blank_bytes + len(data) if is_blank else 0

    @property
    def partial_bytes(self) -> int:
        """Bytes received after the last complete event."""
        return len(self._partial)

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes so far end inside an event, not only in line breaks."""
        return bool(self._partial.strip(LINE_BREAKS))

    def finish(self) -> bytes:
        """Return the line breaks after the last event of a complete stream."""
        rest, self._partial = self._partial, b""
        return rest

    def resume(self) -> None:
        """Expect another attempt, which continues after `last_id`."""
        self.is_event_missing |= self.is_inside_event
        self._partial = b""
        self.is_malformed = False
        self._blank_bytes = 0
        self._resumed = True

    def _forward(self, events: bytes) -> bytes:
        if self._resumed:
            events = self._drop_duplicates(events)
        ids = EVENT_ID.findall(events)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        self.event_count += len(FILLED_EVENT_END.findall(events))
        self.is_event_missing &= not events
        return events

    def _drop_duplicates(self, events: bytes) -> bytes:
        """Remove events that an earlier attempt has already returned."""
        kept = []
        start = 0
        for match in EVENT_END.finditer(events):
            event = events[start : match.end()]
            start = match.end()
            found = EVENT_ID.search(event)
            if found is None or not self._is_duplicate(found[1].decode("latin-1")):
                kept.append(event)
        return b"".join(kept)

    def _is_duplicate(self, event_id: str) -> bool:
        if _is_number(event_id) and _is_number(self.last_id):
            return int(event_id) <= int(self.last_id)
        return event_id == self.last_id


def _is_number(event_id: str) -> bool:
    is_short = len(event_id) <= MAX_ID_DIGITS
    return is_short and event_id.isascii() and event_id.isdecimal()
