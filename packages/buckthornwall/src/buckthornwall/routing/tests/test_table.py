"""Tests of the resolution of requests to route, team and pool."""

import pytest

from buckthornwall.codes import Refusal, ResultCode
from buckthornwall.routing import (
    Pool,
    PoolId,
    PoolShare,
    PublishedConfig,
    RequestRoute,
    ResponseMode,
    RoutedRequest,
    RoutingTable,
    TeamConfig,
)
from buckthornwall.utils import RouteId, TeamId

DRAFTS = PoolId("drafts")
ORDERS = PoolId("orders")


def route(name, prefix, pool=DRAFTS, tier=1, needs_key=True, shares=None, regions=()):
    return RequestRoute(
        id=RouteId(name),
        host="h",
        path_prefix=prefix,
        shares=shares or (PoolShare(pool, 1.0),),
        response_mode=ResponseMode.COMPLETE,
        retryable=True,
        resumable=False,
        timeout_s=1.0,
        target_s=0.5,
        max_pause_s=0.0,
        max_runs=2,
        tier=tier,
        needs_key=needs_key,
        regions=frozenset(regions),
    )


def request(path, key="k"):
    return RoutedRequest("r", b"GET", path.encode(), "h", path, [], b"", 0.0, key)


@pytest.fixture
def table():
    table = RoutingTable()
    table.adopt(
        PublishedConfig(
            number=5,
            routes=(
                route("short", "/a/"),
                route("long", "/a/b/", ORDERS, tier=0),
                route("open", "/open/", needs_key=False),
                route("homeless", "/none/", PoolId("unknown")),
            ),
            pools=(Pool(DRAFTS, "/", 10), Pool(ORDERS, "/", 10)),
            teams=(
                TeamConfig(TeamId("one"), ("k", "k2")),
                TeamConfig(TeamId("first"), ("urgent",), tier=0),
            ),
        )
    )
    return table


def test_longest_path_prefix_wins(table):
    assert table.resolve(request("/a/x")).route.id == "short"
    assert table.resolve(request("/a/b/x")).route.id == "long"


@pytest.mark.parametrize(
    ("path", "key", "code"),
    [
        ("/elsewhere/", "k", ResultCode.UNKNOWN_PATH),
        ("/a", "k", ResultCode.UNKNOWN_PATH),
        ("/a/x", "", ResultCode.UNAUTHENTICATED),
        ("/a/x", "stolen", ResultCode.UNAUTHENTICATED),
        ("/none/x", "k", ResultCode.NO_ENGINE),
    ],
)
def test_unresolvable_request_is_refused_with_specific_code(table, path, key, code):
    with pytest.raises(Refusal) as caught:
        table.resolve(request(path, key))
    assert caught.value.code is code


def test_request_before_first_configuration_is_not_denied():
    with pytest.raises(Refusal) as caught:
        RoutingTable().resolve(request("/a/x"))
    assert caught.value.code is ResultCode.NOT_READY


def test_public_route_needs_no_key(table):
    assert table.resolve(request("/open/x", "")).team == ""


def test_rank_orders_by_route_tier_then_team_tier(table):
    ranks = [
        table.resolve(request("/a/b/x", "urgent")).rank,
        table.resolve(request("/a/b/x")).rank,
        table.resolve(request("/a/x", "urgent")).rank,
        table.resolve(request("/a/x")).rank,
    ]
    assert ranks == sorted(ranks)
    assert len(set(ranks)) == 4


def test_older_configuration_is_rejected(table):
    assert not table.adopt(PublishedConfig(number=4))
    assert table.resolve(request("/a/x")).number == 5


def test_traffic_split_follows_weights(table):
    shares = (PoolShare(DRAFTS, 90), PoolShare(ORDERS, 10))
    pools = (Pool(DRAFTS, "/", 10), Pool(ORDERS, "/", 10))
    table.adopt(PublishedConfig(6, (route("split", "/s/", shares=shares),), pools))
    chosen = [table.resolve(request("/s/x")).pool.id for _ in range(1000)]
    assert 840 < chosen.count(DRAFTS) < 960


@pytest.mark.parametrize(
    ("route_regions", "team_regions", "allowed"),
    [
        ((), (), None),
        (("east", "west"), (), {"east", "west"}),
        ((), ("west",), {"west"}),
        (("east", "west"), ("west", "south"), {"west"}),
        (("east",), ("west",), set()),
    ],
)
def test_allowed_regions_are_intersection_of_route_and_team(
    route_regions, team_regions, allowed
):
    table = RoutingTable()
    team = TeamConfig(TeamId("one"), ("k",), regions=frozenset(team_regions))
    routes = (route("r", "/a/", regions=route_regions),)
    table.adopt(PublishedConfig(1, routes, (Pool(DRAFTS, "/", 10),), (team,)))
    assert table.resolve(request("/a/x")).regions == allowed
