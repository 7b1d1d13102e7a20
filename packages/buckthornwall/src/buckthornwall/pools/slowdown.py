"""What an upstream's own statement of its slowdown is still worth at some age.

Upstreams that share their machines with others state with their responses how long work
takes there at that moment. That changes several times a second, and one of many
instances gets a response of an upstream every few seconds, so that most statements have
lost their meaning when the next request is placed. Their mean keeps some.
"""

import math
from typing import NewType

__all__ = ["MAX_SLOWDOWN", "USUAL_SLOWDOWN", "Slowdown", "SlowdownEstimate"]

# How long work takes at an upstream, as a multiple of the time that it usually takes.
Slowdown = NewType("Slowdown", float)

USUAL_SLOWDOWN = Slowdown(1.0)
# A larger or smaller statement is taken as an error of its sender. Nothing is sent to
# an upstream as slow as that before its health checks fail.
MAX_SLOWDOWN = 100.0
# Time constant with which a statement approaches the mean: of several changes a second
# one is likely to have come after this time.
PERSISTENCE_S = 0.2
# Weight of the usual pace in the mean, in statements. Fewer statements than that hardly
# move the mean, as each may fall into a short disturbance.
PRIOR_STATEMENTS = 8.0
# Statements that the mean remembers.
MAX_STATEMENTS = 64.0


class SlowdownEstimate:
    """Slowdown of one upstream by its own statements; times are in seconds.

    The mean is that of the logarithms, so that half and twice the time weigh the same.

    Attributes
    ----------
    is_used : bool
        Whether statements count; otherwise the upstream is taken to be as usual.
    """

    def __init__(self) -> None:
        self.is_used = True
        self.stated: Slowdown | None = None
        self._stated_at = 0.0
        self._mean_log = 0.0
        self._statements = PRIOR_STATEMENTS

    def record(self, stated: Slowdown, now: float) -> None:
        """Record a statement that arrived at `now`."""
        self.stated = stated
        self._stated_at = now
        self._statements = min(MAX_STATEMENTS, self._statements + 1)
        difference = math.log(stated) - self._mean_log
        self._mean_log += difference / self._statements

    def value(self, now: float) -> float:
        """Return the expected slowdown; 1.0 of an upstream that states none."""
        if self.stated is None or not self.is_used:
            return USUAL_SLOWDOWN
        weight = math.exp(-max(0.0, now - self._stated_at) / PERSISTENCE_S)
        log = weight * math.log(self.stated) + (1 - weight) * self._mean_log
        return math.exp(log)
