"""The start of ``buckthornwalld``: callers can connect before the rest is imported.

Importing what an instance runs on takes ten times as long as the interpreter itself.
Where all instances were killed at once, callers that came meanwhile were refused a
connection twice and gave up; a connection that waits for the import is served after it.
Nothing beside the standard library is imported here.
"""

import configparser
import gc
import signal
import socket
import sys
from types import FrameType

__all__ = ["EarlyListeners", "main", "open_listeners"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Connections that wait for the import, as many as a listener takes later.
BACKLOG = 1024
SETTINGS_OPTION = "--settings"


class EarlyListeners:
    """Listening sockets by address, and why one could not be opened.

    Attributes
    ----------
    sockets : dict
        Sockets by ``IP:port``; whoever serves one takes it out.
    failure : str
        Empty if all is well; the start goes on without, and says so.
    """

    def __init__(self) -> None:
        self.sockets: dict[str, socket.socket] = {}
        self.failure = ""

    def open(self, address: str) -> None:
        """Listen at ``IP:port``; what fails is noted, to be logged later."""
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
    """Listen where the settings file says that callers connect.

    Parameters
    ----------
    arguments
        The command line; without a settings file nothing is opened.
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
        early.failure = str(error)  # the check of the settings will tell more
        return early
    if address:
        early.open(address)
    return early


def _end_before_start(number: int, frame: FrameType | None) -> None:
    """End a process that has nothing to finish, since it serves nobody yet."""
    raise SystemExit(0)


def main() -> int:
    """Listen, import and run; return the exit status."""
    for number in STOP_SIGNALS:
        signal.signal(number, _end_before_start)
    early = open_listeners(sys.argv[1:])
    # What is imported stays: looking through it for garbage is a good part of a start.
    gc.disable()
    from buckthornwall.node.main import main as run

    return run(early=early)


if __name__ == "__main__":
    sys.exit(main())
