"""Memory that replies take until they are complete."""

from collections.abc import Iterator
from contextlib import contextmanager

from buckthornwall.http1 import ExchangeError, ExchangeFailure

__all__ = ["HeldReply", "ReplyMemory"]

MAX_BODY_BYTES = 4 * 2**20
# Replies of this size are always held.
FREE_BYTES = 64 * 2**10
# What all larger ones may take beyond that, together.
MAX_SHARED_BYTES = 16 * 2**20


class HeldReply:
    """The memory of one reply whose body is being received."""

    def __init__(self, memory: "ReplyMemory") -> None:
        self.memory = memory
        self.reserved = 0

    def grow(self, size: int) -> None:
        """Reserve what a body of `size` bytes takes.

        Raises
        ------
        ExchangeError
            MALFORMED if it is too large by itself, or beside other large ones.
        """
        if size > MAX_BODY_BYTES:
            raise ExchangeError(ExchangeFailure.MALFORMED, "reply too large")
        more = max(0, size - FREE_BYTES) - self.reserved
        if more <= 0:
            return
        if self.memory.shared_bytes + more > MAX_SHARED_BYTES:
            raise ExchangeError(ExchangeFailure.MALFORMED, "replies too large together")
        self.memory.shared_bytes += more
        self.reserved += more


class ReplyMemory:
    """The memory of all replies of an instance.

    Attributes
    ----------
    shared_bytes : int
        Bytes of large replies beyond what each may take anyway.
    """

    def __init__(self) -> None:
        self.shared_bytes = 0

    @contextmanager
    def hold(self) -> Iterator[HeldReply]:
        """Hold one reply until it has been delivered."""
        held = HeldReply(self)
        try:
            yield held
        finally:
            self.shared_bytes -= held.reserved
