"""Messages about which software version began a stream, encoded like the others."""

from typing import Annotated

import msgspec

from buckthornwall.routing import PoolId
from buckthornwall.utils import SoftwareVersion

__all__ = [
    "MAX_KEY",
    "OriginMessage",
    "OriginQuery",
    "OriginRecords",
    "OriginReply",
    "Reach",
]

MAX_KEY = 2**63 - 1
MAX_MS = 86_400_000

Key = Annotated[int, msgspec.Meta(ge=0, le=MAX_KEY)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=MAX_MS)]
Reach = Annotated[int, msgspec.Meta(ge=0, le=2)]


class OriginRecords(msgspec.Struct, array_like=True, tag="o"):
    """Streams that one version of a pool began, for instances that keep this.

    Attributes
    ----------
    ttl_ms
        For how long the streams may be continued, by their keys.
    """

    pool: PoolId
    version: SoftwareVersion
    ttl_ms: dict[Key, Milliseconds]


class OriginQuery(msgspec.Struct, array_like=True, tag="q"):
    """A question for the origin of a stream.

    Attributes
    ----------
    address
        Where the reply is sent.
    key
        Key of the stream.
    pool
        The only pool that can have begun it, or '' if there are several.
    window_ms
        How long ago it can have begun.
    reach
        Whom a speaker of another zone passes the question on to: 0 nobody, 1 the
        instances that keep records of the key, 2 all members of its zone.
    """

    address: str
    key: Key
    pool: PoolId
    window_ms: Milliseconds
    reach: Reach = 0


class OriginReply(msgspec.Struct, array_like=True, tag="r"):
    """The origin of a stream; who does not know it does not reply."""

    key: Key
    pool: PoolId
    version: SoftwareVersion


OriginMessage = OriginRecords | OriginQuery | OriginReply
