"""Run a whole deployment as real processes, and inject faults."""

import os
import random
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import httpcore
import msgspec
import trio

from .deployments import Deployment, make_records
from .engine import EngineModel
from .listings import make_instance_entry, make_upstream_entry, make_upstream_record
from .processes import (
    CALLER_PORT,
    OPERATOR_PORT,
    PEER_PORT,
    SETTINGS,
    NodeProcess,
    UpstreamProcess,
    make_node_processes,
    make_upstream_processes,
)

__all__ = ["Fleet", "NodeProcess"]

PLATFORM_PORT = 8070
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
SECRET = "a-secret-of-the-demonstration"
FIRST_NETWORK = 10
LAST_NETWORK = 250
# Not seeded: two runs of the same tests on one machine must not share a network.
SYSTEM_RANDOM = random.SystemRandom()


class Fleet:
    """The processes of a deployment, on addresses of one loopback network.

    Parameters
    ----------
    deployment
        Sizes and configuration records.
    engine_model
        Speed of the engines.
    scheduling
        Scheduling mode of every pool.
    log_level
        Log level of the entry instances, which log to files in `folder`.
    drain_s
        Seconds for which a stopping instance still accepts requests.
    platform_reachable_from
        Number of instances that can reach the platform; all if None. The others
        know their peers from their settings.
    engines_ignoring_fencing
        Engines that ignore the fencing number of an adapter order.
    relayed
        Whether links between instances pass through a relay that can cut them.
    """

    def __init__(
        self,
        deployment: Deployment,
        engine_model: EngineModel | None = None,
        scheduling: str = "pooled",
        log_level: str = "WARNING",
        drain_s: float = 1.5,
        platform_reachable_from: int | None = None,
        engines_ignoring_fencing: frozenset[str] = frozenset(),
        relayed: bool = False,
    ) -> None:
        self.deployment = deployment
        self.engine_model = engine_model or EngineModel(slots=deployment.slots)
        self.scheduling = scheduling
        self.log_level = log_level
        self.drain_s = drain_s
        self.platform_reachable_from = platform_reachable_from
        self.engines_ignoring_fencing = engines_ignoring_fencing
        self.relayed = relayed
        self.relay: subprocess.Popen | None = None
        self.folder = Path(tempfile.mkdtemp(prefix="buckthornwall-"))
        self.network = f"127.{SYSTEM_RANDOM.randint(FIRST_NETWORK, LAST_NETWORK)}"
        self.platform_address = f"{self.network}.0.1:{PLATFORM_PORT}"
        self.platform: subprocess.Popen | None = None
        self.config_number = 1
        self.http = httpcore.AsyncConnectionPool(max_keepalive_connections=0)
        self.nodes = make_node_processes(deployment, self.network)
        self.upstreams = make_upstream_processes(deployment, self.network)

    def engines(self) -> list[UpstreamProcess]:
        """Return the engines."""
        return [each for each in self.upstreams if each.kind == "engine"]

    def node(self, node_id: str) -> NodeProcess:
        """Return the entry instance with an id."""
        return next(each for each in self.nodes if each.id == node_id)

    # Start and stop

    @classmethod
    @asynccontextmanager
    async def running(cls, *args, **kwargs) -> AsyncIterator["Fleet"]:
        """Start the deployment, and kill its processes afterwards."""
        fleet = cls(*args, **kwargs)
        try:
            await fleet.start()
            yield fleet
        finally:
            fleet.end()
            with trio.CancelScope(shield=True):
                await fleet.http.aclose()

    async def start(self) -> None:
        """Start all processes and wait until all instances are ready."""
        self.platform = self.spawn(
            "buckthornwall_standins.platform", "--listen", self.platform_address
        )
        if self.relayed:
            self._start_relay()
        for upstream in self.upstreams:
            self.start_upstream(upstream)
        await self._wait_for(self.platform_address, "/control/counts")
        for upstream in self.upstreams:
            await self._wait_for(upstream.address, "/counts")
        await self.publish()
        await self.publish_instances()
        for node in self.nodes:
            self.start_node(node)
        for node in self.nodes:
            await self.wait_ready(node)

    @property
    def relay_control(self) -> str:
        """Control address of the relay."""
        return f"{self.network}.4.250:{OPERATOR_PORT}"

    def peer_address(self, node: NodeProcess) -> str:
        """Return the address at which peers dial an instance."""
        if not self.relayed:
            return node.peer_address
        return f"{self.network}.4.{self.nodes.index(node) + 1}:{PEER_PORT}"

    def _start_relay(self) -> None:
        routes = {self.peer_address(node): node.peer_address for node in self.nodes}
        self.relay = self.spawn(
            "buckthornwall_standins.relay",
            *("--control", self.relay_control),
            *("--routes", msgspec.json.encode(routes).decode()),
        )

    async def cut(self, isolated: list[NodeProcess]) -> None:
        """Cut instances off from all others; an empty list heals the cut."""
        groups = {node.host: 1 for node in isolated}
        await self.request("POST", self.relay_control, "/control", groups)

    def spawn(self, module: str, *arguments: str, log: str = "") -> subprocess.Popen:
        """Start a module as a process that logs to a file in `folder`."""
        path = self.folder / (log or f"{module.rpartition('.')[2]}.log")
        with path.open("ab") as output:
            return subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=output,
                stderr=output,
                start_new_session=True,
            )

    def start_upstream(self, upstream: UpstreamProcess) -> None:
        """Start an engine or service."""
        if upstream.kind == "engine":
            model = msgspec.json.encode(self.engine_model).decode()
            upstream.process = self.spawn(
                "buckthornwall_standins.engine",
                *("--listen", upstream.address),
                *("--name", upstream.id, "--model", model),
                *(
                    ["--ignore-fencing"]
                    if upstream.id in self.engines_ignoring_fencing
                    else []
                ),
            )
        else:
            upstream.process = self.spawn(
                "buckthornwall_standins.service", "--listen", upstream.address
            )

    def start_node(self, node: NodeProcess) -> None:
        """Write the settings of an instance and start it."""
        path = self.folder / f"{node.id}.ini"
        text = SETTINGS.format(
            id=node.id,
            zone=node.zone,
            host=node.host,
            caller_port=CALLER_PORT,
            operator_port=OPERATOR_PORT,
            peer_port=PEER_PORT,
            platform=self._platform_for(node),
            advertise=self.peer_address(node),
            secret=SECRET,
            seeds=self._seeds_for(node),
            drain_s=self.drain_s,
            log_level=self.log_level,
        )
        path.write_text(text, encoding="utf-8")
        node.process = self.spawn(
            "buckthornwall.start", "--settings", str(path), log=f"{node.id}.log"
        )

    def _reaches_platform(self, node: NodeProcess) -> bool:
        if self.platform_reachable_from is None:
            return True
        return self.nodes.index(node) < self.platform_reachable_from

    def _platform_for(self, node: NodeProcess) -> str:
        """Return the platform's address, or one without a listener."""
        if self._reaches_platform(node):
            return self.platform_address
        return f"{self.network}.0.2:{PLATFORM_PORT}"

    def _seeds_for(self, node: NodeProcess) -> str:
        if self._reaches_platform(node):
            return ""
        peers = [each for each in self.nodes if each is not node]
        return ", ".join(f"{each.id}={self.peer_address(each)}" for each in peers)

    async def wait_ready(self, node: NodeProcess) -> None:
        """Wait until an instance reports that it is ready."""
        await self._wait_for(node.operator_address, "/readyz")

    async def _wait_for(self, address: str, path: str) -> None:
        with trio.fail_after(READY_TIMEOUT_S):
            while True:
                try:
                    status, _ = await self.request("GET", address, path)
                    if status == 200:
                        return
                except (httpcore.NetworkError, httpcore.TimeoutException):
                    pass
                await trio.sleep(0.05)

    def end(self) -> None:
        """Kill every process that still runs."""
        processes = [self.platform, self.relay]
        processes += [each.process for each in self.upstreams]
        processes += [each.process for each in self.nodes]
        alive = [each for each in processes if each is not None]
        for process in alive:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in alive:
            process.wait()

    # Requests to the processes

    async def request(
        self, method: str, address: str, path: str, body: Any = None
    ) -> tuple[int, bytes]:
        """Send an HTTP request; return its status and body."""
        response = await self.http.request(
            method,
            f"http://{address}{path}",
            content=msgspec.json.encode(body) if body is not None else b"",
            extensions={"timeout": {"connect": 1.0, "read": 5.0}},
        )
        return response.status, response.content

    async def get_json(self, address: str, path: str) -> Any:
        """Return the JSON served at an address and path."""
        _, content = await self.request("GET", address, path)
        return msgspec.json.decode(content)

    async def status(self, node: NodeProcess) -> dict[str, Any]:
        """Return the status that an instance serves."""
        return await self.get_json(node.operator_address, "/status")

    def upstream_records(self) -> list[dict[str, Any]]:
        """Return the configuration records of the upstreams."""
        slots = self.engine_model.slots
        return [
            make_upstream_record(each.id, each.kind, each.address, each.serves, slots)
            for each in self.upstreams
        ]

    async def publish(self, records: dict[str, Any] | None = None) -> None:
        """Publish a configuration as an operator would."""
        if records is None:
            records = make_records(
                self.deployment,
                self.config_number,
                self.upstream_records(),
                self.scheduling,
            )
        await self.request("POST", self.platform_address, "/control/records", records)

    async def publish_instances(self, leaving: tuple[str, ...] = ()) -> None:
        """Publish the list of instances and upstreams on the platform."""
        instances = [
            make_instance_entry(
                node.id, self.peer_address(node), node.zone, node.operator_address
            )
            for node in self.nodes
        ]
        instances += [
            make_upstream_entry(each.id, each.kind, each.address, each.id in leaving)
            for each in self.upstreams
        ]
        await self.request(
            "POST", self.platform_address, "/control/instances", instances
        )

    async def set_platform_fault(self, **fault: Any) -> None:
        """Set a fault of the platform."""
        await self.request("POST", self.platform_address, "/control/fault", fault)

    async def set_engine_fault(self, upstream: UpstreamProcess, **fault: Any) -> None:
        """Set a fault of an engine."""
        await self.request("POST", upstream.address, "/control", fault)

    async def collect_counts(self) -> None:
        """Read the counts of every upstream; a dead one keeps its last counts."""
        for each in self.upstreams:
            try:
                each.last_counts = await self.get_json(each.address, "/counts")
            except (httpcore.NetworkError, httpcore.TimeoutException):
                continue

    def engine_counts(self) -> list[dict[str, Any]]:
        """Return the last collected counts of each process of each engine."""
        return [
            counts
            for engine in self.engines()
            for counts in [*engine.earlier_counts, engine.last_counts]
            if counts
        ]

    def service_counts(self) -> Counter[str]:
        """Return the number of service calls for each order."""
        counts: Counter[str] = Counter()
        for each in self.upstreams:
            if each.kind == "service":
                counts.update(each.last_counts)
        return counts

    # Faults

    def kill(self, target: NodeProcess | UpstreamProcess) -> None:
        """Kill a process."""
        if isinstance(target, NodeProcess):
            target.killed = True
        target.process.kill()

    def freeze(self, node: NodeProcess) -> None:
        """Suspend the process of an instance."""
        os.kill(node.process.pid, signal.SIGSTOP)

    def thaw(self, node: NodeProcess) -> None:
        """Resume a suspended instance."""
        os.kill(node.process.pid, signal.SIGCONT)

    async def stop(self, node: NodeProcess) -> int:
        """Stop an instance gracefully; return its exit status."""
        node.stopped = True
        node.process.terminate()
        with trio.fail_after(STOP_TIMEOUT_S):
            while node.process.poll() is None:
                await trio.sleep(0.05)
        return node.process.returncode

    async def find_scheduler(self, pool: str) -> NodeProcess:
        """Return the instance to which most instances lend their share of a pool."""
        with trio.fail_after(READY_TIMEOUT_S):
            while True:
                votes = await self._count_votes(pool)
                if votes and votes.most_common(1)[0][1] > len(self.nodes) // 2:
                    return self.node(votes.most_common(1)[0][0])
                await trio.sleep(0.1)

    async def _count_votes(self, pool: str) -> Counter[str]:
        votes: Counter[str] = Counter()
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                votes[(await self.status(node))["supports"].get(pool, "")] += 1
        del votes[""]
        return votes
