"""What connections, heads and requests take beside the bytes that clients send."""

__all__ = ["CONNECTION_BYTES", "REQUEST_BYTES", "growing_bytes", "head_bytes"]

# Socket, task and buffers of a connection.
CONNECTION_BYTES = 8 * 2**10
# Tasks and state of a request that is being answered, and its upstream connection.
REQUEST_BYTES = 24 * 2**10
# Name and value of a header line as objects, as received and as forwarded.
HEADER_LINE_BYTES = 384
# A buffer that grows has room for this fraction more.
GROWTH_FRACTION = 8


def head_bytes(size: int, lines: int) -> int:
    """Return what a head of `size` bytes takes once it is parsed and forwarded."""
    return 2 * size + HEADER_LINE_BYTES * lines


def growing_bytes(size: int) -> int:
    """Return what a buffer of `size` bytes takes that has grown to that size."""
    return size + size // GROWTH_FRACTION
