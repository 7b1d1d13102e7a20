"""Reconciliation of the adapters that engines have loaded with their records.

One instance per engine, chosen by rendezvous hashing, loads the adapters named in
the engine's record. Each request to load carries the number of the records as its
fencing token [1]_. For engines that ignore the token the risk of a stale request is
kept as small as possible: the loaded adapters are read right before it, only those
that differ are loaded, and the last check that this instance is not stale happens
in the same step that writes the request.

References
----------
.. [1] Kleppmann, M., "Designing Data-Intensive Applications", chapter 8,
   O'Reilly, 2017 (fencing tokens).
"""

from collections.abc import Callable

import httpcore
import msgspec
import trio

from buckthornwall.codes import ResultCode, UpstreamError
from buckthornwall.membership import FreezeDetector, MemberTable
from buckthornwall.records import RecordStore, Upstream, UpstreamKind
from buckthornwall.telemetry import log_event
from buckthornwall.utils import (
    TRANSPORT_ERRORS,
    DecodingError,
    ReplyLimits,
    decode_json,
    request_bounded,
)

from .engine import UpstreamSettings

__all__ = ["AdapterReconciler"]

RECONCILE_INTERVAL_S = 1.0
HTTP_CONFLICT = 409
MAX_REPLY_BYTES = 2**20


class _LoadedModel(msgspec.Struct):
    """A model or adapter, and the version that it was loaded from."""

    id: str
    root: str | None = ""


class _LoadedModels(msgspec.Struct):
    data: list[_LoadedModel]


class AdapterReconciler:
    """Load the adapters that engines' records name.

    Parameters
    ----------
    settings
        The ``[upstreams]`` section.
    pool
        Connection pool without keep-alive: a connection that was open during a
        freeze of this process must not carry a request afterwards.
    store, members, freeze
        Records in force, the membership table, and the detector of freezes of this
        process.
    is_caught_up
        Returns whether anything was received from others since the start or the last
        freeze.
    """

    def __init__(
        self,
        settings: UpstreamSettings,
        pool: httpcore.AsyncConnectionPool,
        store: RecordStore,
        members: MemberTable,
        freeze: FreezeDetector,
        is_caught_up: Callable[[], bool],
    ) -> None:
        self.settings = settings
        self.store = store
        self.members = members
        self.freeze = freeze
        self.is_caught_up = is_caught_up
        self.pool = pool
        self.sent = 0
        self.fenced = 0

    async def run(self) -> None:
        """Reconcile the engines assigned to this instance periodically."""
        while True:
            await trio.sleep(RECONCILE_INTERVAL_S)
            if self.store.view is None or not self.is_caught_up():
                continue
            async with trio.open_nursery() as nursery:
                for engine in self._assigned_engines():
                    nursery.start_soon(self._reconcile, engine)

    def _assigned_engines(self) -> list[Upstream]:
        return [
            engine
            for engine in self.store.view.upstreams.values()
            if engine.type is UpstreamKind.ENGINE
            and engine.order.adapters
            and self.members.winner(f"orders:{engine.id}") == self.members.node
        ]

    async def _reconcile(self, engine: Upstream) -> None:
        number = self.store.number
        try:
            loaded = await self._read_adapters(engine)
            for name, version in engine.order.adapters.items():
                if loaded.get(name) != version:
                    await self._load_adapter(engine, name, version, number)
        except UpstreamError as error:
            fenced = error.code is ResultCode.ORDER_FENCED
            self.fenced += fenced
            log_event("order_failed", "WARNING", engine=engine.id, detail=error)

    def _check_not_fenced(self, number: int) -> None:
        """Raise an error if this process was frozen or newer records are in force."""
        if self.freeze.check() or not self.is_caught_up():
            raise UpstreamError(
                ResultCode.ORDER_FENCED, "frozen or not caught up", sent=False
            )
        if self.store.number != number:
            raise UpstreamError(ResultCode.ORDER_FENCED, "newer records", sent=False)

    async def _read_adapters(self, engine: Upstream) -> dict[str, str]:
        content = await self._request(engine, "GET", "/v1/models", None, 0)
        try:
            models = decode_json(content, _LoadedModels).data
        except DecodingError as error:
            raise UpstreamError(ResultCode.UPSTREAM_GARBAGE, repr(error)) from error
        return {each.id: each.root for each in models}

    async def _load_adapter(
        self, engine: Upstream, name: str, version: str, number: int
    ) -> None:
        body = {"lora_name": name, "lora_path": version}
        await self._request(engine, "POST", "/v1/load_lora_adapter", body, number)
        self.sent += 1
        log_event("order_sent", engine=engine.id, adapter=name, version=version)

    async def _request(
        self, engine: Upstream, method: str, path: str, body: dict | None, number: int
    ) -> bytes:
        async def trace(event: str, _info: dict) -> None:
            if number and event.endswith("send_request_headers.started"):
                self._check_not_fenced(number)

        timeout_s = self.settings.connect_s
        headers = [("content-type", "application/json")]
        if number:
            headers.append(("x-fencing-number", str(number)))
        try:
            response, reply = await request_bounded(
                self.pool,
                method,
                f"http://{engine.address}{path}",
                limits=ReplyLimits(MAX_REPLY_BYTES, 3 * timeout_s),
                headers=headers,
                content=msgspec.json.encode(body) if body else b"",
                extensions={
                    "timeout": {
                        "connect": timeout_s,
                        "read": timeout_s,
                        "write": timeout_s,
                    },
                    "trace": trace,
                },
            )
        except TRANSPORT_ERRORS as error:
            raise UpstreamError(ResultCode.UPSTREAM_BROKEN, repr(error)) from error
        if response.status == HTTP_CONFLICT:
            raise UpstreamError(ResultCode.ORDER_FENCED, engine.id)
        if response.status != 200:
            detail = f"{engine.id} status {response.status}"
            raise UpstreamError(ResultCode.UPSTREAM_BROKEN, detail)
        return reply
