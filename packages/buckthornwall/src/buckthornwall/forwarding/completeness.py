"""Whether a reply that has ended is complete.

A reply without length or chunks ends with its connection, which also ends when the
upstream does.
"""

from buckthornwall.http1 import BodyFraming, ExchangeError, ExchangeFailure
from buckthornwall.pools import UpstreamView

from .events import EventJoiner
from .liveness import LivenessChecks

__all__ = ["CompletenessChecks"]


class CompletenessChecks:
    """Checks of replies that have ended without an error of the connection.

    Parameters
    ----------
    liveness
        Distinguishes an upstream that ended from a closed connection.
    """

    def __init__(self, liveness: LivenessChecks) -> None:
        self.liveness = liveness

    async def check_stream(
        self,
        view: UpstreamView,
        framing: BodyFraming | None,
        joiner: EventJoiner,
    ) -> None:
        """Check an event stream; the parameters are those of `check_body`.

        Raises
        ------
        ExchangeError
            CLOSED if it is incomplete.
        """
        if joiner.is_inside_event:
            raise ExchangeError(ExchangeFailure.CLOSED, "inside an event")
        if joiner.is_event_missing:
            detail = "without the event that had begun"
            raise ExchangeError(ExchangeFailure.CLOSED, detail)
        has_events = joiner.event_count or joiner.last_id
        if framing is BodyFraming.CLOSE and not has_events:
            raise ExchangeError(ExchangeFailure.CLOSED, "before the first event")
        await self.check_body(view, framing)

    async def check_body(self, view: UpstreamView, framing: BodyFraming | None) -> None:
        """Check the body of a reply.

        Parameters
        ----------
        view
            The upstream.
        framing
            What marks the end of the body.

        Raises
        ------
        ExchangeError
            CLOSED if it may be incomplete, since its upstream ended with it.
        """
        if framing is not BodyFraming.CLOSE:
            return
        if await self.liveness.has_ended(view.entry):
            raise ExchangeError(ExchangeFailure.CLOSED, "with its upstream")
