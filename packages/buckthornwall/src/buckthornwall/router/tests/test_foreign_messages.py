"""Messages of peers with extreme values end no task, and are not passed on.

Whatever an instance accepts from a peer, its own reports are accepted by others.
"""

import random

import cbor2
import msgspec
import pytest

from buckthornwall.codes import PeerError
from buckthornwall.discovery import StoreUpdate
from buckthornwall.peers import Beacon, Digest, Heartbeat, PeerState
from buckthornwall.peers.messages import (
    CrashReports,
    PeerMessage,
    PeerView,
    Work,
    decode,
    encode,
)
from buckthornwall.peers.origin_messages import OriginQuery, OriginRecords, OriginReply
from buckthornwall.peers.packing import pack_loads
from buckthornwall.pools import LimitNeed, PoolReports, UpstreamEntry, UpstreamState
from buckthornwall.pools.pool_reports import SpeedSamples
from buckthornwall.pools.rate_limit import LimitReport
from buckthornwall.quarantine import CrashReport
from buckthornwall.router.core import Router
from buckthornwall.settings import RouterSettings

from .mutations import EXTREMES, mutate, paths
from .test_main import TEXT

PEER, THIRD = "10.0.0.2:7340", "10.0.0.9:7340"
MESSAGES = 2500
# The same router receives this many.
MESSAGES_PER_ROUTER = 50
WORK = Work(3, {0: 500, 4: 900}, 1, {0: 40}, 7000)
COMMON = {
    "loads": {"u1": WORK, "u2": WORK},
    "cached_prefixes": {"u1": [("00c0ffee", 900), ("long-part", 80)]},
    "limits": {"u1": LimitReport(5.0, 100)},
    "rank_tokens": {"p": {0: (5, 6), 4: (7, 8)}},
    "leaving": {"u2": "7"},
    "brittle": {"u2": LimitReport(2.0, 10)},
    "pool_reports": PoolReports({"u1": SpeedSamples(3, 20)}, {"p": {0: {"t": 50}}}),
}
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "path_prefix": "/",
            "kind": "stream",
            "service": "p",
            "public": True,
        }
    ],
    "services": [{"name": "p", "engine": {"slots": 8, "kv_capacity": 9000}}],
}
ENTRIES = [
    UpstreamEntry(name, "p", "127.0.0.1:1", "z", 8, UpstreamState.READY, 0, True, "7")
    for name in ("u1", "u2")
]


@pytest.fixture
def make_router(tmp_path):
    """Return a function that builds an instance whose datagrams are kept."""
    path = tmp_path / "settings.ini"
    path.write_text(TEXT)

    def make():
        router = Router.from_config(RouterSettings.from_file(path))
        raw, entries = msgspec.json.encode(CONFIG), {each.id: each for each in ENTRIES}
        router.discovery.adopt(StoreUpdate(5, True, 5, raw, entries))
        router.sent = []

        async def send(data, address):
            router.sent.append(data)

        agent = router.peer_agent
        agent._send = agent.speaker_lookup.send = agent.origin_exchange.send = send
        return router

    return make


def messages():
    """Return messages of each type, after one that must precede it or None."""
    beacon = Beacon("n", 1, PEER, 1.0, "z", PeerState.READY, 1, 5, 100, 5000, **COMMON)
    beacon.unreachable, beacon.limit_need = ["u1"], LimitNeed.MORE
    changes = ({}, {"state": PeerState.LEAVING}, {"requests_speaker": True})
    found = [(None, msgspec.structs.replace(beacon, **each)) for each in changes]
    shared = COMMON | {"isolated": [THIRD], "relays": {"z": [THIRD]}}
    shared |= {"limit_users": {"z": [THIRD]}, "unreachable": {"u1": 2}}
    for zone, is_fleet in (("z", True), ("z", False), ("y", False)):
        head = (PEER, 99.0, zone, is_fleet)
        members, speakers = {PEER: 99.0, THIRD: 1.0}, {zone: PEER, "q": THIRD}
        digest = Digest(
            *head, 3, members, speakers, 1, 5, PEER, 100, 5000, sequence=7, **shared
        )
        heartbeat = Heartbeat(*head, 2, 6, PEER, 50, 6000, sequence=7, **shared)
        heartbeat.packed_work = pack_loads({"u1": WORK}, ["u1", "u2"])
        found += [(None, digest), (digest, heartbeat)]
    report = CrashReport(2**60 + 3, [5, 6], [5], 3, [100, 200])
    others = [CrashReports(PEER, [report]), OriginRecords("p", "v", {5: 1000})]
    others += [OriginQuery(PEER, 5, "p", 1000, 2), OriginReply(5, "p", "v")]
    return found + [(None, each) for each in others]


