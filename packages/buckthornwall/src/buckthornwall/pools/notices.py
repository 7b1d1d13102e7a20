"""What upstreams state about themselves in their responses.

An upstream that is leaving states so in all of its responses, while its registration
may lag behind. One that turns a request away may ask for a rest: the instance that it
answered is to send it no request for some seconds.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from buckthornwall.telemetry import log_event
from buckthornwall.utils import Clock, UpstreamId

from .entry import UpstreamEntry, UpstreamState, is_same_incarnation
from .upstream_notices import UpstreamNotices
from .view import UpstreamView

__all__ = ["LeavingUpstreams", "Notice", "NoticeTable"]

# Incarnations of upstreams that stated that they are leaving, by upstream. Any instance
# may relay them, since an incarnation that leaves does not return.
LeavingUpstreams = dict[UpstreamId, str]

# Notices of an upstream whose registration is gone are kept for this long: it may still
# serve, and its registration may only have expired.
RETENTION_S = 600.0
# A registration in an older copy of the store lasts for three heartbeats of 1.2 s if
# its upstream is gone, from the return of the store on.
RESTORED_REGISTRATION_S = 5.0


@dataclass(frozen=True, slots=True)
class Notice:
    """Statements of an upstream about itself in one response.

    `rest_s` is for how many seconds it wants no requests; None if it did not say.
    """

    is_leaving: bool = False
    rest_s: float | None = None


@dataclass(frozen=True, slots=True)
class _Removed:
    """An upstream whose registration was removed, and when in seconds."""

    entry: UpstreamEntry
    notices: UpstreamNotices
    at: float


class NoticeTable:
    """Records the notices of all upstreams.

    Parameters
    ----------
    clock
        Source of time.
    views
        All upstreams by id, kept up to date by the caller.

    Attributes
    ----------
    sample : callable
        Returns a random number from 0 to 1.
    """

    def __init__(self, clock: Clock, views: dict[UpstreamId, UpstreamView]) -> None:
        self.clock = clock
        self.views = views
        self.sample: Callable[[], float] = random.random
        self._removed: dict[UpstreamId, _Removed] = {}

    def record(self, view: UpstreamView, notice: Notice) -> None:
        """Record a notice that this instance received from an upstream."""
        if notice.is_leaving:
            _record_leaving(view, is_from_peer=False)
        if notice.rest_s is not None:
            view.notices.record_rest(notice.rest_s, self.clock.now(), self.sample())
            log_event(
                "upstream_rest", "WARNING", upstream=view.id, seconds=notice.rest_s
            )

    def receive(self, leaving: LeavingUpstreams) -> None:
        """Record which upstreams other instances know to leave."""
        for upstream, incarnation in leaving.items():
            view = self.views.get(upstream)
            if view is not None and view.entry.incarnation == incarnation:
                _record_leaving(view, is_from_peer=True)

    def reports(self) -> LeavingUpstreams:
        """Return the upstreams that leave while they are registered as ready."""
        return {
            view.id: view.entry.incarnation
            for view in self.views.values()
            if view.notices.is_leaving and view.entry.state is UpstreamState.READY
        }

    def retain(self, view: UpstreamView) -> None:
        """Keep the notices of an upstream whose registration is removed."""
        self._removed[view.id] = _Removed(view.entry, view.notices, self.clock.now())

    def keep_leaving(self, view: UpstreamView) -> None:
        """Record that an upstream left although its registration says ready again."""
        _record_leaving(view, is_from_peer=False)

    def doubt_registration(self, entry: UpstreamEntry) -> None:
        """Send nothing to an upstream whose removed registration has returned.

        It is in an older copy of the store. If the upstream is gone, it expires soon.
        """
        removed = self._removed.get(entry.id)
        if removed is None or not is_same_incarnation(removed.entry, entry):
            return
        if removed.entry.state is UpstreamState.LEAVING:
            removed.notices.record_leaving()
        removed.notices.record_rest(RESTORED_REGISTRATION_S, self.clock.now(), 0.0)
        log_event("registration_doubted", "WARNING", upstream=entry.id)

    def restore(self, view: UpstreamView) -> None:
        """Restore the notices of an upstream that is registered again.

        Those of another incarnation are dropped.
        """
        removed = self._removed.pop(view.id, None)
        if removed is not None and is_same_incarnation(removed.entry, view.entry):
            view.notices = removed.notices

    def expire(self) -> None:
        """Drop the notices of upstreams that have been gone for long."""
        oldest = self.clock.now() - RETENTION_S
        for upstream, removed in list(self._removed.items()):
            if removed.at < oldest:
                del self._removed[upstream]


def _record_leaving(view: UpstreamView, is_from_peer: bool) -> None:
    if view.notices.record_leaving():
        log_event(
            "upstream_leaving",
            "WARNING",
            upstream=view.id,
            registered=view.entry.state.value,
            is_from_peer=is_from_peer,
        )
