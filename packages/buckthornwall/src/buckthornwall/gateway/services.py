"""Calls to services, repeatable or not."""

from urllib.parse import quote

from buckthornwall.admission import Admission, AdmittedRequest, TeamConcurrencyLimiter
from buckthornwall.codes import Executed, Refusal, ResultCode, UpstreamError
from buckthornwall.idempotency import CallRequest, IdempotencyAgent, StoredOutcome
from buckthornwall.records import TargetKind, Upstream
from buckthornwall.telemetry import Tracing
from buckthornwall.upstreams import RetryBudget, ServiceClient
from buckthornwall.utils import Clock, rendezvous_order

from .http import Exchange

__all__ = ["ServiceHandler"]

SERVICES_PREFIX = "/services/"
KEY_HEADER = "idempotency-key"
CLASS_HEADER = "x-service-class"
DROPPED_REQUEST_HEADERS = {
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    KEY_HEADER,
    CLASS_HEADER,
}


class ServiceHandler:
    """Serve ``ANY /services/<route>/...`` and ``POST /idempotency-keys``.

    Parameters
    ----------
    admission
        Authenticates teams and admits their requests.
    teams
        Limits the concurrent requests of each team.
    agent
        Makes calls that must not be repeated.
    client
        Makes repeatable calls.
    budget
        Retry budget of repeatable calls.
    tracing, clock
        Trace spans and the time source of this instance.
    limits
        The ``[gateway]`` section.
    is_leaving
        Returns whether an upstream should get no new work at a given time.
    """

    def __init__(
        self,
        admission: Admission,
        teams: TeamConcurrencyLimiter,
        agent: IdempotencyAgent,
        client: ServiceClient,
        budget: RetryBudget,
        tracing: Tracing,
        clock: Clock,
        limits,
        is_leaving,
    ) -> None:
        self.admission = admission
        self.teams = teams
        self.agent = agent
        self.client = client
        self.budget = budget
        self.tracing = tracing
        self.clock = clock
        self.limits = limits
        self.is_leaving = is_leaving

    def create_key(self) -> str:
        """Return a new idempotency key."""
        return self.agent.issue()

    async def issue_key(self, exchange: Exchange) -> None:
        """Serve ``POST /idempotency-keys``."""
        self.admission.authenticate(exchange.headers.get("authorization"))
        await exchange.respond_json({"idempotency_key": self.create_key()}, 201)

    async def handle(self, exchange: Exchange) -> None:
        """Serve a call to a service."""
        team = self.admission.authenticate(exchange.headers.get("authorization"))
        name, _, subpath = exchange.path[len(SERVICES_PREFIX) :].partition("/")
        requested_class = exchange.headers.get(CLASS_HEADER)
        admitted = self.admission.admit(team, TargetKind.SERVICE, name, requested_class)
        body = await exchange.read_body(
            self.limits.body_limit_bytes, self.limits.body_timeout_s
        )
        request = self._request(exchange, admitted, subpath, body)
        traceparent = exchange.headers.get("traceparent")
        with (
            self.teams.hold(team),
            self.tracing.span("service_call", traceparent, route=name) as outgoing,
        ):
            if outgoing:
                request.headers.append(("traceparent", outgoing))
            if admitted.route.repeatable:
                outcome = await self._call_repeatable(request)
            else:
                outcome = await self._call_once(exchange, request)
        await exchange.start(outcome.status, outcome.headers)
        await exchange.write(outcome.body, more=False)

    def _request(
        self, exchange: Exchange, admitted: AdmittedRequest, subpath: str, body: bytes
    ) -> CallRequest:
        path = "/" + quote(subpath)
        if exchange.query:
            path += "?" + exchange.query.decode("latin-1")
        headers = [
            (key, value)
            for key, value in exchange.headers.items()
            if key not in DROPPED_REQUEST_HEADERS and key != "traceparent"
        ]
        return CallRequest(
            admitted.route.id,
            admitted.team.id,
            exchange.method,
            path,
            headers,
            body,
            admitted.route.timeout_s,
        )

    async def _call_once(
        self, exchange: Exchange, request: CallRequest
    ) -> StoredOutcome:
        key = exchange.headers.get(KEY_HEADER)
        if not key:
            raise Refusal(ResultCode.KEY_REQUIRED)
        return await self.agent.call(key, request)

    async def _call_repeatable(self, request: CallRequest) -> StoredOutcome:
        """Call an upstream, and retry on another one if the call fails.

        Gives up after two upstreams have failed or when the retry budget is empty.
        """
        self.budget.earn()
        excluded: set[str] = set()
        while True:
            try:
                return await self._call_next(request, excluded)
            except UpstreamError as error:
                executed = Executed.UNKNOWN if error.sent else Executed.NO
                if len(excluded) > 1 or not self.budget.spend():
                    raise Refusal(error.code, error.detail, executed, 1.0) from error

    async def _call_next(
        self, request: CallRequest, excluded: set[str]
    ) -> StoredOutcome:
        candidates = self.candidates(request.route)
        targets = [each for each in candidates if each.id not in excluded] or candidates
        if not targets:
            raise Refusal(ResultCode.UPSTREAM_UNREACHABLE, retry_after_s=1.0)
        excluded.add(targets[0].id)
        status, headers, body = await self.client.call(
            targets[0],
            request.method,
            request.path,
            request.headers,
            request.body,
            request.timeout_s,
        )
        return StoredOutcome(status, headers, body)

    def candidates(self, route_id: str) -> list[Upstream]:
        """Return the upstreams of a route, in an order that spreads the load."""
        view = self.admission.view
        route = view.routes.get(route_id)
        if route is None:
            return []
        now = self.clock.now()
        upstreams = {
            each.id: each
            for each in view.services_of(route.target)
            if not self.is_leaving(each.id, now)
        }
        return [upstreams[each] for each in rendezvous_order(str(now), upstreams)]

    async def dispatch_once(self, request: CallRequest) -> StoredOutcome:
        """Make the single call of an idempotency key.

        The next upstream is tried only if nothing can have been sent to the last one.

        Raises
        ------
        UpstreamError
            `sent` says whether anything may have been sent.
        """
        failure = UpstreamError(ResultCode.UPSTREAM_UNREACHABLE, sent=False)
        for upstream in self.candidates(request.route):
            try:
                status, headers, body = await self.client.call(
                    upstream,
                    request.method,
                    request.path,
                    request.headers,
                    request.body,
                    request.timeout_s,
                )
                return StoredOutcome(status, headers, body)
            except UpstreamError as error:
                failure = error
                if error.sent:
                    break
        raise failure
