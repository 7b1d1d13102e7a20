"""State of one upstream."""

from buckthornwall.utils import UpstreamId

from .brittleness import Brittleness
from .engine_speed import EngineSpeed
from .entry import UpstreamEntry, UpstreamState
from .health import Health
from .load import Load
from .prefixes import PrefixCacheEstimate
from .rate_limit import RateLimit
from .reachability import Reachability
from .upstream_notices import UpstreamNotices

__all__ = ["UpstreamView"]

DEFAULT_MEMORY_TOKENS = 300_000


class UpstreamView:
    """Registration, load, health, likely cached prefixes and limits of one upstream.

    `reachability` combines this instance's attempts with the reports of its peers.
    `rate_limit` holds the requests a second that the upstream accepts, and the end of
    its cold start, and `notices` what the upstream has stated about itself.
    `brittleness` limits the requests to one that must not reject many. `speed` is how
    fast it is among the engines of its pool.
    """

    def __init__(self, entry: UpstreamEntry) -> None:
        self.entry = entry
        self.load = Load()
        self.health = Health()
        self.prefixes = PrefixCacheEstimate(DEFAULT_MEMORY_TOKENS)
        self.reachability = Reachability()
        self.rate_limit = RateLimit()
        self.notices = UpstreamNotices()
        self.brittleness = Brittleness()
        self.speed = EngineSpeed()

    def cold_s(self, now: float) -> float:
        """Return how much longer its cold start lasts, in seconds."""
        return max(0.0, self.rate_limit.cold_until - now)

    def slowness(self, now: float) -> float:
        """Return how long work takes there, relative to the pool's usual upstream."""
        return self.load.slowdown.value(now) * self.speed.slowness

    @property
    def is_leaving(self) -> bool:
        """Whether it leaves, by its registration or by its own responses."""
        return self.notices.is_leaving or self.entry.state is UpstreamState.LEAVING

    @property
    def id(self) -> UpstreamId:
        """The id that the upstream is registered under."""
        return self.entry.id
