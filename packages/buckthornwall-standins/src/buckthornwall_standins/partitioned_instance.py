"""Starts an instance whose paths to upstreams can be cut; for soaks.

Takes the arguments of ``buckthornwall.start``. The file beside the settings that
`cut_path` names holds the cut in force. Only TCP connections that this process opens
to addresses of upstreams are cut, whichever of its modules opens them.
"""

import socket
import sys
from collections.abc import Callable
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


class Connection:
    """State of one connection to an upstream; `unsent` is lost if it is closed."""

    def __init__(self) -> None:
        self.is_reset = False
        self.unsent = b""


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
        self.send_now: Callable | None = None

    def hangs(self, connection: Connection) -> bool:
        """Return whether an open connection passes no data for now."""
        return self.cut is Cut.HANG and not connection.is_reset

    def read_cut(self) -> Cut:
        """Return the cut that the file holds; an unfinished write changes nothing."""
        try:
            return Cut(self.path.read_text())
        except FileNotFoundError:
            return Cut.NONE
        except ValueError:
            return self.cut

    def apply(self, cut: Cut) -> None:
        """Put a cut into force."""
        self.cut = cut
        if cut is Cut.RESET:
            for connection in self.connections.values():
                connection.is_reset = True

    async def poll(self) -> None:
        """Put changes of the file into force, and send what was held up."""
        while True:
            cut = self.read_cut()
            if cut is not self.cut:
                self.apply(cut)
            for sock, connection in list(self.connections.items()):
                if connection.unsent and not self.hangs(connection):
                    await self._send_held_up(sock, connection)
            await trio.sleep(POLL_S)

    async def _send_held_up(
        self, sock: trio.socket.SocketType, connection: Connection
    ) -> None:
        data, connection.unsent = connection.unsent, b""
        try:
            while data:
                data = data[await self.send_now(sock, data) :]
        except OSError:
            pass  # closed meanwhile, with what it held up

    def install(self, sockets: type) -> None:
        """Replace the methods of trio's class of sockets that the cut applies to."""
        connect, send, recv = sockets.connect, sockets.send, sockets.recv
        is_readable = sockets.is_readable
        self.send_now = send

        async def cut_connect(sock: trio.socket.SocketType, address: tuple) -> None:
            if not address[0].startswith(UPSTREAM_PREFIX):
                return await connect(sock, address)
            if not self.is_polling:
                self.is_polling = True
                self.apply(self.read_cut())
                trio.lowlevel.spawn_system_task(self.poll)
            while self.cut in (Cut.HANG, Cut.RESET):
                await trio.sleep(POLL_S)
            if self.cut is Cut.REFUSE:
                raise ConnectionRefusedError("partitioned")
            await connect(sock, address)
            self.connections[sock] = Connection()
            return None

        async def cut_send(sock: trio.socket.SocketType, data: bytes, *flags) -> int:
            connection = self.connections.get(sock)
            if connection is None:
                return await send(sock, data, *flags)
            _raise_if_reset(connection)
            if self.hangs(connection) or connection.unsent:
                await trio.lowlevel.checkpoint()
                connection.unsent += bytes(data)
                return len(data)
            return await send(sock, data, *flags)

        async def cut_recv(sock: trio.socket.SocketType, *arguments) -> bytes:
            connection = self.connections.get(sock)
            if connection is None:
                return await recv(sock, *arguments)
            while True:
                _raise_if_reset(connection)
                if self.hangs(connection):
                    await trio.sleep(POLL_S)
                elif is_readable(sock):
                    return await recv(sock, *arguments)
                else:
                    with trio.move_on_after(POLL_S):
                        await trio.lowlevel.wait_readable(sock)

        def cut_is_readable(sock: trio.socket.SocketType) -> bool:
            connection = self.connections.get(sock)
            if connection is None or not (
                connection.is_reset or self.hangs(connection)
            ):
                return is_readable(sock)
            return connection.is_reset

        sockets.connect, sockets.send, sockets.recv = cut_connect, cut_send, cut_recv
        sockets.is_readable = cut_is_readable


def _raise_if_reset(connection: Connection) -> None:
    if connection.is_reset:
        raise ConnectionResetError("partitioned")


def _find_socket_class() -> type:
    with socket.socket() as sock:
        return type(trio.socket.from_stdlib_socket(sock))


def main(arguments: list[str]) -> int:
    """Install the partition, then start the instance; return its exit status."""
    settings = Path(arguments[arguments.index(SETTINGS_OPTION) + 1])
    Partition(cut_path(settings)).install(_find_socket_class())
    return start()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
