"""The steps of a planned stop."""

from typing import TYPE_CHECKING

import trio

from buckthornwall.peers import PeerState
from buckthornwall.telemetry import log_event

if TYPE_CHECKING:
    from .core import Router

__all__ = ["stop_gracefully"]

# The last responses are cut off this long before the grace period ends.
CUTOFF_MARGIN_S = 0.6
POLL_S = 0.05


async def stop_gracefully(router: "Router") -> None:
    """Announce the stop, serve until the balancer has noticed, and end when idle.

    Parameters
    ----------
    router
        The instance to stop.
    """
    started = router.clock.now()
    stop = router.settings.stop
    log_event("stopping", active=_count_active(router))
    router.state = PeerState.LEAVING
    router.callers.closing = True
    await router.peer_agent.send_reports()
    with trio.move_on_after(stop.notice_s):
        await trio.sleep_forever()
    router.refuses_requests = True
    router.callers.close_idle()
    limit = started + stop.grace_s - CUTOFF_MARGIN_S
    while _count_active(router) and router.clock.now() < limit:
        await trio.sleep(POLL_S)
        router.callers.close_idle()
    log_event(
        "stopped",
        cut=_count_active(router),
        after_ms=round((router.clock.now() - started) * 1000),
    )


def _count_active(router: "Router") -> int:
    """Return the number of requests in progress, those of peers included."""
    return router.callers.active + router.view_server.active
