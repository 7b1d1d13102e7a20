"""Metrics and status of one instance, for operators."""

import json
import math
from typing import TYPE_CHECKING, Any

from buckthornwall.http1 import IncomingRequest, ResponseWriter
from buckthornwall.pools import owned_ids, reserved_ids
from buckthornwall.quarantine import format_fingerprint

if TYPE_CHECKING:
    from .core import Router

__all__ = ["answer_operator", "describe_router"]

JSON = [(b"Content-Type", b"application/json")]
MAX_SHOWN_REQUESTS = 50


async def answer_operator(
    router: "Router", incoming: IncomingRequest, answer: ResponseWriter
) -> None:
    """Answer ``/metrics`` and ``/status``."""
    path = incoming.target.partition(b"?")[0]
    if path == b"/metrics":
        _set_gauges(router)
        accept = dict(incoming.headers).get(b"accept", b"").decode("latin-1")
        body, headers = router.metrics.render(accept)
        pairs = [(name.encode(), value.encode()) for name, value in headers.items()]
        await answer.send_complete(200, pairs, body)
    elif path == b"/status":
        body = json.dumps(describe_router(router)).encode()
        await answer.send_complete(200, JSON, body)
    else:
        await answer.send_complete(404, [], b"")


def _set_gauges(router: "Router") -> None:
    views = router.pools.views.values()
    gauges = {
        "config_number": ("Configuration in force.", router.table.number),
        "store_away": (
            "Whether the store does not answer.",
            router.discovery.is_store_unavailable,
        ),
        "store_calls": ("Calls to the store.", router.store.calls),
        "upstreams": ("Upstreams registered.", len(router.pools.views)),
        "isolated": (
            "Whether this instance can open connections to no upstream.",
            router.pools.isolation.is_isolated,
        ),
        "upstreams_aside": (
            "Upstreams set aside.",
            sum(1 for view in views if view.health.ejected),
        ),
        "upstreams_limited": (
            "Upstreams that take only so many requests a second.",
            sum(1 for view in views if view.rate_limit.advertises_limit),
        ),
        "upstreams_differing": (
            "Engines that are faster or slower than usual in their pools.",
            len(router.pools.differing_engines()),
        ),
        "upstream_slowness_max": (
            "How long work takes at the slowest engine, relative to the usual one.",
            max((view.speed.slowness for view in views), default=1.0),
        ),
        "upstreams_leaving": (
            "Upstreams that leave, by their registration or their own answers.",
            sum(1 for view in views if view.is_leaving),
        ),
        "upstreams_resting": (
            "Upstreams that want no request from this instance for a while.",
            sum(1 for view in views if view.notices.is_resting(router.clock.now())),
        ),
        "zones_evacuated": (
            "Availability zones that get no new requests.",
            len(router.pools.evacuations.zones()),
        ),
        "upstreams_cold": (
            "Upstreams that have just started and bear little.",
            sum(1 for view in views if view.rate_limit.is_cold(router.clock.now())),
        ),
        "engines_reserved": (
            "Engines reserved for streams that may hardly pause.",
            len(reserved_ids(router.pools)),
        ),
        "engines_owned": (
            "Reserved engines that this instance alone prefills long prompts at.",
            len(owned_ids(router.pools)),
        ),
        "instances": ("Instances that serve.", router.fleet().count),
        "state_differences": (
            "How often another instance held something else at the same position.",
            router.state_sync.difference.count,
        ),
        "client_memory_bytes": (
            "Bytes that are held for clients.",
            router.memory.used_bytes,
        ),
        "client_memory_peak_bytes": (
            "Most bytes that were held for clients.",
            router.memory.peak_bytes,
        ),
        "client_memory_limit_bytes": (
            "Most bytes that may be held for clients.",
            router.memory.limit_bytes,
        ),
        "client_requests_evicted": (
            "Incomplete requests that were refused to make room for others.",
            router.memory.evicted,
        ),
        "client_memory_refusals": (
            "Requests and replies for which there was no room.",
            router.memory.refused,
        ),
        "client_connections": (
            "Connections of clients.",
            len(router.callers.connections),
        ),
        "client_connections_evicted": (
            "Connections of clients that were closed in favor of new ones.",
            router.callers.evicted,
        ),
        "client_connections_refused": (
            "New connections of clients for which there was no room.",
            router.callers.refused,
        ),
        "pool_limit_refusals": (
            "Requests refused as too many were in flight to one pool.",
            router.forwarder.in_flight.refused,
        ),
        "active": ("Requests being answered.", router.callers.active),
        "word_age_seconds": (
            "Age of the speaker's digest that this instance goes by; 0 if it speaks.",
            router.peers.staleness_s(router.clock.now()),
        ),
        "upstream_connections": (
            "Connections opened to upstreams.",
            router.forwarder.connections.opened,
        ),
        "beacon_bytes": ("Bytes of beacons sent.", router.peer_agent.bytes_sent),
        "requests_suspected": (
            "Different requests and prompt parts that were served as upstreams ended.",
            len(router.quarantine.records),
        ),
        "requests_quarantined": (
            "Different requests and prompt parts that are refused for crashes.",
            len(router.quarantine.refused()),
        ),
    }
    for name, (doc, value) in gauges.items():
        router.metrics.set_gauge(name, doc, float(value))


