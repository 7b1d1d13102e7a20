"""A whole deployment in one trio run, on the in-memory network.

Instances are real `Node` objects with real HTTP clients; engines, service and
platform are the stand-ins' own applications. Under trio's mock clock a simulated
minute takes well under a second.
"""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

import httpcore
import msgspec
import trio
from buckthornwall.node import Node
from buckthornwall.node.connections import Connections
from buckthornwall.settings import Settings
from buckthornwall.utils import ids

from .asgi import json_app
from .deployments import ClassLoad, Deployment, make_records
from .engine import Engine, EngineModel
from .listings import make_instance_entry, make_upstream_entry, make_upstream_record
from .memory import MemoryNetwork
from .memory_http import MemoryBackend, serve_http
from .memory_hub import MemoryHub
from .platform import Platform
from .service import OrderService

__all__ = [
    "SMALL_DEPLOYMENT",
    "MemoryFleet",
    "MemoryNode",
    "PausableClock",
    "make_deterministic",
]

CALLER_HOST = "10.0.7.1"
PLATFORM_HOST = "10.0.9.1"
SERVICE_ADDRESS = "10.0.3.1:90"
POLL_S = 0.005
RECORD_INTERVAL_S = 0.02
WAIT_TIMEOUT_S = 60.0

SMALL_DEPLOYMENT = Deployment(
    name="small",
    zones=("north", "south", "west"),
    nodes=3,
    pools={"m": 2},
    slots=2,
    loads=(
        ClassLoad(
            "urgent", "m", 0, 2.0, 0.1, 20.0, 1.0, 0.0, 0.3, 20, 100, (("one", 1.0),)
        ),
        ClassLoad(
            "routine", "m", 1, 8.0, 0.2, 40.0, 2.0, 0.1, 0.5, 30, 100, (("one", 1.0),)
        ),
        ClassLoad(
            "low", "m", 2, 20.0, 0.5, 60.0, 1.0, 0.05, 0.2, 30, 100, (("one", 1.0),)
        ),
    ),
)

SETTINGS = """\
[node]
id = {id}
zone = {zone}
[gateway]
listen = {host}:80
drain_s = 0.5
[operators]
listen = {host}:81
[platform]
address = {platform}:70
watch_s = 5
[links]
listen = {host}:82
peer_secret = a-secret-of-the-tests
"""


def make_deterministic(seed: int) -> None:
    """Make ids, jitter and trio's choice among runnable tasks reproducible.

    trio has no public switch for its scheduling; the two private names are those
    that its own hypothesis plugin uses.
    """
    random.seed(seed)
    ids.random_source = random.Random(seed)
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r = random.Random(seed)


class PausableClock:
    """trio's clock as one host sees it; it stands still while the host is frozen.

    A frozen process reads no clock; its first reading after the freeze jumps by the
    whole duration.
    """

    def __init__(self) -> None:
        self.frozen_at: float | None = None

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return trio.current_time() if self.frozen_at is None else self.frozen_at

    def freeze(self) -> None:
        """Stop the clock."""
        self.frozen_at = trio.current_time()

    def thaw(self) -> None:
        """Resume the clock, with a jump by the frozen time."""
        self.frozen_at = None


class MemoryNode:
    """One instance: a `Node`, its host and clock, and its cancel scope."""

    def __init__(self, node_id: str, zone: str, host: str) -> None:
        self.id = node_id
        self.zone = zone
        self.host = host
        self.caller_address = f"{host}:80"
        self.operator_address = f"{host}:81"
        self.peer_address = f"{host}:82"
        self.clock = PausableClock()
        self.node: Node | None = None
        self.scope = trio.CancelScope()
        self.ended = trio.Event()
        self.stopped = False
        self.killed = False
        self.config_numbers: list[int] = []


