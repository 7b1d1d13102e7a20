"""Track how long requests at one upstream have waited for their first token.

Counts of pending prefill tokens miss much that delays a prompt: segments evicted from
the prefix cache, full memory, more urgent prompts that arrive later. The age of the
oldest request that still waits includes all of it.
"""

__all__ = ["Waits"]


class Waits:
    """Requests of one instance that wait at one upstream, by rank.

    A request overtaken by a later one of its rank is not counted: its response may be
    lost, and then its age does not predict the wait of new requests.
    """

    def __init__(self) -> None:
        self._sent: dict[int, dict[object, float]] = {}

    def begin(self, rank: int, request: object, now: float) -> None:
        """Record that a request was sent at `now`, later than all of its rank."""
        self._sent.setdefault(rank, {})[request] = now

    def end(self, rank: int, request: object, is_served: bool) -> None:
        """Record that a request no longer waits.

        Parameters
        ----------
        rank, request
            As passed to `begin`.
        is_served
            Whether its first token arrived; earlier requests of its rank are overtaken
            then.
        """
        waiting = self._sent.get(rank, {})
        sent_at = waiting.pop(request, None)
        if not is_served or sent_at is None:
            return
        for other, at in list(waiting.items()):
            if at > sent_at:
                break
            del waiting[other]

    def oldest_wait_s(self, now: float) -> dict[int, float]:
        """Return by rank how long the oldest request has waited, in seconds."""
        return {
            rank: now - next(iter(waiting.values()))
            for rank, waiting in self._sent.items()
            if waiting
        }
