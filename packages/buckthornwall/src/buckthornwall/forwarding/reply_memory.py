"""Memory that replies take until they are delivered."""

from typing import Self

from buckthornwall.capacity import Holding, MemoryBudget, MemoryFull, growing_bytes
from buckthornwall.http1 import ExchangeError, ExchangeFailure

__all__ = ["HeldReply", "ReplyMemory"]

MAX_BODY_BYTES = 4 * 2**20
# Replies of this size are always held.
FREE_BYTES = 64 * 2**10
# What all larger ones may take beyond that, together.
MAX_SHARED_BYTES = 16 * 2**20


class HeldReply:
    """The memory of one reply, until it is delivered or dropped."""

    def __init__(self, memory: "ReplyMemory", holding: Holding) -> None:
        self.memory = memory
        self.holding = holding
        self.reserved = 0

    def grow(self, size: int) -> None:
        """Reserve what a body of `size` bytes takes.

        Raises
        ------
        ExchangeError
            MALFORMED if it is too large by itself, or beside what else is held.
        """
        if size > MAX_BODY_BYTES:
            raise ExchangeError(ExchangeFailure.MALFORMED, "reply too large")
        more = max(0, size - FREE_BYTES) - self.reserved
        if more <= 0:
            self.holding.charge(growing_bytes(size))
            return
        if self.memory.shared_bytes + more > MAX_SHARED_BYTES:
            raise ExchangeError(ExchangeFailure.MALFORMED, "replies too large together")
        try:
            self.holding.resize(growing_bytes(size))
        except MemoryFull as error:
            detail = "replies too large beside requests"
            raise ExchangeError(ExchangeFailure.MALFORMED, detail) from error
        self.memory.shared_bytes += more
        self.reserved += more

    def __enter__(self) -> Self:
        """Return the memory of the reply."""
        return self

    def __exit__(self, *raised: object) -> None:
        """Release what is held."""
        self.close()

    def close(self) -> None:
        """Release what is reserved."""
        self.memory.shared_bytes -= self.reserved
        self.reserved = 0
        self.holding.close()


class ReplyMemory:
    """The memory of all replies of an instance.

    Parameters
    ----------
    budget
        The account of what is held for clients.

    Attributes
    ----------
    shared_bytes : int
        Bytes of large replies beyond what each may take anyway.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.shared_bytes = 0

    def hold(self) -> HeldReply:
        """Return the memory of one reply; its owner closes it."""
        return HeldReply(self, self.budget.hold(is_reply=True))
