"""Simulated callers: an open-loop load whose arrivals do not wait for responses.

Arrivals, classes, teams, prompts and lengths are sampled from one seed, so that two
policies get the same load. Every response is checked token by token.
"""

import base64
import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import httpcore
import msgspec
import trio
from buckthornwall.platform.client import INSTANCES_PREFIX
from buckthornwall.upstreams.engine import extract_sse_events
from buckthornwall.utils import TRANSPORT_ERRORS

from .deployments import ORDER_ROUTE, ClassLoad, Deployment, make_api_key
from .engine import EngineModel

__all__ = ["Arrival", "Callers", "Outcome", "Verdict", "plan_arrivals"]

LENGTH_SIGMA = 0.9
MAX_TOKENS = 400
MIN_TOKENS = 3
PREFIXES_PER_TEAM = 12
DONE_EVENT = b"[DONE]"
LIST_POLL_S = 0.3
MAX_CONNECT_ATTEMPTS = 3
MAX_CONFIRM_ATTEMPTS = 4
READ_TIMEOUT_S = 20.0

Rate = Callable[[ClassLoad, float], float]


class Verdict(Enum):
    """How a request ended, as seen by its caller."""

    COMPLETE = "whole"
    REFUSED = "refused"
    BROKEN = "broken"
    CORRUPTED = "mixed up"


@dataclass(frozen=True)
class Arrival:
    """A planned request, sent `at` seconds after the start of the load."""

    at: float
    load: ClassLoad
    team: str
    nonce: str
    length: int
    prefix_index: int


@dataclass
class Outcome:
    """Outcome of a request; `first_token_s` and `total_s` count from its arrival.

    `sent_at` and `first_token_at` are times of the machine's monotonic clock, which
    the engine stand-ins share, so that the delay added by the router can be measured.
    """

    arrival: Arrival
    verdict: Verdict = Verdict.BROKEN
    node: str = ""
    tokens: int = 0
    first_token_s: float = math.inf
    total_s: float = math.inf
    code: int = 0
    run: str = ""
    detail: str = ""
    sent_at: float = 0.0
    first_token_at: float = 0.0

    @property
    def inter_token_s(self) -> float:
        """Mean time between tokens, in seconds."""
        if self.tokens < 2:
            return 0.0
        return (self.total_s - self.first_token_s) / (self.tokens - 1)

    @property
    def attained(self) -> bool:
        """Whether the complete response met the targets of its class."""
        load = self.arrival.load
        return (
            self.verdict is Verdict.COMPLETE
            and self.first_token_s <= load.first_token_s
            and self.inter_token_s <= load.inter_token_s
            and self.total_s <= load.total_s
        )


@dataclass
class OrderOutcome:
    """Outcome of an order confirmation."""

    order: str
    status: int = 0
    run: str = ""
    attempts: int = 0
    times: int = 0


def estimate_pool_capacity(
    deployment: Deployment, pool: str, model: EngineModel
) -> float:
    """Return the tokens per second that a pool generates with full batches."""
    step_s = (model.step_ms + model.slots * model.load_ms) / 1000
    return deployment.pools[pool] * model.slots / step_s


def plan_arrivals(
    deployment: Deployment,
    model: EngineModel,
    seconds: float,
    seed: int,
    rate: Rate,
    team_factor: Callable[[str, float], float] = lambda team, at: 1.0,
) -> list[Arrival]:
    """Sample the arrivals of a run.

    Parameters
    ----------
    deployment, model
        Deployment under load, and the speed of its engines.
    seconds
        Duration of the load.
    seed
        Seed of all samples.
    rate
        Demand of a class at a time, relative to its share of the pool's capacity.
    team_factor
        Factor on the arrival rate of a team at a time.
    """
    arrivals: list[Arrival] = []
    for load in deployment.loads:
        generator = random.Random(f"{seed}/{load.id}")
        capacity = estimate_pool_capacity(deployment, load.pool, model)
        mean_tokens = load.median_tokens * math.exp(LENGTH_SIGMA**2 / 2)
        for team, fraction in load.teams:
            base_rate = capacity * load.share * fraction / mean_tokens
            arrivals += _team_arrivals(
                load,
                team,
                seconds,
                generator,
                _scale_rate(base_rate, rate, team_factor, load, team),
            )
    arrivals.sort(key=lambda each: each.at)
    return arrivals


