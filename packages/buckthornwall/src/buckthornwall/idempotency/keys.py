"""Text form of idempotency keys, which name the instance that issued them."""

import hmac
from dataclasses import dataclass

from buckthornwall.utils import Incarnation, NodeId

__all__ = ["IdempotencyKey", "KeyCodec"]

VERSION = "bw1"
SEPARATOR = "."
MAC_CHARS = 20


@dataclass(frozen=True)
class IdempotencyKey:
    """The issuing instance, its incarnation, and a serial number."""

    owner: NodeId
    incarnation: Incarnation
    serial: int


class KeyCodec:
    """Encodes and decodes keys; a MAC proves that this fleet issued the key.

    Parameters
    ----------
    secret
        Secret shared by the instances of the fleet.
    """

    def __init__(self, secret: str) -> None:
        self.secret = secret.encode()

    def _mac(self, body: str) -> str:
        return hmac.digest(self.secret, body.encode(), "sha256").hex()[:MAC_CHARS]

    def encode(self, key: IdempotencyKey) -> str:
        """Return the text of the key, which is valid in a header."""
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
