"""Matching instance settings, configuration and upstream registrations."""

from dataclasses import dataclass, field
from typing import Any

from buckthornwall.settings import RouterSettings

from .store import Store

__all__ = ["Deployment", "make_settings", "make_route", "format_settings"]

HOST = "callers.example"
API_KEY = "key-of-one"
DRAFTS = "drafts"
ORDERS = "orders"
STORE_IP = "127.0.9.1"
# Limits on what a client may send.
CLIENT_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 1_000_000,
    "header_timeout_ms": 2000,
    "idle_timeout_ms": 5000,
}


def format_settings(
    number: int,
    seeds: list[int],
    ports: int,
    settle_ms: int = 500,
    store_ip: str = STORE_IP,
) -> str:
    """Return the contents of the settings file of instance `number`.

    Parameters
    ----------
    number
        Number of the instance; selects its loopback address and zone.
    seeds
        Numbers of the instances it contacts first to join the others.
    ports
        First of five consecutive ports, the same for all instances.
    settle_ms
        Time in which registrations are renewed after an outage of the store.
    store_ip
        IP address at which it calls the store.
    """
    ip = f"127.0.8.{number}"
    seed_addresses = ",".join(f"127.0.8.{seed}:{ports + 2}" for seed in seeds)
    text = f"""
        [node]
        id = node-{number}
        zone = zone-{number % 2}
        regions = zone-0=east,zone-1=west
        [edge]
        listen = {ip}:{ports}
        ready = {ip}:{ports + 1}
        metrics = {ip}:{ports + 3}
        [store]
        address = {store_ip}:{ports + 4}
        answer_timeout_ms = 300
        [peers]
        listen = {ip}:{ports + 2}
        seeds = {seed_addresses}
        [discovery]
        gap_ms = 50
        outage_ms = 200
        settle_ms = {settle_ms}
        [stop]
        grace_s = 3
        notice_s = 0.3
        """
    return text.replace("\n        ", "\n")


def make_settings(number: int, seeds: list[int], ports: int) -> RouterSettings:
    """Return the validated settings of instance `number`."""
    return RouterSettings.from_config(format_settings(number, seeds, ports))


def make_route(name: str, path: str, kind: str, service: str, **overrides: Any) -> dict:
    """Return a route as the operator writes it; `overrides` replace the defaults."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": path,
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
    } | overrides


@dataclass
class Deployment:
    """Writes what the operator and the upstreams write to a store."""

    store: Store
    config_number: int = 1
    slots: int = 8
    memory_tokens: int = 100_000
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    keys: list[str] = field(default_factory=lambda: [API_KEY])
    limits: dict[str, int] = field(default_factory=lambda: dict(CLIENT_LIMITS))
    extra_services: list[str] = field(default_factory=list)
    routes: list[dict[str, Any]] = field(
        default_factory=lambda: [
            make_route("draft", "/draft/", "stream", DRAFTS, resumable=True),
            make_route("once", "/once/", "stream", DRAFTS, max_attempts=1),
            make_route("order", "/order/", "non_idempotent", ORDERS),
            make_route("look", "/look/", "idempotent", ORDERS),
        ]
    )

    def publish(self) -> int:
        """Write the configuration with the next number and return that number."""
        self.config_number += 3
        config = {
            "version": self.config_number,
            "routes": self.routes,
            "services": [
                {
                    "name": DRAFTS,
                    "health_path": "/health",
                    "max_connections": 100,
                    "cold_start_s": self.cold_start_s,
                    "cold_per_s": self.cold_per_s,
                    "engine": {
                        "slots": self.slots,
                        "kv_capacity": self.memory_tokens,
                        "stride": 1,
                    },
                },
                *(
                    {"name": name, "health_path": "/health", "max_connections": 100}
                    for name in (ORDERS, *self.extra_services)
                ),
            ],
            "limits": self.limits,
            "tenants": [{"name": "one", "api_keys": self.keys}],
        }
        self.store.put("op/config", config)
        return self.config_number

    def evacuate(self, zone: str) -> None:
        """Request that upstreams of a zone receive no new requests."""
        self.store.put(f"op/evacuate/{zone}", {})

    def reopen(self, zone: str) -> None:
        """Withdraw the evacuation of a zone."""
        self.store.remove(f"op/evacuate/{zone}")

    def register(
        self,
        upstream: str,
        service: str,
        address: str,
        state: str = "ready",
        zone: str = "zone-1",
        cold_remaining_s: float = 0.0,
        version: str = "v1",
    ) -> None:
        """Write the registration of an upstream."""
        entry = {
            "service": service,
            "address": address,
            "zone": zone,
            "version": version,
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": int(cold_remaining_s * 1000),
            "sequence": 1,
        }
        self.store.put(f"servers/{upstream}", entry)