def _scale_rate(base_rate: float, rate: Rate, team_factor, load: ClassLoad, team: str):
    return lambda at: base_rate * rate(load, at) * team_factor(team, at)


def _team_arrivals(
    load: ClassLoad,
    team: str,
    seconds: float,
    generator: random.Random,
    rate_at: Callable[[float], float],
) -> list[Arrival]:
    """Sample a Poisson process of varying rate by thinning."""
    peak = max(rate_at(tenth / 10) for tenth in range(int(seconds * 10) + 1))
    arrivals = []
    at = 0.0
    while peak > 0:
        at += generator.expovariate(peak)
        if at >= seconds:
            break
        sampled = generator.random()
        length = load.median_tokens * math.exp(generator.gauss(0, LENGTH_SIGMA))
        nonce = f"{generator.getrandbits(48):012x}"
        prefix_index = generator.randrange(PREFIXES_PER_TEAM)
        if sampled < rate_at(at) / peak:
            tokens = int(min(MAX_TOKENS, max(MIN_TOKENS, length)))
            arrivals.append(Arrival(at, load, team, nonce, tokens, prefix_index))
    return arrivals


class Callers:
    """Callers that send planned arrivals to the instances listed by the platform.

    Parameters
    ----------
    fleet
        Deployment to call.
    arrivals
        Planned requests.
    order_rate
        Order confirmations per second, sent besides the arrivals.
    one_way_delay_s
        Network delay before each request, in seconds.
    backend
        Network for the requests; sockets if None.
    """

    def __init__(
        self,
        fleet,
        arrivals: list[Arrival],
        order_rate: float = 0.0,
        one_way_delay_s: float = 0.001,
        backend: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        self.fleet = fleet
        self.arrivals = arrivals
        self.order_rate = order_rate
        self.one_way_delay_s = one_way_delay_s
        self.outcomes: list[Outcome] = []
        self.orders: list[OrderOutcome] = []
        self.started = 0.0
        self.ready = list(fleet.nodes)
        self.next_index = 0
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=5000, keepalive_expiry=2.0, network_backend=backend
        )

    async def run(self, seconds: float) -> None:
        """Send all requests and wait until the last one ends."""
        self.started = trio.current_time()
        async with self.pool, trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_instances, nursery.cancel_scope)
            async with trio.open_nursery() as requests:
                requests.start_soon(self._send_orders, requests, seconds)
                for arrival in self.arrivals:
                    due = self.started + arrival.at
                    await trio.sleep_until(due)
                    requests.start_soon(self._send_arrival, arrival)
            nursery.cancel_scope.cancel()

    def next_instance(self):
        """Return the next ready instance, round robin as a load balancer would."""
        self.next_index += 1
        return self.ready[self.next_index % len(self.ready)]

    async def _poll_instances(self, _scope) -> None:
        while True:
            try:
                page = await self.fleet.get_json(
                    self.fleet.platform_address,
                    f"/kv-range?path_prefix={INSTANCES_PREFIX}",
                )
                listed = [
                    msgspec.json.decode(base64.b64decode(item["value"]))
                    for item in page["items"]
                ]
                live = {each["id"] for each in listed if not each["leaving"]}
                ready = [node for node in self.fleet.nodes if node.id in live]
                self.ready = ready or self.ready
            except (httpcore.NetworkError, httpcore.TimeoutException, KeyError):
                pass
            await trio.sleep(LIST_POLL_S)

    async def _send_arrival(self, arrival: Arrival) -> None:
        outcome = Outcome(arrival)
        self.outcomes.append(outcome)
        await trio.sleep(self.one_way_delay_s)
        for _ in range(MAX_CONNECT_ATTEMPTS):
            node = self.next_instance()
            outcome.node = node.id
            try:
                await self._stream_completion(node, arrival, outcome)
                return
            except httpcore.ConnectError:
                continue  # nothing was sent: a balancer attempts the next one
            except TRANSPORT_ERRORS as error:
                outcome.detail = repr(error)
                return

    async def _stream_completion(
        self, node, arrival: Arrival, outcome: Outcome
    ) -> None:
        outcome.sent_at = time.monotonic()
        async with self.pool.stream(
            "POST",
            f"http://{node.caller_address}/v1/chat/completions",
            headers=_headers(arrival.team, arrival.load.id),
            content=msgspec.json.encode(_body(arrival)),
            extensions={"timeout": {"connect": 1.0, "read": READ_TIMEOUT_S}},
        ) as response:
            if response.status != 200:
                _record_refusal(outcome, await response.aread())
                return
            buffer = bytearray()
            async for data in response.aiter_stream():
                buffer += data
                for event in extract_sse_events(buffer):
                    self._process_event(event, outcome)

    def _process_event(self, event: bytes, outcome: Outcome) -> None:
        arrival = outcome.arrival
        now = trio.current_time() - self.started - arrival.at
        if event == DONE_EVENT:
            outcome.total_s = now
            complete = outcome.tokens == arrival.length
            if outcome.verdict is not Verdict.CORRUPTED:
                outcome.verdict = Verdict.COMPLETE if complete else Verdict.CORRUPTED
            return
        chunk = msgspec.json.decode(event)
        if "error" in chunk:
            _record_refusal(outcome, event)
            outcome.verdict = Verdict.BROKEN
            return
        for choice in chunk["choices"]:
            text = choice["delta"].get("content")
            if not text:
                continue
            if text != f"{arrival.nonce}.{outcome.tokens} ":
                outcome.verdict = Verdict.CORRUPTED
                outcome.detail = text
            if not outcome.tokens:
                outcome.first_token_s = now
                outcome.first_token_at = time.monotonic()
            outcome.tokens += 1

    # Orders

    async def _send_orders(self, nursery: trio.Nursery, seconds: float) -> None:
        if not self.order_rate:
            return
        for index in range(int(seconds * self.order_rate)):
            await trio.sleep_until(self.started + index / self.order_rate)
            nursery.start_soon(self._order, f"order-{index}")

    async def _order(self, order: str) -> None:
        """Confirm an order, retrying under one idempotency key until it is settled."""
        outcome = OrderOutcome(order)
        self.orders.append(outcome)
        key = None
        for _ in range(MAX_CONFIRM_ATTEMPTS):
            outcome.attempts += 1
            try:
                status, body = await self._confirm(order, key)
            except TRANSPORT_ERRORS:
                outcome.run = "unknown" if key else "no"
                continue
            outcome.status = status
            error = body.get("error", {})
            outcome.run = error.get("run", "yes")
            outcome.times = body.get("times", 0)
            if status == 428:
                key = error["idempotency_key"]
                continue
            if status == 200 or outcome.run == "no":
                return
            await trio.sleep(1.0)

    async def _confirm(self, order: str, key: str | None) -> tuple[int, dict]:
        team = self.fleet.deployment.teams()[0]
        headers = [("authorization", f"Bearer {make_api_key(team)}")]
        if key:
            headers.append(("idempotency-key", key))
        response = await self.pool.request(
            "POST",
            f"http://{self.next_instance().caller_address}/services/{ORDER_ROUTE}/confirm",
            headers=headers,
            content=msgspec.json.encode({"order": order}),
            extensions={"timeout": {"connect": 1.0, "read": READ_TIMEOUT_S}},
        )
        return response.status, msgspec.json.decode(response.content)


def _headers(team: str, class_id: str) -> list[tuple[str, str]]:
    return [
        ("authorization", f"Bearer {make_api_key(team)}"),
        ("x-service-class", class_id),
        ("content-type", "application/json"),
    ]


def _body(arrival: Arrival) -> dict:
    prefix = f"{arrival.team} plan {arrival.prefix_index}. "
    filler = prefix * (arrival.load.prompt_chars // len(prefix))
    question = f"nonce={arrival.nonce} length={arrival.length}"
    return {
        "model": arrival.load.pool,
        "stream": True,
        "messages": [
            {"role": "system", "content": filler},
            {"role": "user", "content": question},
        ],
    }


def _record_refusal(outcome: Outcome, body: bytes) -> None:
    outcome.verdict = Verdict.REFUSED
    try:
        error = msgspec.json.decode(body)["error"]
        outcome.code = error["code"]
        outcome.run = error["run"]
        outcome.detail = error["message"]
    except (msgspec.DecodeError, KeyError, TypeError):
        outcome.detail = body[:200].decode(errors="replace")
