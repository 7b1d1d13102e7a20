"""Event streams, forwarded by whole events and joined by their ids."""

import re

__all__ = ["EventJoiner"]

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


class EventJoiner:
    """Takes the bytes of one or more runs, gives whole events once.

    Attributes
    ----------
    last_id : str
        Id of the last event given, or ''.
    event_count : int
        Events given.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self.event_count = 0
        self._partial = b""
        self._resumed = False

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that `data` completes."""
        data = self._partial + data
        end = 0
        for match in EVENT_END.finditer(data):
            end = match.end()
        self._partial = data[end:]
        return self._forward(data[:end]) if end else b""

    def finish(self) -> bytes:
        """Return what stands behind the last whole event of a whole stream."""
        rest, self._partial = self._partial, b""
        return rest

    def resume(self) -> None:
        """Expect another run, which goes on after `last_id`."""
        self._partial = b""
        self._resumed = True

    def _forward(self, events: bytes) -> bytes:
        if self._resumed:
            events = self._drop_duplicates(events)
        ids = EVENT_ID.findall(events)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        self.event_count += len(EVENT_END.findall(events))
        return events

    def _drop_duplicates(self, events: bytes) -> bytes:
        """Leave out the events that an earlier run gave already."""
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
        if event_id.isdigit() and self.last_id.isdigit():
            return int(event_id) <= int(self.last_id)
        return event_id == self.last_id
