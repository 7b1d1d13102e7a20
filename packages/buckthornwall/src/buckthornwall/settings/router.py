"""The settings of an instance behind the platform's load balancer."""

from dataclasses import dataclass

from buckthornwall.capacity import CapacitySettings
from buckthornwall.codes import ResultCode, SettingsError
from buckthornwall.discovery import DiscoverySettings
from buckthornwall.forwarding import ForwardingSettings
from buckthornwall.peers import PeerSettings
from buckthornwall.platform.store import StoreSettings
from buckthornwall.pools import PoolSettings
from buckthornwall.quarantine import QuarantineSettings
from buckthornwall.telemetry import TelemetrySettings
from buckthornwall.utils import ConfigItem, ConfigNamespace

from .node import NodeSettings
from .read_budget import ReadBudget
from .sections import SettingsFile, check_address

__all__ = ["EdgeSettings", "RouterSettings", "StopSettings"]


class EdgeSettings(ConfigNamespace):
    """Settings of the listeners."""

    section = "edge"

    listen = ConfigItem(
        "", "Address that clients connect to, as IP:port.", required=True
    )
    ready = ConfigItem(
        "",
        "Address of the readiness endpoint for the load balancer, as IP:port.",
        required=True,
    )
    metrics = ConfigItem(
        "", "Address of the metrics and status endpoints, as IP:port.", required=True
    )


class StopSettings(ConfigNamespace):
    """Settings of a graceful shutdown."""

    section = "stop"

    grace_s = ConfigItem(
        8.0,
        "Seconds from the termination signal until the process is killed.",
        minimum=1,
    )
    notice_s = ConfigItem(
        2.6,
        "Seconds until the load balancer has removed this instance: two readiness "
        "checks, a second apart, and their network delay.",
        minimum=0,
    )


@dataclass
class RouterSettings(SettingsFile):
    """All sections of the settings file."""

    node: NodeSettings
    edge: EdgeSettings
    store: StoreSettings
    discovery: DiscoverySettings
    peers: PeerSettings
    forwarding: ForwardingSettings
    pools: PoolSettings
    quarantine: QuarantineSettings
    stop: StopSettings
    capacity: CapacitySettings
    telemetry: TelemetrySettings

    @property
    def read_budget(self) -> ReadBudget:
        """How often the store must answer by these settings."""
        return ReadBudget(self.discovery, self.peers)

    def _check_consistency(self, origin: str) -> None:
        """Check what depends on several settings or on the format of one."""
        addresses = (
            (self.edge, "listen"),
            (self.edge, "ready"),
            (self.edge, "metrics"),
            (self.store, "address"),
            (self.peers, "listen"),
        )
        for namespace, key in addresses:
            check_address(origin, namespace.section, key, getattr(namespace, key))
        try:
            self.node.region_by_zone()
        except ValueError as error:
            raise SettingsError(
                ResultCode.SETTING_INVALID, f"{origin} [node] regions: {error}"
            ) from error
        if not self.read_budget.is_sufficient:
            raise SettingsError(
                ResultCode.SETTING_INVALID,
                f"{origin} [discovery] apply_ms: too short for the reports of [peers] "
                "and gap_ms",
            )
        if fault := self.capacity.find_fault():
            raise SettingsError(
                ResultCode.SETTING_INVALID, f"{origin} [capacity] {fault}"
            )
        if self.stop.notice_s >= self.stop.grace_s:
            raise SettingsError(
                ResultCode.SETTING_INVALID,
                f"{origin} [stop] notice_s: not under grace_s",
            )
