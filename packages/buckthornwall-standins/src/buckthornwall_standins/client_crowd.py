"""Clients that do not behave, before an instance that runs as a process of its own.

The store and the upstreams are stand-ins in this process. What the instance holds is
read from its entries under ``/proc``.
"""

import itertools
import os
import resource
from collections.abc import Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import trio
from buckthornwall.http1 import ClientConnection, ExchangeError

from .soak_instances import SoakInstances
from .users_platform import Deployment, Store, Upstream
from .users_platform.deployment import API_KEY, DRAFTS, HOST, ORDERS, make_route
from .users_platform.headers import make_request_headers

__all__ = ["CrowdRun", "InstanceProcess", "open_run", "read_until_end"]

MIB = 2**20
# Only stops a run that hangs: a request that takes longer has no answer.
HANG_S = 25.0
CONNECT_TIMEOUT_S = 5.0
DISCARD_BYTES = 65_536
# A route whose requests wait at their upstream for longer than any test lasts.
SLOW_PATH = "/slow/x"
SLOW_TIMEOUT_MS = 120_000
SLOW_S = 100.0
# Limits on clients, as the users of the platform have them, but for smaller bodies.
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": MIB,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15_000,
}

# Acts on one connection, and returns once it has sent what it wanted to.
Behavior = Callable[[trio.SocketStream], Awaitable[None]]


class InstanceProcess:
    """What the process of an instance holds, by the kernel's records.

    Parameters
    ----------
    pid
        Its process id.
    address
        Its loopback address, without a port.
    """

    def __init__(self, pid: int, address: str) -> None:
        self.pid = pid
        self.address = address

    @property
    def peak_mib(self) -> float:
        """Largest resident memory since the start of the process."""
        return self._status_kib("VmHWM") / 1024

    @property
    def resident_mib(self) -> float:
        """Resident memory."""
        return self._status_kib("VmRSS") / 1024

    @property
    def descriptors(self) -> int:
        """Number of open descriptors."""
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    @property
    def unread_mib(self) -> float:
        """Bytes that its sockets have received, and that it has not read."""
        own = "".join(f"{int(part):02X}" for part in reversed(self.address.split(".")))
        lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
        queues = [line.split()[4] for line in lines if line.split()[1].startswith(own)]
        return sum(int(queue.partition(":")[2], 16) for queue in queues) / MIB

    def is_alive(self) -> bool:
        """Return whether the process runs."""
        try:
            state = self._read_status()["State"]
        except (FileNotFoundError, KeyError):
            return False
        return not state.startswith("Z")

    def _status_kib(self, name: str) -> int:
        return int(self._read_status()[name].split()[0])

    def _read_status(self) -> dict[str, str]:
        lines = Path(f"/proc/{self.pid}/status").read_text().splitlines()
        return {
            name: value.strip() for name, _, value in (x.partition(":") for x in lines)
        }


