"""Registrations of upstreams."""

import re
from dataclasses import dataclass
from enum import Enum

from buckthornwall.codes import RecordError, ResultCode
from buckthornwall.routing import PoolId
from buckthornwall.utils import SoftwareVersion, UpstreamId, ZoneId, split_address

__all__ = ["UpstreamEntry", "UpstreamState", "check_entry", "is_same_incarnation"]

# Requests to an upstream carry its id in a header.
HEADER_VALUE = re.compile(r"[!-~]([ -~]{0,198}[!-~])?")
MAX_SLOTS = 1_000_000
MAX_COLD_S = 86_400.0


class UpstreamState(Enum):
    """Whether an upstream accepts new requests."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """One registration of an upstream.

    `cold_s` is how much longer its cold start lasts, in seconds. `incarnation` changes
    when the upstream restarts under the same id; it is empty if unknown. `version` is
    that of its software, empty if it names none and None if it is not known.
    """

    id: UpstreamId
    pool: PoolId
    address: str
    zone: ZoneId
    slots: int
    state: UpstreamState
    cold_s: float = 0.0
    loaded: bool = True
    incarnation: str = ""
    version: SoftwareVersion | None = SoftwareVersion("")


def check_entry(entry: UpstreamEntry) -> None:
    """Check that an entry names an upstream that requests can be sent to.

    Raises
    ------
    RecordError
        RECORD_INVALID; the detail names the field.
    """
    if HEADER_VALUE.fullmatch(entry.id) is None:
        raise RecordError(ResultCode.RECORD_INVALID, "id: expected a header's value")
    try:
        _, port = split_address(entry.address)
    except ValueError as error:
        raise RecordError(ResultCode.RECORD_INVALID, f"address: {error}") from error
    if not port:
        raise RecordError(ResultCode.RECORD_INVALID, "address: port 0")
    if not 1 <= entry.slots <= MAX_SLOTS:
        raise RecordError(ResultCode.RECORD_INVALID, "slots: out of range")
    if not 0 <= entry.cold_s <= MAX_COLD_S:
        raise RecordError(ResultCode.RECORD_INVALID, "cold time: out of range")


def is_same_incarnation(before: UpstreamEntry, now: UpstreamEntry) -> bool:
    """Return whether two registrations under one id are of the same incarnation.

    An entry without an incarnation does not count as a restart, unless it names another
    software version.
    """
    if before.version and now.version and before.version != now.version:
        return False
    return not (before.incarnation and now.incarnation) or (
        before.incarnation == now.incarnation
    )
