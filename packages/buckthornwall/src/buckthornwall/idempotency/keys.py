"""The text form of an idempotency key, which names its owner."""

import hmac
from dataclasses import dataclass

from buckthornwall.utils import Incarnation, NodeId

__all__ = ["IdempotencyKey", "KeyCodec"]

VERSION = "bw1"
SEPARATOR = "."
MAC_CHARS = 20


@dataclass(frozen=True)
class IdempotencyKey:
    """Owner, the owner's incarnation, and a serial number of the owner's."""

    owner: NodeId
    incarnation: Incarnation
    serial: int


class KeyCodec:
    """Writes and reads keys; a code proves that this fleet issued one.

    Parameters
    ----------
    secret
        The secret that the instances of the fleet share.
    """

    def __init__(self, secret: str) -> None:
        self.secret = secret.encode()

    def _mac(self, body: str) -> str:
        return hmac.digest(self.secret, body.encode(), "sha256").hex()[:MAC_CHARS]

    def encode(self, key: IdempotencyKey) -> str:
        """Return the key's text, safe in a header."""
        body = SEPARATOR.join(
            [VERSION, key.owner, f"{key.incarnation:x}", f"{key.serial:x}"]
        )
        return body + SEPARATOR + self._mac(body)

    def decode(self, text: str) -> IdempotencyKey | None:
        """Return the key, or None if this fleet did not issue the text."""
        body, _, mac = text.rpartition(SEPARATOR)
        if not hmac.compare_digest(self._mac(body).encode(), mac.encode()):
            return None
        version, owner, incarnation, serial = body.split(SEPARATOR)
        if version != VERSION:
            return None
        return IdempotencyKey(
            NodeId(owner), Incarnation(int(incarnation, 16)), int(serial, 16)
        )
