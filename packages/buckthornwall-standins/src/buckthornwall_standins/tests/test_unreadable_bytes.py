"""Bytes that cannot be read, from the store or from peers, end no instance."""

import itertools
import socket

import cbor2
import msgspec
import pytest
import trio

from buckthornwall_standins.users_platform.deployment import DRAFTS

from .test_router import Cluster

NESTED = b'{"x":' + b"[" * 2001
ADDRESS = "127.0.7.1:7400"
# Makes each registration differ from the one before.
CHANGES = itertools.count()


def registration(**changes):
    fields = {"service": DRAFTS, "address": ADDRESS, "zone": "zone-1", "slots": 8}
    return msgspec.json.encode(fields | changes)


UNREADABLE = {
    "nested": NESTED,
    "empty": b"",
    "binary": bytes(range(256)),
    "other type": b"[1, 2]",
}
UNUSABLE = {
    "port": registration(address="127.0.7.1:70000"),
    "octet": registration(address="127.0.7.999:7400"),
    "line end": registration(address=ADDRESS + "\n"),
    "name": registration(address="localhost:7400"),
    "slots": registration(slots=-1),
    "many slots": registration(slots=10**30),
    "cold": registration(cold_remaining_ms=1e300),
    "long zone": registration(zone="z" * 100_000),
}


@pytest.fixture
async def cluster(nursery):
    cluster = Cluster(nursery)
    await cluster.start(2)
    return cluster


async def settle(cluster):
    """Wait until all instances have the newest change, and check that they serve."""
    cluster.deployment.register("last", DRAFTS, ADDRESS, cold_remaining_s=next(CHANGES))
    await cluster.wait_until(
        lambda: all(
            router.discovery.change_position.revision >= cluster.store.revision
            for router in cluster.routers.values()
        )
    )
    for number in cluster.routers:
        assert not cluster.ended[number].is_set()
        status, _, _ = await cluster.call("/order/x", number)
        assert status == 200


@pytest.mark.parametrize("name", [*UNREADABLE, *UNUSABLE])
async def test_registration_that_cannot_be_read_ended_every_instance(
    cluster, event_log, name
):
    """Only that entry is refused; a start after it reads the others too."""
    raw = (UNREADABLE | UNUSABLE)[name]
    cluster.store.put_raw("servers/other", raw)
    await settle(cluster)
    await cluster.add_router(3)
    await settle(cluster)
    assert all("other" not in each.pools.views for each in cluster.routers.values())
    refused = [line for line in event_log if "event=registration_refused" in line]
    assert refused
    assert all("upstream=other code=500" in line for line in refused)


@pytest.mark.parametrize("raw", UNREADABLE.values(), ids=UNREADABLE)
async def test_zone_record_that_cannot_be_read_ended_every_instance(
    cluster, event_log, raw
):
    cluster.store.put_raw("op/evacuate/zone-1", raw)
    await settle(cluster)
    assert not any(
        each.pools.evacuations.is_evacuated("zone-1")
        for each in cluster.routers.values()
    )
    assert any(
        "event=evacuation_refused" in line and "code=5005" in line for line in event_log
    )


@pytest.mark.parametrize(
    "raw",
    [
        *UNREADABLE.values(),
        b'{"version": 99, "limits": {"max_header_bytes": -1}}',
        b'{"version": 1' + b"0" * 400 + b"}",
        b'{"version": 99, "tenants": [{"name": "a\\nb"}]}',
    ],
)
async def test_configuration_that_cannot_be_read_ended_every_instance(
    cluster, event_log, raw
):
    """The last one stays in force."""
    numbers = {router.table.number for router in cluster.routers.values()}
    cluster.store.put_raw("op/config", raw)
    await settle(cluster)
    assert {router.table.number for router in cluster.routers.values()} == numbers
    assert any(
        "event=config_refused" in line and "code=5005" in line for line in event_log
    )


@pytest.mark.parametrize(
    "item",
    [
        {"value": "a"},
        {"value": "ü"},
        {"value": 7},
        {"value": "e30=", "revision": -4},
        {"value": "e30=", "revision": 10**30},
        {"key": 9, "value": "e30="},
    ],
)
async def test_item_that_cannot_be_read_hid_all_others(
    cluster, event_log, monkeypatch, item
):
    """An item is refused by itself, whether its value or the item is malformed."""
    broken = {"key": "servers/other", "revision": 1} | item
    read = cluster.store.range

    def read_with_broken_item(query):
        page = read(query)
        return page | {"items": [broken, *page["items"]]}

    monkeypatch.setattr(cluster.store, "range", read_with_broken_item)
    await cluster.add_router(3)
    await settle(cluster)
    assert "other" not in cluster.routers[3].pools.views
    assert any(
        "event=item_refused" in line and "code=5005" in line for line in event_log
    )


def datagrams(router):
    """Return datagrams that are messages but for one field, and some that are none."""
    beacon = msgspec.to_builtins(router._make_beacon(), builtin_types=(bytes,))
    address = beacon.index(router.settings.peers.listen)
    variants = []
    for value in ("nowhere", "127.0.8.2:99999", "127.0.8.2", "[::1]:7", ""):
        variants.append([*beacon[:address], value, *beacon[address + 1 :]])
    for index, field in enumerate(beacon):
        if isinstance(field, int) and not isinstance(field, bool):
            for value in (-1, 10**400, 2**64, float("nan"), True, None):
                variants.append([*beacon[:index], value, *beacon[index + 1 :]])
    cyclic = b"\xd8\x1c\x81\xd8\x1d\x00"
    nested = b"\x81" * 50_000
    return [*map(cbor2.dumps, variants), cyclic, nested, b"", b"\x78\x9c", b"\xff" * 99]


async def test_datagram_that_cannot_be_read_ended_an_instance(cluster, event_log):
    router = cluster.routers[1]
    sender = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    host, port = router.settings.peers.listen.split(":")
    for data in datagrams(router):
        await sender.sendto(data, (host, int(port)))
    await trio.sleep(0.5)
    await settle(cluster)
    assert any(
        "event=beacon_refused" in line and "code=7002" in line for line in event_log
    )
