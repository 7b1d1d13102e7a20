"""Instances that a request may be forwarded through."""

from dataclasses import dataclass

from buckthornwall.utils import ZoneId

from .aggregation import list_isolated
from .messages import PeerState
from .table import PeerTable

__all__ = ["RelayCandidate", "relay_candidates"]


@dataclass(frozen=True, slots=True)
class RelayCandidate:
    """An instance that reaches upstreams, with the address for its peers."""

    address: str
    zone: ZoneId


def relay_candidates(table: PeerTable, now: float) -> list[RelayCandidate]:
    """Return the live instances that are neither isolated nor leaving.

    All of this zone, and of other zones those that their speakers name.

    Parameters
    ----------
    table
        The peers that this instance knows.
    now
        The time in seconds.
    """
    zones: dict[str, ZoneId] = {}
    if table.is_speaker(now):
        beacons = [received.message for received in table.members.values()]
        remote = list(table.zones.values())
        isolated = set(list_isolated(beacons, remote))
        ready = [each.address for each in beacons if each.state is PeerState.READY]
        relays = {
            zone: each.message.relays.get(zone, ())
            for zone, each in table.zones.items()
        }
    else:
        digest = table.speaker.message
        isolated, ready, relays = set(digest.isolated), digest.members, digest.relays
    zones |= dict.fromkeys(ready, table.zone)
    for zone, speaker in table.other_speakers().items():
        zones.setdefault(speaker, zone)
    for zone, addresses in relays.items():
        for address in addresses:
            zones.setdefault(address, zone)
    return [
        RelayCandidate(address, zone)
        for address, zone in zones.items()
        if address != table.address
        and address not in isolated
        and not table.departures.is_leaving(address, now)
    ]