class MemoryFleet:
    """A deployment in memory, with the interface of `Fleet` where possible.

    Parameters
    ----------
    deployment
        Sizes and configuration records.
    engine_model
        Speed of the engines.
    scheduling
        Scheduling mode of every pool.
    """

    def __init__(
        self,
        deployment: Deployment = SMALL_DEPLOYMENT,
        engine_model: EngineModel | None = None,
        scheduling: str = "pooled",
    ) -> None:
        self.deployment = deployment
        self.scheduling = scheduling
        self.engine_model = engine_model or EngineModel(
            slots=deployment.slots, step_ms=20.0
        )
        self.network = MemoryNetwork()
        self.config_number = 1
        self.platform_address = f"{PLATFORM_HOST}:70"
        self.platform = Platform(0.3, MemoryBackend(self.network, PLATFORM_HOST))
        self.service = OrderService(0.3)
        self.engine_hosts: dict[str, str] = {}
        self.engines: dict[str, Engine] = {}
        self.leaving: set[str] = set()
        self.backend = MemoryBackend(self.network, CALLER_HOST)
        self.http = httpcore.AsyncConnectionPool(
            max_keepalive_connections=0, network_backend=self.backend
        )
        zones = deployment.zones
        self.nodes = [
            MemoryNode(
                f"n{index + 1}", zones[index % len(zones)], f"10.0.1.{index + 1}"
            )
            for index in range(deployment.nodes)
        ]

    @classmethod
    @asynccontextmanager
    async def running(cls, *args, **kwargs) -> AsyncIterator["MemoryFleet"]:
        """Start the deployment, and cancel its tasks afterwards."""
        fleet = cls(*args, **kwargs)
        async with trio.open_nursery() as fleet.nursery:
            await fleet.start()
            yield fleet
            fleet.nursery.cancel_scope.cancel()

    async def start(self) -> None:
        """Start all parts and wait until all instances are ready."""
        self._serve(self.platform_address, json_app(self.platform.routes()))
        self.nursery.start_soon(self.platform.probe_forever)
        for pool, count in self.deployment.pools.items():
            for index in range(count):
                self._start_engine(f"{pool}-{index + 1}")
        self._serve(SERVICE_ADDRESS, json_app(self.service.routes()))
        self.publish(self.config_number)
        self.publish_instances()
        for node in self.nodes:
            self.start_node(node)
        for node in self.nodes:
            await self.wait_until(lambda node=node: node.node.is_ready())
        await self.wait_until(
            lambda: all(n.node.entry.share_leases.leases for n in self.nodes)
        )
        self.nursery.start_soon(self._record_config_numbers)

    def _serve(self, address: str, app: Any) -> None:
        self.network.listen(address, partial(serve_http, app), self.nursery)

    def _start_engine(self, engine_id: str) -> None:
        host = f"10.0.2.{len(self.engine_hosts) + 1}"
        self.engine_hosts[engine_id] = host
        engine = self.engines[engine_id] = Engine(
            engine_id, msgspec.structs.replace(self.engine_model), fencing=True
        )
        self._serve(f"{host}:90", json_app(engine.routes()))
        self.nursery.start_soon(engine.generate_forever)
        self.nursery.start_soon(engine.report_forever)

    def start_node(self, node: MemoryNode) -> None:
        """Start an instance, or restart it as a new incarnation."""
        self.network.revive(node.host)
        text = SETTINGS.format(
            id=node.id, zone=node.zone, host=node.host, platform=PLATFORM_HOST
        )
        settings = Settings.from_config(text)
        connections = Connections.from_config(
            settings,
            backend=MemoryBackend(self.network, node.host),
            make_hub=partial(MemoryHub, self.network),
            serve_callers=self._serve_app,
            serve_operators=self._serve_app,
        )
        node.clock = PausableClock()
        node.node = Node(settings, node.clock, connections)
        node.scope = trio.CancelScope()
        node.ended = trio.Event()
        node.killed = node.stopped = False
        node.config_numbers = []
        self.nursery.start_soon(self._run_node, node)

    async def _run_node(self, node: MemoryNode) -> None:
        ended = node.ended
        with node.scope:
            await node.node.run()
        ended.set()

    async def _serve_app(self, app, settings, closing, task_status) -> None:
        async with trio.open_nursery() as nursery:
            handler = partial(serve_http, app)
            self.network.listen(settings.listen, handler, nursery)
            task_status.started()
            await closing()
            self.network.close_listener(settings.listen)
            while app.in_flight:
                await trio.sleep(POLL_S)
            nursery.cancel_scope.cancel()

    async def _record_config_numbers(self) -> None:
        """Record each configuration number that an instance serves with."""
        while True:
            for node in self.nodes:
                if not node.node.is_ready():
                    continue
                number = node.node.store.number
                if not node.config_numbers or node.config_numbers[-1] != number:
                    node.config_numbers.append(number)
            await trio.sleep(RECORD_INTERVAL_S)

    async def wait_until(
        self, condition, limit_s: float = WAIT_TIMEOUT_S, poll_s: float = POLL_S
    ) -> None:
        """Wait until a condition holds; raise TooSlowError after `limit_s`."""
        with trio.fail_after(limit_s):
            while not condition():
                await trio.sleep(poll_s)

    # Actions of operators

    def upstream_records(self) -> list[dict[str, Any]]:
        """Return the records of the engines and the service."""
        slots = self.engine_model.slots
        records = [
            make_upstream_record(
                engine_id, "engine", f"{host}:90", engine_id.rpartition("-")[0], slots
            )
            for engine_id, host in self.engine_hosts.items()
        ]
        service = make_upstream_record(
            "orders-1", "service", SERVICE_ADDRESS, "order-service"
        )
        return [*records, service]

    def records(self, number: int) -> dict[str, Any]:
        """Return the deployment's configuration with a number."""
        return make_records(
            self.deployment, number, self.upstream_records(), self.scheduling
        )

    def publish(self, number: int, records: dict[str, Any] | None = None) -> None:
        """Make the platform serve a configuration, whatever its number."""
        raw = msgspec.json.encode(records or self.records(number))
        self.platform.publish(raw)

    def publish_instances(self) -> None:
        """Publish the list of instances and upstreams on the platform."""
        entries = [
            make_instance_entry(
                node.id, node.peer_address, node.zone, node.operator_address
            )
            for node in self.nodes
        ]
        entries += [
            make_upstream_entry(
                engine_id, "engine", f"{host}:90", engine_id in self.leaving
            )
            for engine_id, host in self.engine_hosts.items()
        ]
        self.platform.instances = {each["id"]: each for each in entries}
        self.platform.publish_list()

    async def get_json(self, address: str, path: str) -> Any:
        """Return the JSON served at an address and path."""
        response = await self.http.request("GET", f"http://{address}{path}")
        return msgspec.json.decode(response.content)

    # Faults

    def running_nodes(self) -> list[MemoryNode]:
        """Return the instances that were neither killed nor stopped."""
        return [each for each in self.nodes if not (each.killed or each.stopped)]

    def kill(self, node: MemoryNode) -> None:
        """Kill an instance."""
        node.killed = True
        node.scope.cancel()
        self.network.kill(node.host)

    def freeze(self, node: MemoryNode) -> None:
        """Freeze an instance: its clock stops and its traffic is blocked."""
        node.clock.freeze()
        self.network.freeze(node.host)

    def thaw(self, node: MemoryNode) -> None:
        """Resume a frozen instance."""
        node.clock.thaw()
        self.network.thaw(node.host)

    def crash_engine(self, engine_id: str) -> None:
        """Crash an engine; its counts stay readable."""
        self.network.kill(self.engine_hosts[engine_id])

    def restart_engine(self, engine_id: str) -> None:
        """Restart a crashed engine."""
        host = self.engine_hosts[engine_id]
        if host in self.network.killed:
            self.network.revive(host)
            self._serve(f"{host}:90", json_app(self.engines[engine_id].routes()))

    async def stop(self, node: MemoryNode) -> None:
        """Stop an instance gracefully and wait until it has ended."""
        node.stopped = True
        node.node.stopping.set()
        with trio.fail_after(WAIT_TIMEOUT_S):
            await node.ended.wait()
        self.network.kill(node.host)

    def find_scheduler(self, pool: str) -> MemoryNode:
        """Return the instance to which most instances lend their share of a pool."""
        votes: dict[str, int] = {}
        for node in self.running_nodes():
            lease = node.node.entry.share_leases.leases.get(pool)
            if lease is not None:
                votes[lease.scheduler] = votes.get(lease.scheduler, 0) + 1
        winner = max(votes, key=votes.get)
        return next(node for node in self.nodes if node.id == winner)

    # Counts of the stand-ins

    def engine_counts(self) -> list[dict[str, Any]]:
        """Return the counts of every engine."""
        return [engine.get_counts() for engine in self.engines.values()]

    def service_counts(self) -> dict[str, int]:
        """Return the number of service calls for each order."""
        return self.service.confirmed

    def started_nonces(self) -> set[str]:
        """Return the nonces of all requests that an engine started."""
        return {
            nonce for engine in self.engines.values() for nonce in engine.token_ranges
        }
