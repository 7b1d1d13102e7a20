"""The machine's memory and descriptors, and the shares of them."""

from buckthornwall.utils import ConfigItem, ConfigNamespace

__all__ = ["CapacitySettings"]

BYTES_PER_MB = 10**6
# For two requests with bodies of the usual limit, and small ones beside them.
MIN_CLIENT_MB = 16.0


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
        return ""
