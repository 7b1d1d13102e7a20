"""Writes lines to a pipe without blocking if its reader stops reading."""

import os
import select

__all__ = ["PipeWriter"]

# POSIX (PIPE_BUF): a writable pipe accepts this many bytes in one write.
ATOMIC_BYTES = 4096


class PipeWriter:
    """Writes lines to a descriptor without blocking.

    A line is dropped and counted while the pipe is full; the count is written with
    the first line after that. Lines over `ATOMIC_BYTES` are truncated.

    Parameters
    ----------
    descriptor
        Descriptor of an open pipe, file or terminal.
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
            self.dropped += 1  # the reader has closed the pipe

    def _has_room(self) -> bool:
        return any(event & select.POLLOUT for _, event in self._poll.poll(0))
