"""The order in which peers are asked to forward a request: a pure function."""

from collections.abc import Collection, Container

from buckthornwall.peers.relay_candidates import RelayCandidate
from buckthornwall.utils import ZoneId, rendezvous_order

__all__ = ["choose_peer"]


def choose_peer(
    request_id: str,
    zone: ZoneId,
    candidates: Collection[RelayCandidate],
    tried: Container[str],
    failed: Container[str],
) -> RelayCandidate | None:
    """Return the next peer for a request, or None if there is none.

    Peers of other zones come after those of this zone, since bytes between zones are
    priced, and peers that failed a moment ago come last. Otherwise the hash of the
    request decides, so that the load is spread.

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
    order.sort(
        key=lambda address: (address in failed, by_address[address].zone != zone)
    )
    return by_address[order[0]] if order else None
