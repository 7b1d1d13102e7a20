"""All sections of the settings file together."""

import configparser
from dataclasses import dataclass, fields
from pathlib import Path

from buckthornwall.codes import ResultCode, SettingsError
from buckthornwall.gateway import GatewaySettings, OperatorSettings
from buckthornwall.idempotency import IdempotencySettings
from buckthornwall.links import LinkSettings
from buckthornwall.membership import MembershipSettings
from buckthornwall.platform import PlatformSettings
from buckthornwall.scheduling import SchedulingSettings
from buckthornwall.telemetry import TelemetrySettings
from buckthornwall.upstreams import UpstreamSettings
from buckthornwall.utils import ConfigItem, ConfigNamespace

__all__ = ["NodeSettings", "Settings", "render_table"]

NAME_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
)


class NodeSettings(ConfigNamespace):
    """Who this instance is."""

    section = "node"

    id = ConfigItem("", "Name of this instance, unique in the fleet.", required=True)
    zone = ConfigItem("", "Availability zone of this instance.", required=True)


@dataclass
class Settings:
    """Every section of one instance's settings."""

    node: NodeSettings
    gateway: GatewaySettings
    operators: OperatorSettings
    platform: PlatformSettings
    links: LinkSettings
    membership: MembershipSettings
    scheduling: SchedulingSettings
    idempotency: IdempotencySettings
    upstreams: UpstreamSettings
    telemetry: TelemetrySettings

    @classmethod
    def from_file(cls, path: Path) -> "Settings":
        """Read and check a file.

        Raises
        ------
        SettingsError
            Naming file, section and key.
        """
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(ResultCode.SETTINGS_UNREADABLE, str(error)) from error
        return cls.from_config(text, str(path))

    @classmethod
    def from_config(cls, text: str, origin: str = "settings") -> "Settings":
        """Check the text of a file and build from it.

        Raises
        ------
        SettingsError
            Naming file, section and key.
        """
        parser = configparser.ConfigParser(interpolation=None, default_section="-")
        try:
            parser.read_string(text, origin)
        except configparser.Error as error:
            detail = " ".join(str(error).split())
            raise SettingsError(ResultCode.SETTINGS_UNREADABLE, detail) from error
        known = {field.name: field.type for field in fields(cls)}
        for section in parser.sections():
            if section not in known:
                raise SettingsError(ResultCode.SETTING_UNKNOWN, f"{origin} [{section}]")
        sections = {
            name: namespace.from_config(
                parser[name] if parser.has_section(name) else {}, origin
            )
            for name, namespace in known.items()
        }
        settings = cls(**sections)
        settings._check_together(origin)
        return settings

    def _check_together(self, origin: str) -> None:
        """Check what one item alone cannot show."""
        if not self.node.id or not set(self.node.id) <= NAME_CHARACTERS:
            raise SettingsError(
                ResultCode.SETTING_INVALID,
                f"{origin} [node] id: letters, digits, '-' and '_' only",
            )
        addresses = (
            (self.gateway, "listen"),
            (self.operators, "listen"),
            (self.platform, "address"),
            (self.links, "listen"),
        )
        for namespace, key in addresses:
            _check_address(origin, namespace.section, key, getattr(namespace, key))
        if self.links.advertise:
            _check_address(origin, "links", "advertise", self.links.advertise)
        for seed in self.links.seeds:
            _check_address(origin, "links", "seeds", seed.partition("=")[2])
        heartbeat_s = self.membership.heartbeat_s
        if self.membership.suspect_after_s < 2 * heartbeat_s:
            raise SettingsError(
                ResultCode.SETTING_INVALID,
                f"{origin} [membership] suspect_after_s: at least two heartbeats",
            )
        self._check_tls(origin)

    def _check_tls(self, origin: str) -> None:
        """Check that TLS items come together."""
        groups = (
            (self.gateway, ("tls_certificate", "tls_key")),
            (self.links, ("tls_certificate", "tls_key", "tls_ca")),
        )
        for namespace, keys in groups:
            given = [key for key in keys if getattr(namespace, key)]
            if given and len(given) < len(keys):
                missing = next(key for key in keys if key not in given)
                raise SettingsError(
                    ResultCode.SETTING_MISSING,
                    f"{origin} [{namespace.section}] {missing}",
                )


def _check_address(origin: str, section: str, key: str, text: str) -> None:
    host, _, port = text.rpartition(":")
    octets = host.split(".")
    valid = (
        len(octets) == 4
        and all(octet.isdigit() and int(octet) < 256 for octet in octets)
        and port.isdigit()
        and int(port) < 65536
    )
    if not valid:
        raise SettingsError(
            ResultCode.SETTING_INVALID,
            f"{origin} [{section}] {key}: expected IP:port, got {text!r}",
        )


def render_table() -> str:
    """Return the Markdown page that lists every setting."""
    lines = [
        "# Settings",
        "",
        "Generated by `python -m buckthornwall.settings`; a test compares them.",
    ]
    for field in fields(Settings):
        lines += ["", f"## [{field.name}]", "", "| key | default | meaning |"]
        lines.append("|---|---|---|")
        for name, item in field.type.items().items():
            default = "required" if item.required else repr(item.default)
            lines.append(f"| {name} | {default} | {item.description} |")
    return "\n".join(lines) + "\n"
