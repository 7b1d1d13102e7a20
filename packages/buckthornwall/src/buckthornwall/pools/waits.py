"""How long requests at one upstream have waited for their first token.

What the counts of pending prefill tokens let expect leaves out much that delays a
prompt: parts that an engine no longer holds, memory that is full, more urgent prompts
that come later. The age of the oldest request that still waits shows all of it.
"""

__all__ = ["Waits"]


class Waits:
    """Requests of one instance that wait at one upstream, by rank.

    One that was overtaken by a later one of its rank is not counted: its answer
    may be lost, and says nothing of what comes after it.
    """

    def __init__(self) -> None:
        self._sent: dict[int, dict[object, float]] = {}

    def begin(self, rank: int, request: object, now: float) -> None:
        """Record that a request was sent at `now`, the latest of its rank."""
        self._sent.setdefault(rank, {})[request] = now

    def end(self, rank: int, request: object, is_served: bool) -> None:
        """Record that a request waits no longer.

        Parameters
        ----------
        rank, request
            As it began.
        is_served
            Whether its first token came; earlier ones are overtaken then.
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