async def use(router):
    """Do what the tasks of an instance do with what they know of peers."""
    await router.peer_agent.send_reports()
    router._apply_peer_work()
    now, fleet = router.clock.now(), router.fleet()
    router.forwarder.budgets.set_instances(fleet.count)
    router._update_limit_shares(fleet, now)
    router.quarantine.expire(now + 10_000)
    router.origins.expire(now)
    router.pools.notices.expire()
    router.staleness_monitor.check(now)
    router.peers.expire(now)
    router.state_sync._log_role()
    router.state_sync._record_known(fleet)
    router.state_sync.should_fetch_view(fleet)
    router.discovery.receive_store_uptime(fleet.store_uptime_ms / 1000)
    router.forwarder.relay_candidates()
    decode(encode(router.state_sync.view()), PeerView)
    for data in router.sent:
        decode(data, PeerMessage)
    router.sent.clear()
    digest = router.peers.make_digest(router._make_beacon(), True, now)
    router.peers.assign_sequence(digest)
    heartbeat = router.peers.make_heartbeat(router._make_beacon(), True, now)
    router.peers.add_counts(heartbeat, router._make_beacon(), now)
    decode(encode(digest), PeerMessage)
    decode(encode(heartbeat), PeerMessage)


async def receive(router, before, data):
    """Let an instance receive a message; return whether it was accepted."""
    try:
        message = decode(data, PeerMessage)
    except PeerError:
        return False
    if before is not None:
        await router.peer_agent._handle(decode(encode(before), PeerMessage))
    try:
        await router.peer_agent._handle(message)
    except PeerError:
        return False
    return True


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_extreme_value_of_a_peer_ended_a_task_or_reached_all_others(
    make_router, seed
):
    """A fingerprint of over 64 bits failed at its expiry, sums at all peers."""
    rng = random.Random(seed)
    accepted = 0
    for number in range(MESSAGES):
        if number % MESSAGES_PER_ROUTER == 0:
            router, known = make_router(), messages()
        before, message = rng.choice(known)
        plain = msgspec.to_builtins(message, builtin_types=(bytes,))
        path = rng.choice([each for each in paths(plain) if each[0][1] != 0])
        data = cbor2.dumps(mutate(plain, path, rng.choice(EXTREMES)))
        accepted += await receive(router, before, data)
        await use(router)
    assert 0 < accepted < MESSAGES


async def test_fingerprint_of_over_64_bits_ended_the_housekeeping(make_router):
    router = make_router()
    plain = ["c", PEER, [[2**64, [5, 6], [], 3, [100, 200]]]]
    assert not await receive(router, None, cbor2.dumps(plain))
    await use(router)


async def test_large_counts_of_two_peers_made_reports_that_others_refused(make_router):
    router = make_router()
    limit = 2**53
    work = Work(limit, {0: limit}, limit, {0: limit}, limit)
    for address in (PEER, THIRD):
        beacon = Beacon(
            "n", 1, address, 0.0, "z", PeerState.READY, 1, 5, limit, limit, {"u1": work}
        )
        beacon.rank_tokens = {"p": {0: (limit, limit)}}
        beacon.pool_reports = PoolReports({}, {"p": {0: {"t": limit}}})
        beacon.limits = {"u1": LimitReport(5.0, limit)}
        assert await receive(router, None, encode(beacon))
    await use(router)
