"""The beacon, and the view that a peer may ask for, in CBOR.

Both are arrays on the wire: their names would be more than half of a beacon.
"""

from enum import Enum

import cbor2
import msgspec

from buckthornwall.codes import PeerError, ResultCode
from buckthornwall.pools import UpstreamEntry
from buckthornwall.utils import Incarnation, NodeId, UpstreamId, ZoneId

__all__ = ["Beacon", "PeerState", "PeerView", "decode", "encode"]


class PeerState(Enum):
    """What an instance says of itself."""

    JOINING = 0
    READY = 1
    LEAVING = 2


class Beacon(msgspec.Struct, array_like=True):
    """What an instance tells its peers several times a second.

    `number` is that of the configuration in force, `revision` that of the
    newest news. `loads` gives, for upstreams with work from this instance, the
    requests in flight and, by rank, the prompt tokens still to be read. `known`
    holds addresses of a few other instances.
    """

    node: NodeId
    incarnation: Incarnation
    address: str
    zone: ZoneId
    state: PeerState
    number: int
    revision: int
    loads: dict[UpstreamId, tuple[int, dict[int, int]]]
    known: list[str]


class PeerView(msgspec.Struct, array_like=True):
    """What is in force at an instance; `published` is b'' if not asked for."""

    revision: int
    published: bytes
    entries: list[UpstreamEntry]


def encode(message: Beacon | PeerView) -> bytes:
    """Return a message as bytes."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode(data: bytes, form: type) -> Beacon | PeerView:
    """Return the message that `data` holds.

    Raises
    ------
    PeerError
        PEER_MESSAGE if it is not such a message.
    """
    try:
        return msgspec.convert(cbor2.loads(data), form, builtin_types=(bytes,))
    except (cbor2.CBORError, msgspec.ValidationError, TypeError, EOFError) as error:
        raise PeerError(ResultCode.PEER_MESSAGE, str(error)) from error
