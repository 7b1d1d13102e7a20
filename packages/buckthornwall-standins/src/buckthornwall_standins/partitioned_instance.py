"""Starts an instance whose paths to upstreams can be cut; for soaks.

Takes the arguments of ``buckthornwall.start``. The file beside the settings that
`cut_path` names holds the cut in force. Only TCP connections that this process opens
to addresses of upstreams are cut, whichever of its modules opens them.
"""

import socket
import sys
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from weakref import WeakKeyDictionary

import trio
from buckthornwall.start import SETTINGS_OPTION
from buckthornwall.start import main as start

__all__ = ["Cut", "Partition", "cut_path", "main"]

UPSTREAM_PREFIX = "127.0.7."
POLL_S = 0.02


class Cut(Enum):
    """How the paths to all upstreams are cut."""

    NONE = "none"
    HANG = "hang"  # new connections hang, open ones pass no data
    RESET = "reset"  # new connections hang, open ones are reset
    REFUSE = "refuse"  # new connections are refused, open ones live on


def cut_path(settings: Path) -> Path:
    """Return the file that holds the cut of the instance with these settings."""
    return settings.with_suffix(".cut")


@dataclass
class Connection:
    """State of a connection to an upstream; `held_up` is lost if it is closed."""

    is_reset: bool = False
    held_up: bytes = b""

    def raise_if_reset(self) -> None:
        """Raise the error that a reset of the connection causes."""
        if self.is_reset:
            raise ConnectionResetError("partitioned")


class Partition:
    """The cut in force, and the connections that it applies to.

    Parameters
    ----------
    path
        File that holds the value of the cut; without it there is none.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.cut = Cut.NONE
        self.connections: WeakKeyDictionary[trio.socket.SocketType, Connection] = (
            WeakKeyDictionary()
        )
        self.is_polling = False

    def read_cut(self) -> None:
        """Put the cut that the file holds into force."""
        try:
            self.cut = Cut(self.path.read_text())
        except FileNotFoundError:
            return
        except ValueError:
            return  # read between the truncation and the write of the file
        if self.cut is Cut.RESET:
            for connection in self.connections.values():
                connection.is_reset = True

    async def poll(self) -> None:
        """Follow the file until cancelled."""
        while True:
            self.read_cut()
            await trio.sleep(POLL_S)

    def install(self, sockets: type) -> None:
        """Replace the methods of trio's class of sockets that the cut applies to."""
        connect, send, recv = sockets.connect, sockets.send, sockets.recv
        is_readable = sockets.is_readable

        async def cut_connect(sock: trio.socket.SocketType, address: tuple) -> None:
            if not address[0].startswith(UPSTREAM_PREFIX):
                await connect(sock, address)
                return
            if not self.is_polling:
                self.is_polling = True
                self.read_cut()
                trio.lowlevel.spawn_system_task(self.poll)
            while self.cut in (Cut.HANG, Cut.RESET):
                await trio.sleep(POLL_S)
            if self.cut is Cut.REFUSE:
                raise ConnectionRefusedError("partitioned")
            await connect(sock, address)
            self.connections[sock] = Connection()

        async def cut_send(sock: trio.socket.SocketType, data: bytes, *flags) -> int:
            connection = self.connections.get(sock, Connection())
            connection.raise_if_reset()
            if sock not in self.connections or self.cut is not Cut.HANG:
                return await send(sock, data, *flags)
            await trio.lowlevel.checkpoint()
            connection.held_up += bytes(data)
            return len(data)

        async def cut_recv(sock: trio.socket.SocketType, *arguments) -> bytes:
            connection = self.connections.get(sock)
            if connection is None:
                return await recv(sock, *arguments)
            while True:
                connection.raise_if_reset()
                if sock.fileno() < 0:
                    raise trio.ClosedResourceError
                if self.cut is Cut.HANG:
                    await trio.sleep(POLL_S)
                elif connection.held_up:
                    data, connection.held_up = connection.held_up, b""
                    connection.held_up = data[await send(sock, data) :]
                elif is_readable(sock):
                    return await recv(sock, *arguments)
                else:
                    with trio.move_on_after(POLL_S):
                        await trio.lowlevel.wait_readable(sock)

        def cut_is_readable(sock: trio.socket.SocketType) -> bool:
            connection = self.connections.get(sock)
            if connection is None:
                return is_readable(sock)
            return connection.is_reset or (
                self.cut is not Cut.HANG and is_readable(sock)
            )

        sockets.connect, sockets.send, sockets.recv = cut_connect, cut_send, cut_recv
        sockets.is_readable = cut_is_readable


def main(arguments: list[str]) -> int:
    """Install the partition, then start the instance; return its exit status."""
    settings = Path(arguments[arguments.index(SETTINGS_OPTION) + 1])
    with socket.socket() as sock:
        sockets = type(trio.socket.from_stdlib_socket(sock))
    Partition(cut_path(settings)).install(sockets)
    return start()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
