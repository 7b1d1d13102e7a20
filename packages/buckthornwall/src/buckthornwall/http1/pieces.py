"""Messages as pieces that are sent in turn, so that bodies are not copied."""

import math
from collections.abc import Iterable, Sequence

import h11
import trio

__all__ = ["encode_pieces", "send_pieces"]

# Less is copied into one piece, which takes one system call.
MAX_JOINED_BYTES = 16_384


def encode_pieces(parser: h11.Connection, events: Iterable[h11.Event]) -> list[bytes]:
    """Return the bytes of events of a message, whose data is not copied if large.

    Raises
    ------
    h11.LocalProtocolError
        If the events are not valid.
    """
    pieces: list[bytes] = []
    for event in events:
        encoded = parser.send_with_data_passthrough(event) or []
        pieces += encoded if isinstance(event, h11.Data) else [b"".join(encoded)]
    if sum(map(len, pieces)) <= MAX_JOINED_BYTES:
        return [b"".join(pieces)]
    return pieces


async def send_pieces(
    sock: trio.socket.SocketType,
    pieces: Sequence[bytes],
    stall_timeout_s: float = math.inf,
) -> None:
    """Send all bytes of some pieces.

    Raises
    ------
    OSError
        If the connection was lost.
    trio.TooSlowError
        If the other side takes nothing for `stall_timeout_s` seconds.
    """
    for piece in pieces:
        view = memoryview(piece)
        while view:
            with trio.fail_after(stall_timeout_s):
                sent = await sock.send(view)
            view = view[sent:]