def describe_router(router: "Router") -> dict[str, Any]:
    """Return what ``/status`` shows."""
    now = router.clock.now()
    fleet = router.fleet()
    return {
        "node": router.node,
        "zone": router.zone,
        "state": router.state.name.lower(),
        "number": router.table.number,
        "store": {
            "away": router.discovery.is_store_unavailable,
            "era": router.discovery.position.era,
            "revision": router.discovery.position.revision,
            "answered_s_ago": round(now - router.discovery.answered_at, 3),
        },
        "active": router.callers.active,
        "evacuated": {
            zone: position.revision
            for zone, position in router.pools.evacuations.zones().items()
        },
        "regions": dict(router.pools.regions),
        "versions": {
            pool: sorted(version for version, span in spans.items() if span.upstreams)
            for pool, spans in router.pools.versions.spans.items()
        }
        | router.pools.versions.describe(),
        "stream_origins": len(router.origins.records),
        "quarantine": _describe_quarantine(router, now),
        "fleet": {
            "speaker": fleet.address,
            "staleness_s": round(router.peers.staleness_s(now), 3),
            "instances": fleet.count,
            "number": fleet.config_number,
            "mark": fleet.change_revision,
            "speakers": dict(fleet.speakers),
        },
        "teams": _describe_teams(router),
        "upstreams": {
            view.id: {
                "pool": view.entry.pool,
                "zone": view.entry.zone,
                "version": view.entry.version,
                "state": view.entry.state.value,
                "says_it_leaves": view.notices.is_leaving,
                "rest_s": round(view.notices.rest_s(now), 3),
                "aside": view.health.ejected,
                "requests": view.load.requests,
                "in_flight": view.load.in_flight(now),
                "unread_tokens": view.load.total_pending_prefill(),
                "limit_per_s": _finite(view.rate_limit.per_s),
                "cold_s": round(view.cold_s(now), 3),
                "own_part_per_s": round(view.rate_limit.local_per_s, 3),
            }
            for view in router.pools.views.values()
        },
    }


def _describe_teams(router: "Router") -> list[dict[str, Any]]:
    """Return demand and share of the largest teams of each pool and rank.

    In tokens of work asked for in the last three seconds, by all instances where
    requests wait and by this one elsewhere; `refused` is the share of the requests that
    is refused.
    """
    return [
        {
            "pool": pool,
            "rank": rank,
            "team": team,
            "demand": standing.demand,
            "share": standing.share,
            "refused": round(standing.refused_share, 2),
            "age_s": round(standing.age_s, 3),
        }
        for pool, by_rank in router.pools.teams.standings(router.clock.now()).items()
        for rank, teams in by_rank.items()
        for team, standing in teams.items()
    ]


def _finite(value: float) -> float | None:
    return value if math.isfinite(value) else None


def _describe_quarantine(router: "Router", now: float) -> dict[str, Any]:
    """Return the requests and parts that are refused for crashing upstreams.

    Only the first 50 are described.
    """
    refused = list(router.quarantine.refused().items())
    return {
        "suspected": len(router.quarantine.records),
        "refused": len(refused),
        "requests": {
            format_fingerprint(fingerprint): {
                "crashes": record.crashes,
                "seen_s_ago": round(now - record.last_seen_at, 1),
            }
            for fingerprint, record in refused[:MAX_SHOWN_REQUESTS]
        },
    }
