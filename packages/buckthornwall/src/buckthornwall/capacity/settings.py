"""The machine's memory and descriptors, and the shares of them."""

import resource
from dataclasses import dataclass

from buckthornwall.utils import ConfigItem, ConfigNamespace

from .costs import CONNECTION_BYTES, REQUEST_BYTES
from .memory_budget import SMALL_REQUEST_SHARE

__all__ = ["CapacitySettings", "ConnectionLimits"]

BYTES_PER_MB = 10**6
# For two requests with bodies of the usual limit, and small ones beside them.
MIN_CLIENT_MB = 16.0
# Share of the memory for clients that connections may take which say nothing.
IDLE_MEMORY_SHARE = 0.25
# Connections of the balancer, and of operators, each.
SMALL_LISTENER_CONNECTIONS = 32
# Listeners, datagrams, the store, checks of upstreams.
OTHER_SOCKETS = 32
# Shares of the other sockets. Requests in flight need a connection to an upstream each.
CALLER_SHARE = 0.4
PEER_SHARE = 0.08
MIN_SOCKETS = 256
# Share of the requests in flight that one pool may have.
POOL_SHARE = 0.625


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Most connections of each listener."""

    callers: int
    peers: int
    ready: int
    operators: int


class CapacitySettings(ConfigNamespace):
    """Settings of what is held for clients."""

    section = "capacity"

    machine_memory_mb = ConfigItem(
        88.0,
        "Memory of the machine in MB (10^6 bytes); the process must not exceed it.",
        minimum=1,
    )
    own_memory_mb = ConfigItem(
        58.0,
        "MB of it for the instance itself; what it holds for clients has the rest.",
        minimum=1,
    )

    descriptors = ConfigItem(
        0,
        "Descriptors that the process may open; 0 for the limit of the process.",
        minimum=0,
    )
    file_descriptors = ConfigItem(
        200, "Descriptors of these that are kept for files.", minimum=0
    )

    @property
    def sockets(self) -> int:
        """Descriptors that sockets may take."""
        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return (self.descriptors or limit) - self.file_descriptors

    def connection_limits(self) -> ConnectionLimits:
        """Return how many connections each listener may have."""
        shared = self.sockets - 2 * SMALL_LISTENER_CONNECTIONS - OTHER_SOCKETS
        by_memory = int(self.client_memory_bytes * IDLE_MEMORY_SHARE / CONNECTION_BYTES)
        return ConnectionLimits(
            callers=min(int(shared * CALLER_SHARE), by_memory),
            peers=min(int(shared * PEER_SHARE), by_memory),
            ready=SMALL_LISTENER_CONNECTIONS,
            operators=SMALL_LISTENER_CONNECTIONS,
        )

    @property
    def requests_per_pool(self) -> int:
        """Most requests in flight to one pool."""
        memory = self.client_memory_bytes * SMALL_REQUEST_SHARE
        by_memory = memory / (CONNECTION_BYTES + REQUEST_BYTES)
        return int(min(by_memory, self.connection_limits().callers) * POOL_SHARE)

    @property
    def client_memory_bytes(self) -> int:
        """Most bytes that are held for clients."""
        return int((self.machine_memory_mb - self.own_memory_mb) * BYTES_PER_MB)

    def find_fault(self) -> str:
        """Return what is wrong with the settings together, or ''."""
        if self.machine_memory_mb - self.own_memory_mb < MIN_CLIENT_MB:
            return (
                f"own_memory_mb: leaves under {MIN_CLIENT_MB:.0f} MB of "
                "machine_memory_mb for clients"
            )
        if self.sockets < MIN_SOCKETS:
            return (
                f"descriptors: leaves under {MIN_SOCKETS} for sockets beside "
                "file_descriptors"
            )
        return ""
