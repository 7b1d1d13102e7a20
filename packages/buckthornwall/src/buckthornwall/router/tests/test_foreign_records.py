"""Values of the store with extreme fields end no task, and fail no request."""

import json
import random

import pytest
import trio

from buckthornwall.forwarding.tests.helpers import Recorder
from buckthornwall.http1 import IncomingRequest
from buckthornwall.platform import decode_request, names
from buckthornwall.platform.calls import Changes, StoredValue
from buckthornwall.platform.store import to_store_update
from buckthornwall.router.core import Router
from buckthornwall.settings import RouterSettings
from buckthornwall.utils import StorePosition

from .mutations import EXTREMES, mutate, paths
from .test_foreign_messages import use
from .test_main import TEXT

RECORDS = 250
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "path_prefix": "/",
            "kind": "stream",
            "priority": 1,
            "target_latency_ms": 200.5,
            "timeout_ms": 300,
            "max_attempts": 2,
            "gap_aim_ms": 100,
            "public": True,
            "resumable": True,
            "traffic_split": [{"service": "p", "weight": 1.0}],
        }
    ],
    "services": [
        {
            "name": "p",
            "max_connections": 10,
            "health_path": "/h",
            "engine": {"slots": 8, "kv_capacity": 90_000, "stride": 3},
            "cold_start_s": 3,
            "cold_per_s": 9,
        }
    ],
    "limits": {
        "max_header_bytes": 8192,
        "max_body_bytes": 100_000,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 3000,
    },
    "tenants": [{"name": "t", "api_keys": ["k"], "priority": 0}],
}
REGISTRATION = {
    "service": "p",
    "address": "127.0.0.1:1",
    "zone": "z",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 100,
    "models": [{"name": "m"}],
    "version": "v1",
    "born": 17,
}
EVACUATION = {"zone": "z", "since": 3}
PROMPT = [
    (names.MODEL, b"m"),
    (names.TOKEN_COUNT, b"900,90"),
    (names.PROMPT_SEGMENTS, b"aa:600,bb:300"),
]


@pytest.fixture
def make_router(tmp_path):
    """Return a function that builds an instance whose datagrams are kept."""
    path = tmp_path / "settings.ini"
    path.write_text(TEXT)

    def make():
        router = Router.from_config(RouterSettings.from_file(path))
        router.sent = []

        async def send(data, address):
            router.sent.append(data)

        agent = router.peer_agent
        agent._send = agent.speaker_lookup.send = agent.origin_exchange.send = send
        return router

    return make


def encode(record):
    def as_text(value):
        return value.decode("latin-1")

    return json.dumps(record, default=as_text).encode()


def adopt(router, config=CONFIG, registration=REGISTRATION, evacuation=None):
    evacuated = encode(evacuation) if evacuation is not None else None
    values = [
        StoredValue("op/config", 2, encode(config)),
        StoredValue("servers/u1", 3, encode(registration)),
        StoredValue("servers/u2", 3, encode(REGISTRATION)),
        StoredValue("op/evacuate/z", 4, evacuated),
    ]
    changes = Changes(StorePosition(1, 5), values)
    router.discovery._adopt(to_store_update(changes, is_snapshot=True))


async def ask(router, more=()):
    """Forward a request, and return its answer; nothing listens at the upstreams."""
    headers = [(b"host", b"h"), (names.REQUEST_ID, b"i"), (names.DEADLINE, b"60")]
    now = router.clock.now()
    incoming = IncomingRequest(b"POST", b"/x", [*headers, *more], b"hi", now)
    answer = Recorder()
    with trio.fail_after(3.0):
        await router.forwarder.forward(decode_request(incoming), answer)
    return answer


@pytest.mark.parametrize("seed", [1, 2])
async def test_extreme_field_of_a_record_ended_a_task_or_failed_requests(
    make_router, seed
):
    """The record is refused, or what it says is bearable."""
    rng = random.Random(seed)
    records = {
        "config": CONFIG,
        "registration": REGISTRATION,
        "evacuation": EVACUATION,
    }
    for _ in range(RECORDS):
        router = make_router()
        kind = rng.choice([*records, "config"])
        path = rng.choice(list(paths(records[kind])))
        mutated = mutate(records[kind], path, rng.choice(EXTREMES))
        adopt(router, **{kind: mutated})
        assert kind == "registration" or "u2" in router.pools.views
        await use(router)
        for more in ((), PROMPT):
            assert (await ask(router, more)).ended
        await use(router)


async def test_prompt_on_a_route_to_a_plain_service_closed_the_connection(make_router):
    """The pool describes no engine, which placement of prompts relied on."""
    router = make_router()
    adopt(router, CONFIG | {"services": [{"name": "p"}]})
    answer = await ask(router, PROMPT)
    assert answer.status == 503
    assert answer.run == "no"
