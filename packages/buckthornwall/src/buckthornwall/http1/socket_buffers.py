"""What the system may hold that a process has not read yet."""

import socket

__all__ = ["RECEIVE_BUFFER_BYTES", "limit_receive_buffer"]

# Linux doubles the value that is set, for its bookkeeping.
RECEIVE_BUFFER_BYTES = 2**16


def limit_receive_buffer(sock: socket.socket) -> None:
    """Limit what a socket, and those that a listener accepts, may have unread."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES // 2)
