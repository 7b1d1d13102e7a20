"""What upstreams state about themselves in their responses."""

from collections.abc import Callable

from buckthornwall.membership import MemberTable
from buckthornwall.platform import decode_notice
from buckthornwall.pools import MAX_REST_S
from buckthornwall.telemetry import log_event
from buckthornwall.utils import Clock, UpstreamId

__all__ = ["NoticeHandler"]


class NoticeHandler:
    """Records in the member table which upstreams leave or want a rest.

    Parameters
    ----------
    members
        The membership table.
    clock
        Source of time.
    announce
        Sends the peers what this instance knows.
    """

    def __init__(
        self, members: MemberTable, clock: Clock, announce: Callable[[], None]
    ) -> None:
        self.members = members
        self.clock = clock
        self.announce = announce

    def receive(
        self, upstream: UpstreamId, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Record the notice in the status and headers of a response, if any."""
        notice = decode_notice(status, {name.lower(): value for name, value in headers})
        if notice is None:
            return
        now = self.clock.now()
        if notice.is_leaving and not self.members.is_leaving(upstream, now):
            log_event("upstream_leaving", "WARNING", upstream=upstream)
            self.record_leaving(upstream)
        if notice.rest_s is not None:
            seconds = min(notice.rest_s, MAX_REST_S)
            log_event("upstream_rest", "WARNING", upstream=upstream, seconds=seconds)
            self.members.mark_resting(upstream, now + seconds)

    def record_leaving(self, upstream: UpstreamId) -> None:
        """Record that an upstream leaves, and announce it."""
        self.members.mark_leaving(upstream, self.clock.now(), first_hand=True)
        self.announce()

    def rest_s(self, upstream: UpstreamId) -> float:
        """Return for how many more seconds an upstream wants no requests."""
        return max(0.0, self.members.resting_until(upstream) - self.clock.now())
