"""Whether this instance can open connections to upstreams at all."""

from collections.abc import Callable

__all__ = ["Isolation"]


class Isolation:
    """Isolation of this instance from all upstreams.

    Attributes
    ----------
    is_isolated : bool
        Whether it can open connections to no upstream.
    on_isolated : callable
        Called when the isolation begins.
    """

    def __init__(self) -> None:
        self.is_isolated = False
        self.on_isolated: Callable[[], None] = lambda: None
