"""Status and metrics of an instance, for operators."""

from typing import Any

from buckthornwall.membership import Member
from buckthornwall.scheduling import PoolScheduler

__all__ = ["describe_node", "render_metrics"]


def describe_node(node: Any) -> dict[str, Any]:
    """Return the status of a `Node` as JSON-compatible values."""
    return {
        "node": node.node,
        "zone": node.zone,
        "incarnation": node.incarnation,
        "state": node.members.local_state.name.lower(),
        "freezes": node.freeze.count,
        "in_flight": node.app.in_flight,
        "records": _records(node.store),
        "members": [
            _member(member, node.clock.now())
            for member in node.members.members.values()
        ],
        "supports": {
            pool: lease.scheduler
            for pool, lease in node.entry.share_leases.leases.items()
        },
        "pools": [
            {
                "pool": pool,
                "alone": local,
                "supporters": sorted(role.lease_renewed_at),
                **_scheduler(role.scheduler),
            }
            for (pool, local), role in node.scheduler.roles.items()
        ],
        "keys": {
            "issued": node.idempotency.local_ledger.next_serial - 1,
            "ledgers": len(node.idempotency.ledgers),
        },
        "links": {
            "bytes_sent": node.hub.bytes_sent,
            "bytes_received": node.hub.bytes_received,
            "messages_sent": node.hub.messages_sent,
        },
        "client_memory": {
            "used_bytes": node.memory.used_bytes,
            "peak_bytes": node.memory.peak_bytes,
            "limit_bytes": node.memory.limit_bytes,
            "evicted": node.memory.evicted,
            "refused": node.memory.refused,
        },
        "entry": {
            "held": len(node.entry.held),
            "waiting": len(node.entry.pending),
            "decided_alone": node.entry.decided_locally,
            "late_grants": node.entry.late_grants,
        },
    }


def _records(store: Any) -> dict[str, Any]:
    refused = store.view.refused if store.view else []
    return {
        "number": store.number,
        "digest": store.digest,
        "refused": [[code.number, detail] for code, detail in refused],
        "last_error": str(store.last_error or ""),
    }


def _member(member: Member, now: float) -> dict[str, Any]:
    last_heartbeat_at = member.last_heartbeat_at
    return {
        "node": member.node,
        "state": member.state.name.lower(),
        "heard_s_ago": None
        if last_heartbeat_at is None
        else round(now - last_heartbeat_at, 2),
        "listed": member.listed,
    }


def _scheduler(scheduler: PoolScheduler) -> dict[str, Any]:
    return {
        "fraction": round(scheduler.fraction, 3),
        "waiting": scheduler.queue.waiting_by_class(),
        "engines": {
            engine.id: {
                "in_use": len(engine.running),
                "limit": round(engine.limit, 1),
                "inter_token_ms": round(engine.inter_token_s * 1000, 1),
            }
            for engine in scheduler.engines.values()
        },
    }


def render_metrics(node: Any, accept: str) -> tuple[bytes, dict[str, str]]:
    """Return the ``/metrics`` of a `Node` with current values of its gauges."""
    gauges = {
        "records_number": ("Number of the records in force.", node.store.number),
        "members_live": ("Instances that may hold a role.", len(node.members.live())),
        "requests_in_flight": ("Requests being answered.", node.app.in_flight),
        "slots_held": ("Slots of engines in use.", len(node.entry.held)),
        "freezes": ("Freezes of this process so far.", node.freeze.count),
        "foreign_chunks": (
            "Chunks dropped as not of their attempt so far.",
            node.engines.foreign_chunks,
        ),
        "link_bytes_sent": ("Bytes sent to peers so far.", node.hub.bytes_sent),
    }
    for name, (description, value) in gauges.items():
        node.metrics.set_gauge(name, description, value)
    return node.metrics.render(accept)
