"""Processes of a deployment, and the settings of its instances."""

import subprocess
from dataclasses import dataclass, field
from typing import Any

from .deployments import Deployment

__all__ = [
    "CALLER_PORT",
    "OPERATOR_PORT",
    "PEER_PORT",
    "SETTINGS",
    "NodeProcess",
    "UpstreamProcess",
    "make_node_processes",
    "make_upstream_processes",
]

CALLER_PORT = 8080
OPERATOR_PORT = 8081
PEER_PORT = 8082
UPSTREAM_PORT = 8090

SETTINGS = """\
[node]
id = {id}
zone = {zone}
[gateway]
listen = {host}:{caller_port}
drain_s = {drain_s}
[operators]
listen = {host}:{operator_port}
[platform]
address = {platform}
watch_s = 5
[links]
listen = {host}:{peer_port}
advertise = {advertise}
peer_secret = {secret}
seeds = {seeds}
[telemetry]
log_level = {log_level}
"""


@dataclass
class NodeProcess:
    """Process of an entry instance."""

    id: str
    zone: str
    host: str
    process: subprocess.Popen | None = None
    stopped: bool = False
    killed: bool = False

    @property
    def caller_address(self) -> str:
        """Address of the listener for callers."""
        return f"{self.host}:{CALLER_PORT}"

    @property
    def operator_address(self) -> str:
        """Address of the listener for operators."""
        return f"{self.host}:{OPERATOR_PORT}"

    @property
    def peer_address(self) -> str:
        """Address of the listener for peers."""
        return f"{self.host}:{PEER_PORT}"


@dataclass
class UpstreamProcess:
    """Process of an engine or a plain service."""

    id: str
    kind: str
    address: str
    serves: str
    process: subprocess.Popen | None = None
    last_counts: dict[str, Any] = field(default_factory=dict)
    earlier_counts: list[dict[str, Any]] = field(default_factory=list)


def make_node_processes(deployment: Deployment, network: str) -> list[NodeProcess]:
    """Return the instances of a deployment, on hosts ``NETWORK.1.N``."""
    zones = deployment.zones
    return [
        NodeProcess(
            f"{zones[index % len(zones)]}-{index + 1}",
            zones[index % len(zones)],
            f"{network}.1.{index + 1}",
        )
        for index in range(deployment.nodes)
    ]


def make_upstream_processes(
    deployment: Deployment, network: str
) -> list[UpstreamProcess]:
    """Return the engines of a deployment, on ``NETWORK.2.N``, and its service."""
    processes = []
    for pool, count in deployment.pools.items():
        for index in range(count):
            address = f"{network}.2.{len(processes) + 1}:{UPSTREAM_PORT}"
            processes.append(
                UpstreamProcess(f"{pool}-{index + 1}", "engine", address, pool)
            )
    if deployment.service:
        address = f"{network}.3.1:{UPSTREAM_PORT}"
        processes.append(
            UpstreamProcess("orders-1", "service", address, "order-service")
        )
    return processes
