"""Tests of the status lines of instances behind a load balancer."""

from buckthornwall_ctl.router_status import format_router_status, is_router

UPSTREAM = {"aside": False, "cold_s": 0.0, "zone": "north"}
STATUS = {
    "node": "front-1",
    "state": "ready",
    "number": 7,
    "active": 3,
    "fleet": {},
    "evacuated": {"north": 41},
    "regions": {"north": "east"},
    "upstreams": {"a": UPSTREAM, "b": UPSTREAM | {"aside": True}},
}


def test_evacuated_zone_is_shown_below_instance():
    first, second = format_router_status(STATUS)
    assert first.split() == ["front-1", "ready", "7", "3", "1", "of", "2", "upstreams"]
    assert second == "  evacuated: north since revision 41"


def test_cold_upstreams_and_zones_in_no_region_are_shown():
    upstreams = {
        "a": UPSTREAM | {"cold_s": 1.5},
        "b": UPSTREAM | {"zone": "lost"},
    }
    lines = format_router_status(STATUS | {"evacuated": {}, "upstreams": upstreams})
    assert lines[1:] == ["  cold: a", "  in no region: lost"]


def test_router_status_is_distinguished_from_gateway_status():
    assert is_router(STATUS)
    assert not is_router({"records": {}})


def test_teams_beyond_their_share_are_shown_and_no_others():
    within = {
        "pool": "drafts",
        "rank": 7,
        "team": "small",
        "demand": 100,
        "share": 100,
        "refused": 0.0,
    }
    beyond = within | {"team": "large", "demand": 900, "share": 300, "refused": 0.67}
    lines = format_router_status(STATUS | {"teams": [within, beyond]})
    assert lines[2:] == [
        "  beyond its share: large at drafts, rank 7: asks for 900 tokens of work, "
        "its share is 300, 67% of its requests are refused"
    ]
