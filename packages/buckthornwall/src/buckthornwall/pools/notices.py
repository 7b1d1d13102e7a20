"""What upstreams state about themselves in their responses.

An upstream that is leaving states so in all of its responses, while its registration
may lag behind. One that turns a request away may ask for a rest: the instance that it
answered is to send it no request for some seconds.
"""

from dataclasses import dataclass

from buckthornwall.telemetry import log_event
from buckthornwall.utils import Clock

from .view import UpstreamView

__all__ = ["Notice", "NoticeTable"]


@dataclass(frozen=True, slots=True)
class Notice:
    """Statements of an upstream about itself in one response.

    `rest_s` is for how many seconds it wants no requests; None if it did not say.
    """

    is_leaving: bool = False
    rest_s: float | None = None


class NoticeTable:
    """Records the notices of all upstreams.

    Parameters
    ----------
    clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock

    def record(self, view: UpstreamView, notice: Notice) -> None:
        """Record a notice that this instance received from an upstream."""
        if notice.is_leaving and view.notices.record_leaving():
            log_event(
                "upstream_leaving",
                "WARNING",
                upstream=view.id,
                registered=view.entry.state.value,
            )
        if notice.rest_s is not None:
            view.notices.record_rest(notice.rest_s, self.clock.now())
            log_event(
                "upstream_rest", "WARNING", upstream=view.id, seconds=notice.rest_s
            )
