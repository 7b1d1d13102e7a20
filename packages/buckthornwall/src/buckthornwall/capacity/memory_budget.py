"""The account of the bytes that an instance holds for its clients.

It is charged before the bytes are read, with what they really take. When it is full,
a request that is not complete gives way: no upstream has seen it. Of those that hold at
least half of what the largest one does, it is the one that has been silent longest.
"""

from collections.abc import Callable
from typing import Self

from buckthornwall.telemetry import log_event
from buckthornwall.utils import Clock

__all__ = ["Holding", "MemoryBudget", "MemoryFull"]

# Requests that hold no more than this have a part of the budget for themselves.
SMALL_BYTES = 64 * 2**10
# Shares of the budget up to which requests are accepted; replies may use all of it.
LARGE_REQUEST_SHARE = 0.625
SMALL_REQUEST_SHARE = 0.75
# Fraction of the largest unfinished request from which on another may give way.
VICTIM_FRACTION = 0.5


class MemoryFull(Exception):
    """There is no room, and nothing that could give way."""


class Holding:
    """What is held for one connection or reply.

    Attributes
    ----------
    size : int
        Bytes that are charged.
    progressed_at : float
        When its client last sent anything, in seconds.
    """

    __slots__ = ("budget", "is_reply", "size", "progressed_at", "on_evicted")

    def __init__(self, budget: "MemoryBudget", is_reply: bool) -> None:
        self.budget = budget
        self.is_reply = is_reply
        self.size = 0
        self.progressed_at = 0.0
        self.on_evicted: Callable[[], None] = _ignore

    def __enter__(self) -> Self:
        """Return the holding."""
        return self

    def __exit__(self, *raised: object) -> None:
        """Release what is held."""
        self.close()

    def resize(self, size: int) -> None:
        """Charge `size` bytes in place of what is charged now.

        Raises
        ------
        MemoryFull
            If there is no room; what is charged stays.
        """
        if size > self.size:
            self.budget.make_room(self, size)
        self.charge(size)

    def charge(self, size: int) -> None:
        """Charge `size` bytes, which are held already, whether there is room or not."""
        self.budget.add(size - self.size)
        if self in self.budget.unfinished:
            self.budget.unfinished_bytes += size - self.size
        self.size = size

    def begin_unfinished(self, on_evicted: Callable[[], None]) -> None:
        """Let the holding give way until `end_unfinished`.

        Parameters
        ----------
        on_evicted
            Frees what is held, and charges what is left.
        """
        self.on_evicted = on_evicted
        self.record_progress()
        self.budget.unfinished.add(self)
        self.budget.unfinished_bytes += self.size

    def end_unfinished(self) -> None:
        """Let the holding give way no longer."""
        if self in self.budget.unfinished:
            self.budget.unfinished.discard(self)
            self.budget.unfinished_bytes -= self.size
        self.on_evicted = _ignore  # it refers to what is held

    def record_progress(self) -> None:
        """Record that the client has sent something."""
        self.progressed_at = self.budget.clock.now()

    def close(self) -> None:
        """Charge nothing any more."""
        self.charge(0)
        self.end_unfinished()


class MemoryBudget:
    """The bytes that are held for all clients.

    Parameters
    ----------
    limit_bytes
        Most bytes that may be held.
    clock
        Source of time.

    Attributes
    ----------
    used_bytes : int
        Bytes that are held.
    peak_bytes, recent_peak_bytes : int
        The most that were, since the start and since memory was last released.
    unfinished : set of Holding
        Those that may give way, whose bytes are `unfinished_bytes`.
    evicted, refused : int
        Requests that gave way, and holdings that were refused room.
    """

    def __init__(self, limit_bytes: float, clock: Clock) -> None:
        self.limit_bytes = limit_bytes
        self.clock = clock
        self.used_bytes = 0
        self.peak_bytes = 0
        self.recent_peak_bytes = 0
        self.unfinished: set[Holding] = set()
        self.unfinished_bytes = 0
        self.evicted = 0
        self.refused = 0

    @property
    def largest_request_bytes(self) -> float:
        """Most bytes that one request may hold beside nothing else."""
        return self.limit_bytes * LARGE_REQUEST_SHARE

    def hold(self, is_reply: bool = False) -> Holding:
        """Return a holding without bytes; its owner closes it."""
        return Holding(self, is_reply)

    def add(self, change: int) -> None:
        """Add to the bytes that are held."""
        self.used_bytes += change
        if self.used_bytes > self.recent_peak_bytes:
            self.recent_peak_bytes = self.used_bytes
            self.peak_bytes = max(self.peak_bytes, self.used_bytes)

    def make_room(self, holding: Holding, size: int) -> None:
        """Let unfinished requests give way until a holding may have `size` bytes.

        Raises
        ------
        MemoryFull
            If that does not suffice, or it would be the next to give way itself.
        """
        limit = self._limit_for(holding, size)
        wanted = self.used_bytes + size - holding.size
        own = holding.size if holding in self.unfinished else 0
        if wanted - (self.unfinished_bytes - own) > limit:
            self._refuse(holding, size, limit)
        while self.used_bytes + size - holding.size > limit:
            victim = self._find_victim(holding, size)
            if victim is holding:
                self._refuse(holding, size, limit)
            self._evict(victim)

    def _limit_for(self, holding: Holding, size: int) -> float:
        if holding.is_reply:
            return self.limit_bytes
        is_small = size <= SMALL_BYTES
        share = SMALL_REQUEST_SHARE if is_small else LARGE_REQUEST_SHARE
        return self.limit_bytes * share

    def _find_victim(self, holding: Holding, size: int) -> Holding:
        """Return the holding that gives way, which may be the one that needs room."""
        sizes = {each: each.size for each in self.unfinished}
        if holding in sizes:
            sizes[holding] = size
        least = max(sizes.values()) * VICTIM_FRACTION
        large = (each for each, held in sizes.items() if held >= least)
        return min(large, key=lambda each: each.progressed_at)

    def _evict(self, victim: Holding) -> None:
        self.evicted += 1
        log_event(
            "request_evicted",
            "WARNING",
            held_bytes=victim.size,
            silent_ms=round((self.clock.now() - victim.progressed_at) * 1000),
            **self._describe(),
        )
        on_evicted = victim.on_evicted
        victim.end_unfinished()
        on_evicted()

    def _refuse(self, holding: Holding, size: int, limit: float) -> None:
        self.refused += 1
        log_event(
            "client_memory_full",
            "WARNING",
            is_reply=holding.is_reply,
            held_bytes=holding.size,
            wanted_bytes=size,
            available_bytes=round(limit),
            **self._describe(),
        )
        raise MemoryFull

    def _describe(self) -> dict[str, int | float]:
        return {
            "used_bytes": self.used_bytes,
            "limit_bytes": self.limit_bytes,
            "unfinished": len(self.unfinished),
            "unfinished_bytes": self.unfinished_bytes,
        }


def _ignore() -> None:
    pass
