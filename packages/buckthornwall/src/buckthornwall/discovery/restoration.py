"""What is kept when the store has returned from an older copy.

The copy lacks what was written last, and contains what has been removed since. Its
owners write it again, but in the meantime a snapshot would undo what was in force.
"""

from dataclasses import replace

from buckthornwall.pools import (
    PoolTable,
    UpstreamEntry,
    UpstreamState,
    is_same_incarnation,
)

__all__ = ["reconcile_registration"]


def reconcile_registration(pools: PoolTable, entry: UpstreamEntry) -> UpstreamEntry:
    """Return the registration to adopt for one in the first snapshot of an era.

    An upstream that left stays so, by its notice. One whose registration had been
    removed gets no requests for as long as the copied one may last without it. If the
    copy holds another incarnation than the known one, either may be the newer one, so
    the known one is kept until its registration is written again.
    """
    view = pools.views.get(entry.id)
    if view is None:
        pools.notices.doubt_registration(entry)
        return entry
    if not is_same_incarnation(view.entry, entry):
        return view.entry
    has_left = view.entry.state is UpstreamState.LEAVING
    if has_left and entry.state is UpstreamState.READY:
        pools.notices.keep_leaving(view)
    return replace(entry, cold_s=0.0)
