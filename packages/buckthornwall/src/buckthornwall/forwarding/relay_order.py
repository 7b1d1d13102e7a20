"""The order in which peers are asked to forward a request: a pure function."""

from collections.abc import Collection, Container

from buckthornwall.peers.relay_candidates import RelayCandidate
from buckthornwall.utils import ZoneId, rendezvous_order

__all__ = ["choose_peer"]

# Peers of this zone are preferred if they are at least this share of all candidates.
# The few that are left of an isolated zone could not carry its load.
MIN_ZONE_SHARE = 0.2


def choose_peer(
    request_id: str,
    zone: ZoneId,
    candidates: Collection[RelayCandidate],
    tried: Container[str],
    failed: Container[str],
) -> RelayCandidate | None:
    """Return the next peer for a request, or None if there is none.

    Peers of other zones come after those of this zone, unless these are few, since
    bytes between zones are priced. Peers that failed a moment ago come last. Otherwise
    the hash of the request decides, so that the load is spread.

    Parameters
    ----------
    request_id
        Id of the request.
    zone
        The zone of this instance.
    candidates
        Instances that reach upstreams.
    tried
        Addresses of peers that the request was sent to already.
    failed
        Addresses of peers that failed or declined a moment ago.
    """
    by_address = {each.address: each for each in candidates}
    order = rendezvous_order(
        request_id, [address for address in by_address if address not in tried]
    )
    local = {each.address for each in candidates if each.zone == zone}
    if len(local) < MIN_ZONE_SHARE * len(by_address):
        local = set()
    order.sort(key=lambda address: (address in failed, address not in local))
    return by_address[order[0]] if order else None
