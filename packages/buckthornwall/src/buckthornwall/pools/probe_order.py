"""The upstreams that are probed to find whether this instance is isolated."""

import random
from collections import Counter
from collections.abc import Collection, Iterable

from buckthornwall.utils import UpstreamId

from .view import UpstreamView

__all__ = ["probe_order"]

# As many upstreams are probed, and more only to cover each pool and zone.
MAX_PROBES = 6


def probe_order(
    views: Iterable[UpstreamView],
    failed: Collection[UpstreamId],
    rng: random.Random,
) -> list[UpstreamView]:
    """Return the upstreams of one round of probes, spread over pools and zones.

    Parameters
    ----------
    views
        All registered upstreams; those that leave are not probed.
    failed
        Upstreams that failed a moment ago. They come last, since others tell more.
    rng
        Source of the order among equals.
    """
    rest = [view for view in views if not view.is_leaving]
    rng.shuffle(rest)
    pools, zones = Counter(), Counter()

    def covered(view: UpstreamView) -> tuple[bool, int, bool]:
        pool, zone = pools[view.entry.pool], zones[view.entry.zone]
        return bool(pool and zone), pool + zone, view.id in failed

    chosen: list[UpstreamView] = []
    while rest:
        view = min(rest, key=covered)
        if len(chosen) >= MAX_PROBES and covered(view)[0]:
            break
        rest.remove(view)
        chosen.append(view)
        pools[view.entry.pool] += 1
        zones[view.entry.zone] += 1
    return sorted(chosen, key=lambda view: view.id in failed)
