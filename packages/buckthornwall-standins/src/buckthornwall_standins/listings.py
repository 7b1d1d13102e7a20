"""Records and list entries of a fleet, in the format of the platform."""

from typing import Any

__all__ = ["make_instance_entry", "make_upstream_entry", "make_upstream_record"]


def make_upstream_record(
    upstream: str, kind: str, address: str, serves: str, slots: int | None = None
) -> dict[str, Any]:
    """Return the record of an engine, or of a service, which has no slots."""
    record: dict[str, Any] = {
        "kind": "upstream",
        "schema": 2,
        "id": upstream,
        "type": kind,
        "address": address,
        "serves": [serves],
    }
    if slots is not None:
        record["slots"] = slots
    return record


def make_instance_entry(
    instance: str, address: str, zone: str, health: str
) -> dict[str, Any]:
    """Return the entry of an instance in the list of instances."""
    return {
        "id": instance,
        "kind": "entry",
        "address": address,
        "zone": zone,
        "health": health,
    }


def make_upstream_entry(
    upstream: str, kind: str, address: str, leaving: bool
) -> dict[str, Any]:
    """Return the entry of an upstream in the list of instances."""
    return {"id": upstream, "kind": kind, "address": address, "leaving": leaving}
