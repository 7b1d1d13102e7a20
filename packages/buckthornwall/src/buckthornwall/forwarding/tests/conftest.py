"""Shared fixtures of the forwarding tests."""

import pytest
import trio

from buckthornwall.forwarding import (
    Forwarder,
    ForwardingSettings,
)
from buckthornwall.pools import PoolTable, UpstreamEntry, UpstreamState
from buckthornwall.pools.load import PeerLoad
from buckthornwall.quarantine import QuarantineSettings, QuarantineTable
from buckthornwall.routing import (
    EngineSpec,
    Pool,
    PoolShare,
    PublishedConfig,
    RequestRoute,
    ResponseMode,
    RoutedRequest,
    RoutingTable,
)
from buckthornwall.telemetry import RouterMetrics
from buckthornwall.utils import RouteId, TrioClock, UpstreamId, ZoneId

from .helpers import POOL, PlainCodec, Recorder

ENGINE = EngineSpec(slots=100, memory_tokens=300_000, tokens_per_event=5)


@pytest.fixture
def forward(raw_upstream):
    """Return a function that forwards one request to scripted upstreams."""

    async def forward(
        *scripts,
        response_mode=ResponseMode.COMPLETE,
        retryable=True,
        max_runs=3,
        timeout_s=2.0,
        reserve=50.0,
        has_retries=True,
        client_timeout_s=None,
        limit_per_s=None,
        limited="u0",
        local_per_s=0.0,
        prompt=None,
        waiting_tokens=None,
    ):
        clock = TrioClock()
        table, pools = RoutingTable(), PoolTable(clock)
        route = RequestRoute(
            id=RouteId("route"),
            host="h",
            path_prefix="/",
            shares=(PoolShare(POOL, 1.0),),
            response_mode=response_mode,
            retryable=retryable,
            resumable=retryable and response_mode is ResponseMode.EVENT_STREAM,
            timeout_s=timeout_s,
            target_s=0.2,
            max_pause_s=0.1,
            max_runs=max_runs,
            tier=1,
            needs_key=False,
        )
        engine = ENGINE if prompt is not None else None
        pool = Pool(POOL, "/", 10, engine)
        table.adopt(PublishedConfig(1, (route,), (pool,)))
        forward.addresses = []
        for number, script in enumerate(scripts):
            address = script if isinstance(script, str) else await raw_upstream(*script)
            forward.addresses.append(address)
            # More slots look less loaded, so upstreams are tried in this order.
            slots = 1000 if number == 0 else 100 - number
            pools.adopt(
                UpstreamEntry(
                    UpstreamId(f"u{number}"),
                    POOL,
                    address,
                    ZoneId("z"),
                    slots,
                    UpstreamState.READY,
                )
            )
            pools.views[f"u{number}"].load.requests = number
        for name, tokens in (waiting_tokens or {}).items():
            pools.views[name].load.peers = PeerLoad(1, {4: tokens})
        if limit_per_s is not None:
            pools.rate_limits.record(pools.views[limited], limit_per_s)
            pools.views[limited].rate_limit.set_share(local_per_s, clock.now())
        settings = ForwardingSettings(retry_ratio=0.0, retry_reserve=reserve)
        quarantine = QuarantineTable(QuarantineSettings())
        forwarder = Forwarder(
            settings,
            ZoneId("z"),
            table,
            pools,
            PlainCodec(),
            clock,
            RouterMetrics(),
            quarantine,
        )
        forward.quarantine = quarantine
        forward.metrics, forward.pools = forwarder.metrics, pools
        forwarder.budgets.instances = 1.0
        while not has_retries and forwarder.budgets.spend(POOL):
            pass
        request = RoutedRequest("r", b"POST", b"/", "h", "/", [], b"x", clock.now())
        request.client_timeout_s = client_timeout_s
        request.prompt = prompt
        answer = Recorder()
        with trio.fail_after(5):
            await forwarder.forward(request, answer)
        return answer

    def arrivals():
        requests = raw_upstream.requests
        return [len(requests.get(address, ())) for address in forward.addresses]

    forward.arrivals = arrivals
    forward.requests = raw_upstream.requests
    return forward
