"""Whether this instance can open connections to upstreams at all."""

__all__ = ["Isolation"]


class Isolation:
    """Isolation of this instance from all upstreams.

    Attributes
    ----------
    is_isolated : bool
        Whether it can open connections to no upstream.
    """

    def __init__(self) -> None:
        self.is_isolated = False
