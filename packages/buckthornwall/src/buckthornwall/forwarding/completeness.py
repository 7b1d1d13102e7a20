"""Whether a reply that has ended is complete.

A reply without length or chunks ends with its connection, which also ends when the
upstream does.
"""

from buckthornwall.http1 import BodyFraming, ExchangeError, ExchangeFailure
from buckthornwall.pools import UpstreamView

from .events import EventJoiner
from .identity import IdentityCheck
from .liveness import LivenessChecks

__all__ = ["CompletenessChecks"]

# The shortest time in which an upstream may end and something else listen in its place.
MIN_RESTART_S = 1.0


class CompletenessChecks:
    """Checks of replies that have ended without an error of the connection.

    Parameters
    ----------
    liveness
        Distinguishes an upstream that ended from a closed connection.
    identity
        Distinguishes it from one that has taken its address since.
    """

    def __init__(self, liveness: LivenessChecks, identity: IdentityCheck) -> None:
        self.liveness = liveness
        self.identity = identity

    async def check_stream(
        self,
        view: UpstreamView,
        framing: BodyFraming | None,
        joiner: EventJoiner,
        unseen_s: float,
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
        await self.check_body(view, framing, unseen_s)

    async def check_body(
        self, view: UpstreamView, framing: BodyFraming | None, unseen_s: float
    ) -> None:
        """Check the body of a reply.

        Parameters
        ----------
        view
            The upstream.
        framing
            What marks the end of the body.
        unseen_s
            For how many seconds its connection may have been closed already.

        Raises
        ------
        ExchangeError
            CLOSED if it may be incomplete, since its upstream ended with it.
        """
        if framing is not BodyFraming.CLOSE:
            return
        if await self.liveness.has_ended(view.entry):
            raise ExchangeError(ExchangeFailure.CLOSED, "with its upstream")
        if unseen_s < MIN_RESTART_S:
            return
        if not await self.identity.is_listening(view.entry):
            detail = "unseen, and perhaps with its upstream"
            raise ExchangeError(ExchangeFailure.CLOSED, detail)
