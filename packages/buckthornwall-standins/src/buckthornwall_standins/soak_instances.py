"""The instances of a soak: real processes, started, probed and killed."""

import json
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import trio
from buckthornwall.http1 import ClientConnection, ExchangeError

from .users_platform.deployment import STORE_IP, format_settings

__all__ = ["SoakInstances"]

READY_TIMEOUT_S = 15.0
START_EVENT = b"event=starting"


class SoakInstances:
    """Processes of instances, by number.

    Parameters
    ----------
    ports
        First of five consecutive ports, the same for all instances.
    directory
        Directory of the settings and log files.

    Attributes
    ----------
    module : str
        Module that is run to start an instance.
    settle_ms : int
        Time in which registrations are renewed after an outage of the store.
    seeds : callable
        Returns the numbers of the instances that an instance contacts first.
    store_ip : callable
        Returns the IP address at which an instance calls the store.
    """

    def __init__(self, ports: int, directory: Path) -> None:
        self.ports = ports
        self.module = "buckthornwall.start"
        self.settle_ms = 500
        self.seeds: Callable[[int], list[int]] = lambda number: [1, 2]
        self.store_ip: Callable[[int], str] = lambda number: STORE_IP
        self.directory = directory
        self.processes: dict[int, subprocess.Popen] = {}
        self.start_counts: dict[int, int] = {}

    def start(self, number: int) -> None:
        """Start or restart an instance."""
        path = self.settings_path(number)
        text = format_settings(
            number,
            self.seeds(number),
            self.ports,
            self.settle_ms,
            self.store_ip(number),
        )
        path.write_text(text)
        command = [sys.executable, "-m", self.module]
        command += ["--interface", "platform", "--settings", str(path)]
        self.start_counts[number] = self.start_counts.get(number, 0) + 1
        with self.log_path(number).open("ab") as log:
            self.processes[number] = subprocess.Popen(command, stdout=log, stderr=log)

    def settings_path(self, number: int) -> Path:
        """Return the settings file of an instance."""
        return self.directory / f"node-{number}.ini"

    def log_path(self, number: int) -> Path:
        """Return the log file of an instance."""
        return self.directory / f"node-{number}.log"

    def has_logged_start(self, number: int) -> bool:
        """Return whether the newest process of an instance has logged its start.

        Until then its interpreter is still loading, and signals terminate it.
        """
        return (
            self.log_path(number).read_bytes().count(START_EVENT)
            >= self.start_counts[number]
        )

    def kill_all(self) -> None:
        """Kill all processes."""
        for process in self.processes.values():
            process.kill()
            process.wait()

    async def wait_until_ready(self) -> None:
        """Wait until all instances report that they are ready."""
        with trio.fail_after(READY_TIMEOUT_S):
            for number in self.processes:
                while not await self._is_ready(number):
                    await trio.sleep(0.05)

    async def _is_ready(self, number: int) -> bool:
        status, _ = await self._get(f"127.0.8.{number}:{self.ports + 1}", b"/ready")
        return status == 200

    async def config_number(self, number: int) -> int:
        """Return the number of the configuration in force, or 0 if unknown."""
        status, body = await self._get(f"127.0.8.{number}:{self.ports + 3}", b"/status")
        return json.loads(body)["number"] if status == 200 else 0

    async def _get(self, address: str, path: bytes) -> tuple[int, bytes]:
        """Return status and body, or status 0 without a response within a second."""
        body = b""
        try:
            with trio.fail_after(1.0):
                connection = await ClientConnection.connect(address, 1.0)
                await connection.send(b"GET", path, [(b"Host", b"h")], b"")
                head = await connection.receive_head()
                while data := await connection.receive_data():
                    body += data
                connection.close()
        except (ExchangeError, trio.TooSlowError):
            return 0, b""
        return head.status, body
