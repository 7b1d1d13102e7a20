"""Leases that count from when they were sent, without comparing clocks."""

from buckthornwall.utils import Incarnation, NodeId

__all__ = ["DelayEstimator"]


class DelayEstimator:
    """Tells how late a peer's message came.

    A message that was held up, by a cut that healed or by our own freeze, must
    not renew a lease that its sender has given up on meanwhile. The least
    difference ever seen between receipt, on our clock, and sending, on the
    sender's, stands for clocks that differ plus the shortest way; whatever a
    message takes beyond it is excess delay. Rates of clocks are taken as equal,
    which the lease's margin covers many times over.
    """

    def __init__(self) -> None:
        self._min_offsets: dict[NodeId, tuple[Incarnation, float]] = {}

    def excess_delay_s(
        self, node: NodeId, incarnation: Incarnation, sent_at: float, now: float
    ) -> float:
        """Return the seconds by which a message is later than the quickest.

        Parameters
        ----------
        node, incarnation
            The sender; another incarnation has another clock.
        sent_at
            Seconds on the sender's clock.
        now
            Seconds on ours.
        """
        difference = now - sent_at
        known, least = self._min_offsets.get(node, (incarnation, difference))
        if known != incarnation:
            least = difference
        least = min(least, difference)
        self._min_offsets[node] = (incarnation, least)
        return difference - least
