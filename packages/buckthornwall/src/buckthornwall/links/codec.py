"""CBOR encoding of batches of messages."""

from collections.abc import Iterable

import cbor2
import msgspec

from buckthornwall.codes import PeerError, ResultCode
from buckthornwall.utils import DecodingError, decode_cbor

from .messages import Message

__all__ = ["decode_batch", "encode_batch"]


def encode_batch(messages: Iterable[Message]) -> bytes:
    """Return a frame that holds the messages in order."""
    return cbor2.dumps(
        [msgspec.to_builtins(each, builtin_types=(bytes,)) for each in messages]
    )


def decode_batch(frame: bytes | str) -> list[Message]:
    """Return the messages of a frame.

    Raises
    ------
    PeerError
        If the frame is not CBOR or holds an unknown message.
    """
    if isinstance(frame, str):
        raise PeerError(
            ResultCode.PEER_MESSAGE, "expected a binary frame, got a text frame"
        )
    try:
        return decode_cbor(frame, list[Message])
    except DecodingError as error:
        raise PeerError(ResultCode.PEER_MESSAGE, str(error)) from error
