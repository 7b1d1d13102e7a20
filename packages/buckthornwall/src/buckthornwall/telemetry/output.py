"""Writing lines where a reader may stop reading."""

import os
import select

__all__ = ["PipeWriter"]

# POSIX: a pipe that is ready to be written takes this many bytes at once.
ATOMIC_BYTES = 4096


class PipeWriter:
    """Writes whole lines to a descriptor, and never waits for its reader.

    A line that the reader has no room for is dropped and counted; the count is
    written as soon as there is room again.

    Parameters
    ----------
    descriptor
        An open pipe, file or terminal.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, line: str) -> None:
        """Write one line that ends with a line feed, or drop it."""
        if not self._has_room():
            self.dropped += 1
            return
        if self.dropped:
            note = f"level=WARNING event=lines_dropped count={self.dropped}\n"
            self.dropped = 0
            line = note + line
        data = line.encode("utf-8", "replace")
        if len(data) > ATOMIC_BYTES:
            data = data[: ATOMIC_BYTES - 1] + b"\n"
        try:
            os.write(self.descriptor, data)
        except OSError:
            self.dropped += 1  # nobody reads any more; the count is all there is

    def _has_room(self) -> bool:
        return any(event & select.POLLOUT for _, event in self._poll.poll(0))
