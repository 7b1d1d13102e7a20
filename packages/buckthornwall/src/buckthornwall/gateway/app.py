"""The ASGI application for clients: routes, settings and error responses."""

from collections.abc import Awaitable, Callable

import trio

from buckthornwall.admission import Admission
from buckthornwall.capacity import MemoryBudget
from buckthornwall.codes import Executed, Refusal, ResultCode
from buckthornwall.telemetry import Metrics, log_event
from buckthornwall.utils import ConfigItem, ConfigNamespace

from .completions import CompletionHandler
from .http import ClientDisconnected, Exchange
from .services import ServiceHandler

__all__ = ["GatewayApp", "GatewaySettings"]

SERVICES_PREFIX = "/services/"
Handler = Callable[[Exchange], Awaitable[None]]


class GatewaySettings(ConfigNamespace):
    """Settings of the listener for clients."""

    section = "gateway"

    listen = ConfigItem("", "Address and port for clients.", required=True)
    body_limit_bytes = ConfigItem(1_000_000, "Largest body accepted.", minimum=1)
    header_limit_bytes = ConfigItem(
        16_384, "Largest request head accepted.", minimum=512
    )
    body_timeout_s = ConfigItem(
        10.0, "Seconds within which a body must arrive.", minimum=0.1
    )
    keep_alive_s = ConfigItem(
        30.0, "Seconds that an idle connection is kept.", minimum=1
    )
    drain_s = ConfigItem(
        2.0, "Seconds of serving on after a shutdown is announced.", minimum=0
    )
    stop_limit_s = ConfigItem(
        600.0, "Maximum seconds to wait for requests in flight at shutdown.", minimum=1
    )
    tls_certificate = ConfigItem("", "PEM file of the listener's certificate.")
    tls_key = ConfigItem("", "PEM file of the certificate's key.")


class GatewayApp:
    """Dispatch clients' requests and turn failures into error responses.

    Parameters
    ----------
    settings
        The ``[gateway]`` section.
    admission
        Authenticates teams and holds the records in force.
    completions, services
        Handlers of the requests.
    metrics
        Metrics of this instance.
    memory
        The account of what is held for clients.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        admission: Admission,
        completions: CompletionHandler,
        services: ServiceHandler,
        metrics: Metrics,
        memory: MemoryBudget,
    ) -> None:
        self.settings = settings
        self.admission = admission
        self.completions = completions
        self.services = services
        self.metrics = metrics
        self.memory = memory
        self.in_flight = 0
        self.draining = False
        self.idle = trio.Event()
        self.routes: dict[str, tuple[str, Handler]] = {
            "/v1/chat/completions": ("POST", completions.handle),
            "/v1/completions": ("POST", completions.handle),
            "/v1/models": ("GET", self._models),
            "/idempotency-keys": ("POST", services.issue_key),
        }

    async def __call__(self, scope: dict, receive, send) -> None:
        """Serve one ASGI connection scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        self.in_flight += 1
        try:
            with self.memory.hold() as holding:
                exchange = Exchange(scope, receive, send, holding)
                exchange.close_after = self.draining
                await self._serve(exchange)
        finally:
            self.in_flight -= 1
            if self.draining and not self.in_flight:
                self.idle.set()

    async def _serve(self, exchange: Exchange) -> None:
        try:
            await self._dispatch(exchange)
        except ClientDisconnected:
            log_event("caller_gone", "DEBUG", path=exchange.path)
        except Refusal as refusal:
            await self._refuse(exchange, refusal)
        except Exception as error:
            # A bug in the router must not leave a client without a response.
            log_event("internal_error", "ERROR", detail=repr(error))
            refusal = Refusal(
                ResultCode.UPSTREAM_BROKEN, "internal error", Executed.UNKNOWN
            )
            await self._refuse(exchange, refusal)

    async def _refuse(self, exchange: Exchange, refusal: Refusal) -> None:
        self.metrics.refusals.inc({"code": str(refusal.code.number)})
        needs_key = refusal.code in (ResultCode.KEY_REQUIRED, ResultCode.KEY_FOREIGN)
        key = self.services.create_key() if needs_key else None
        await exchange.refuse(refusal, key)

    async def _dispatch(self, exchange: Exchange) -> None:
        if exchange.path.startswith(SERVICES_PREFIX):
            await self.services.handle(exchange)
            return
        route = self.routes.get(exchange.path)
        if route is None:
            raise Refusal(ResultCode.UNKNOWN_PATH, exchange.path)
        method, handler = route
        if exchange.method != method:
            raise Refusal(ResultCode.METHOD_NOT_ALLOWED, f"use {method}")
        await handler(exchange)

    async def _models(self, exchange: Exchange) -> None:
        self.admission.authenticate(exchange.headers.get("authorization"))
        data = [
            {"id": route.id, "object": "model", "owned_by": "buckthornwall"}
            for route in self.admission.view.routes.values()
            if route.to.value == "model"
        ]
        await exchange.respond_json({"object": "list", "data": data})

    async def wait_idle(self) -> None:
        """Return once no request is in flight."""
        while self.in_flight:
            self.idle = trio.Event()
            await self.idle.wait()


async def serve_lifespan(receive, send) -> None:
    while True:
        event = await receive()
        if event["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        elif event["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return