class CrowdRun:
    """An instance, its stand-ins, and clients.

    Attributes
    ----------
    slow : Upstream
        The only upstream of `SLOW_PATH`.
    """

    def __init__(self, nursery: trio.Nursery, ports: int, directory: Path) -> None:
        self.nursery = nursery
        self.ports = ports
        self.store = Store()
        self.deployment = Deployment(self.store)
        self.deployment.limits = LIMITS
        self.instances = SoakInstances(ports, directory)
        self.slow = Upstream("slow", work_s=SLOW_S)
        self.numbers = itertools.count(1)

    @property
    def process(self) -> InstanceProcess:
        """The process of the first instance."""
        return InstanceProcess(self.instances.processes[1].pid, "127.0.8.1")

    async def start(self, descriptors: int | None = None, instances: int = 1) -> None:
        """Start the stand-ins and the instances, and wait until these are ready.

        Parameters
        ----------
        descriptors
            Limit on the descriptors of an instance, by default that of this process.
        instances
            Number of instances.
        """
        await self.nursery.start(self.store.run, f"127.0.9.1:{self.ports + 4}")
        await self._add_upstream(Upstream("engine"), DRAFTS, 1)
        await self._add_upstream(self.slow, "slow", 2)
        await self._add_upstream(Upstream("desk"), ORDERS, 3)
        slow_route = make_route(
            "slow", "/slow/", "non_idempotent", "slow", timeout_ms=SLOW_TIMEOUT_MS
        )
        for route in self.deployment.routes:
            route["timeout_ms"] = SLOW_TIMEOUT_MS
        self.deployment.routes.append(slow_route)
        self.deployment.extra_services.append("slow")
        self.deployment.publish()
        for number in range(1, instances + 1):
            self.instances.start(number)
            if descriptors is not None:
                pid = self.instances.processes[number].pid
                resource.prlimit(pid, resource.RLIMIT_NOFILE, (descriptors,) * 2)
        await self.instances.wait_until_ready()

    async def _add_upstream(self, upstream: Upstream, pool: str, number: int) -> None:
        address = f"127.0.7.{number}:{self.ports}"
        await self.nursery.start(upstream.run, address)
        self.deployment.register(upstream.id, pool, address)

    def head(
        self, path: str = "/look/x", framing: str = "", request: str = ""
    ) -> bytes:
        """Return the head of a request, with a line for its framing."""
        request = request or f"crowd-{next(self.numbers)}"
        headers = make_request_headers(request, HOST, API_KEY, SLOW_S, None)
        lines = [f"POST {path} HTTP/1.1".encode()]
        lines += [b": ".join(pair) for pair in headers[:-1]]
        if framing:
            lines.append(framing.encode())
        return b"\r\n".join(lines) + b"\r\n\r\n"

    async def ask(self, connection: ClientConnection | None = None) -> int | None:
        """Make an ordinary request; return its status, or None without an answer.

        Parameters
        ----------
        connection
            A kept connection, by default a new one.
        """
        request = f"ordinary-{next(self.numbers)}"
        headers = make_request_headers(request, HOST, API_KEY, HANG_S, None, b"hi")
        try:
            with trio.fail_after(HANG_S):
                connection = connection or await self.connect()
                await connection.send(b"POST", b"/order/x", headers, b"hi")
                head = await connection.receive_head()
                body = await connection.receive_body(MIB)
        except (ExchangeError, trio.TooSlowError):
            return None
        assert head.status != 200 or body == b"answer-to-" + request.encode()
        return head.status

    async def connect(self) -> ClientConnection:
        """Open a connection of an ordinary client."""
        return await ClientConnection.connect(self._address(0), CONNECT_TIMEOUT_S)

    def _address(self, offset: int) -> str:
        return f"{self.process.address}:{self.ports + offset}"

    @asynccontextmanager
    async def crowd(
        self, count: int, behavior: Behavior, offset: int = 0, settle: bool = True
    ) -> Iterator[list[trio.SocketStream]]:
        """Open connections that all behave alike, and keep them open in the block.

        The block begins once every connection has done its part, or was closed or
        refused, or after `HANG_S`.

        Parameters
        ----------
        count
            Number of connections.
        behavior
            What each of them does.
        offset
            Listener, as the offset of its port.
        settle
            Whether the block waits for the connections to have done their part.
        """
        streams: list[trio.SocketStream] = []
        async with trio.open_nursery() as nursery:
            settled = [trio.Event() for _ in range(count)]
            for event in settled:
                nursery.start_soon(self._act, streams, behavior, offset, event)
            with trio.move_on_after(HANG_S if settle else 0):
                for event in settled:
                    await event.wait()
            yield streams
            nursery.cancel_scope.cancel()
        for stream in streams:
            with trio.move_on_after(0):
                await trio.aclose_forcefully(stream)

    async def _act(
        self,
        streams: list[trio.SocketStream],
        behavior: Behavior,
        offset: int,
        settled: trio.Event,
    ) -> None:
        host, _, port = self._address(offset).rpartition(":")
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(host, int(port))
            streams.append(stream)
            await behavior(stream)
        except (OSError, trio.TooSlowError, trio.BrokenResourceError):
            pass  # refused or closed by the instance, which is allowed
        settled.set()


async def read_until_end(stream: trio.SocketStream) -> None:
    """Read and drop what arrives until the instance closes the connection."""
    with suppress(trio.BrokenResourceError):
        while await stream.receive_some(DISCARD_BYTES):
            pass


@asynccontextmanager
async def open_run(ports: int, directory: Path) -> Iterator[CrowdRun]:
    """Open a run; its instances are killed and its stand-ins end with the block."""
    async with trio.open_nursery() as nursery:
        run = CrowdRun(nursery, ports, directory)
        try:
            yield run
        finally:
            run.instances.kill_all()
            nursery.cancel_scope.cancel()
