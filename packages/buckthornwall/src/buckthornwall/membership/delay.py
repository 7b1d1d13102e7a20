"""Estimation of messages' delays, without synchronised clocks."""

from buckthornwall.utils import Incarnation, NodeId

__all__ = ["DelayEstimator"]


class DelayEstimator:
    """Estimates how much longer than the quickest one a peer's message took.

    A message that was delayed, by a network partition that healed or by a freeze of
    this process, must not renew a lease that its sender regards as expired. A
    message's offset is its time of receipt, on the local clock, minus its time of
    sending, on the sender's clock. The minimum over all messages is the difference
    of the clocks plus the shortest transit time, and what a message's offset exceeds
    it by is the excess delay. Clocks are assumed to run at the same rate; the lease's
    margin covers the error many times over.
    """

    def __init__(self) -> None:
        self._min_offsets: dict[NodeId, tuple[Incarnation, float]] = {}

    def excess_delay_s(
        self, node: NodeId, incarnation: Incarnation, sent_at: float, now: float
    ) -> float:
        """Return the seconds that a message took beyond the quickest one.

        Parameters
        ----------
        node, incarnation
            The sender; each incarnation has its own clock.
        sent_at
            Time of sending, in seconds on the sender's clock.
        now
            Time of receipt, in seconds on the local clock.
        """
        offset = now - sent_at
        known, min_offset = self._min_offsets.get(node, (incarnation, offset))
        if known != incarnation:
            min_offset = offset
        min_offset = min(min_offset, offset)
        self._min_offsets[node] = (incarnation, min_offset)
        return offset - min_offset
