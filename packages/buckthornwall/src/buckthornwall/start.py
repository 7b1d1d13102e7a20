"""The start of ``buckthornwalld``: clients can connect before the rest is imported.

Importing the libraries of an instance takes ten times as long as starting the
interpreter. If all instances are killed at once, clients whose connections are refused
meanwhile give up after the second attempt; a connection that is open during the import
is served after it. Only the standard library is imported here.
"""

import configparser
import gc
import signal
import socket
import sys
from types import FrameType

__all__ = ["EarlyListeners", "main", "open_listeners"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Connections that can wait for the import; the same as that of the server later.
BACKLOG = 1024
SETTINGS_OPTION = "--settings"


class EarlyListeners:
    """Listening sockets that are opened before the imports.

    Attributes
    ----------
    sockets : dict
        Sockets by ``IP:port``; the server that takes one over removes it.
    failure : str
        Why a socket could not be opened, empty if none failed. The start continues
        without the socket and logs the failure.
    """

    def __init__(self) -> None:
        self.sockets: dict[str, socket.socket] = {}
        self.failure = ""

    def open(self, address: str) -> None:
        """Listen at ``IP:port``; record a failure, which is logged later."""
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, int(port)))
            sock.listen(BACKLOG)
        except (OSError, ValueError, OverflowError) as error:
            sock.close()
            self.failure = f"{address}: {error}"
            return
        sock.setblocking(False)
        self.sockets[address] = sock


def open_listeners(arguments: list[str]) -> EarlyListeners:
    """Listen at the address that the settings file gives for clients.

    Parameters
    ----------
    arguments
        The command line; no socket is opened if it names no settings file.
    """
    early = EarlyListeners()
    if SETTINGS_OPTION not in arguments[:-1]:
        return early
    path = arguments[arguments.index(SETTINGS_OPTION) + 1]
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read(path, encoding="utf-8")
        address = parser.get("edge", "listen", fallback="")
    except (configparser.Error, UnicodeDecodeError) as error:
        early.failure = str(error)  # the validation of the settings reports details
        return early
    if address:
        early.open(address)
    return early


def _end_before_start(number: int, frame: FrameType | None) -> None:
    """Exit at once: the process serves no request yet."""
    raise SystemExit(0)


def main() -> int:
    """Listen, import and run; return the exit status."""
    for number in STOP_SIGNALS:
        signal.signal(number, _end_before_start)
    # The settings are read after the imports, so nothing is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    early = open_listeners(sys.argv[1:])
    # Imported objects are never freed, and garbage collection during the imports takes
    # a considerable part of the start.
    gc.disable()
    from buckthornwall.node.main import main as run

    return run(early=early)


if __name__ == "__main__":
    sys.exit(main())
