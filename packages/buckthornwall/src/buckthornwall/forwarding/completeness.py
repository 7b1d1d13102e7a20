"""Whether a reply that has ended is complete.

A reply without length or chunks ends with its connection, which also ends when the
upstream does.
"""

from buckthornwall.http1 import BodyFraming, ExchangeError, ExchangeFailure
from buckthornwall.pools import PoolTable, UpstreamView

from .events import EventJoiner
from .liveness import LivenessChecks

__all__ = ["CompletenessChecks"]


class CompletenessChecks:
    """Checks of replies that have ended without an error of the connection.

    Parameters
    ----------
    pools
        Registered upstreams.
    liveness
        Distinguishes an upstream that ended from a closed connection.
    """

    def __init__(self, pools: PoolTable, liveness: LivenessChecks) -> None:
        self.pools = pools
        self.liveness = liveness

    async def check_stream(
        self, view: UpstreamView, framing: BodyFraming | None, joiner: EventJoiner
    ) -> None:
        """Check an event stream.

        Raises
        ------
        ExchangeError
            CLOSED if it is incomplete.
        """
        if joiner.is_inside_event:
            raise ExchangeError(ExchangeFailure.CLOSED, "inside an event")
        has_events = joiner.event_count or joiner.last_id
        if framing is BodyFraming.CLOSE and not has_events:
            raise ExchangeError(ExchangeFailure.CLOSED, "before the first event")
        await self.check_body(view, framing)

    async def check_body(self, view: UpstreamView, framing: BodyFraming | None) -> None:
        """Check the body of a reply.

        Raises
        ------
        ExchangeError
            CLOSED if it may be incomplete, since its upstream ended with it.
        """
        if framing is BodyFraming.CLOSE and await self._has_failed(view):
            raise ExchangeError(ExchangeFailure.CLOSED, "with its upstream")

    async def _has_failed(self, view: UpstreamView) -> bool:
        """Return whether an upstream has ended, other than by a planned departure."""
        is_listed = self.pools.views.get(view.id) is view
        if not is_listed or view.is_leaving:
            return False
        return await self.liveness.has_ended(view.entry)
