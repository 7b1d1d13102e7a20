"""Stand-in of a model engine: continuous batching, priorities, prefix cache, load lag.

The completion of a prompt that holds ``nonce=N length=L`` is the words ``N.0`` to
``N.L-1``, one token each, so that a caller can verify that the response is its own and
complete. A prompt that ends with a part of the completion is continued.
"""

import argparse
import bisect
import re
import time
from collections import Counter, OrderedDict
from typing import Any

import msgspec
import trio
from buckthornwall.gateway.http import ClientDisconnected, Exchange
from buckthornwall.gateway.job import hash_prefix

from .asgi import json_app, serve_until_signal

__all__ = ["Engine", "EngineModel"]

MAX_BODY_BYTES = 2**21
PROMPT_PATTERN = re.compile(r"nonce=(\w+) length=(\d+)")
BODY_BYTES_PER_TOKEN = 4
FENCING_HEADER = "x-fencing-number"


class EngineModel(msgspec.Struct, kw_only=True):
    """Speed of an engine.

    A step takes ``step_ms + running * load_ms`` milliseconds, and `prefill_us`
    microseconds more for each prompt token that is not in the prefix cache.
    """

    slots: int = 4
    step_ms: float = 36.0
    load_ms: float = 1.0
    prefill_us: float = 100.0
    cached_prefixes: int = 32
    report_lag_s: float = 0.5


class Sequence:
    """One completion that is being generated."""

    def __init__(self, nonce: str, start: int, length: int, priority: int) -> None:
        self.nonce = nonce
        self.next_token = start
        self.end = length
        self.priority = priority
        self.ready: list[int] = []
        self.token_ready = trio.Event()
        self.cancelled = False

    def emit(self) -> None:
        """Generate one token."""
        self.ready.append(self.next_token)
        self.next_token += 1
        self.token_ready.set()

    @property
    def finished(self) -> bool:
        """Whether all tokens are generated."""
        return self.next_token >= self.end


class Engine:
    """State, handlers and tasks of the stand-in.

    Parameters
    ----------
    name
        Identifier of the engine.
    model
        Speed of the engine.
    fencing
        Whether it refuses an adapter order with an outdated fencing number.
    """

    def __init__(self, name: str, model: EngineModel, fencing: bool) -> None:
        self.name = name
        self.model = model
        self.fencing = fencing
        self.slowdown = 1.0
        self.leaving = False
        self.sends_garbage = False
        self.waiting: list[tuple[int, int, Sequence, int]] = []
        self.running: list[Sequence] = []
        self.arrivals = 0
        self.has_work = trio.Event()
        self.prefixes: OrderedDict[int, None] = OrderedDict()
        self.adapters: dict[str, str] = {}
        self.newest_fencing_number = 0
        self.orders: list[tuple[str, str, int]] = []
        self.generated: Counter[str] = Counter()
        self.token_ranges: dict[str, list[tuple[int, int]]] = {}
        self.load_reports: list[tuple[float, int]] = [(0.0, 0)]
        self.requests_while_leaving = 0
        self.prefix_hits = 0
        self.starts = 0
        self.received_at: dict[str, float] = {}
        self.emitted_at: dict[str, float] = {}

    def routes(self) -> dict:
        """Return the handlers by path."""
        return {
            "/v1/chat/completions": self.complete,
            "/v1/completions": self.complete,
            "/v1/models": self.models,
            "/v1/load_lora_adapter": self.load_adapter,
            "/load": self.load,
            "/control": self.control,
            "/counts": self.counts,
        }

    # Generation

    async def generate_forever(self) -> None:
        """Run decode steps while there are requests."""
        while True:
            prefill_s = self._admit()
            if not self.running:
                self.has_work = trio.Event()
                await self.has_work.wait()
                continue
            step_s = (self.model.step_ms + len(self.running) * self.model.load_ms) / 1e3
            await trio.sleep((step_s + prefill_s) * self.slowdown)
            for sequence in self.running:
                if not sequence.cancelled:
                    sequence.emit()
                    self.emitted_at.setdefault(sequence.nonce, time.monotonic())
                    self.generated[sequence.nonce] += 1
            self.running = [
                each for each in self.running if not (each.finished or each.cancelled)
            ]

    def _admit(self) -> float:
        """Admit waiting sequences to the batch; return their prefill seconds."""
        prefill_s = 0.0
        while self.waiting and len(self.running) < self.model.slots:
            _, _, sequence, prompt_tokens = self.waiting.pop(0)
            if sequence.cancelled or sequence.finished:
                continue
            prefill_s += prompt_tokens * self.model.prefill_us / 1e6
            self.running.append(sequence)
        return prefill_s

    def _count_uncached_tokens(self, body: dict[str, Any], size: int) -> int:
        prefix = hash_prefix(body)
        hit = prefix in self.prefixes
        self.prefixes[prefix] = None
        self.prefixes.move_to_end(prefix)
        if len(self.prefixes) > self.model.cached_prefixes:
            self.prefixes.popitem(last=False)
        self.prefix_hits += hit
        return (size // BODY_BYTES_PER_TOKEN) // (4 if hit else 1)

    async def complete(self, exchange: Exchange) -> None:
        """Serve a completion as an event stream."""
        raw = await exchange.read_body(MAX_BODY_BYTES, 10)
        if self.leaving:
            self.requests_while_leaving += 1
            await exchange.respond_json({"error": "leaving"}, 503)
            return
        body = msgspec.json.decode(raw)
        sequence = _parse_sequence(body)
        if sequence is None:
            await exchange.respond_json({"error": "no nonce in the prompt"}, 400)
            return
        self.starts += 1
        self.received_at.setdefault(sequence.nonce, time.monotonic())
        self.token_ranges.setdefault(sequence.nonce, [])
        chat = exchange.path.startswith("/v1/chat")
        prompt_tokens = self._count_uncached_tokens(body, len(raw))
        self.arrivals += 1
        entry = (sequence.priority, self.arrivals, sequence, prompt_tokens)
        bisect.insort(self.waiting, entry, key=lambda each: each[:2])
        self.has_work.set()
        start = sequence.next_token
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_disconnect, exchange, nursery)
                await self._send_stream(exchange, sequence, chat, body)
                nursery.cancel_scope.cancel()
        except ClientDisconnected:
            pass
        finally:
            sequence.cancelled = True
            ranges = self.token_ranges[sequence.nonce]
            ranges.append((start, sequence.next_token))

    async def _send_stream(
        self, exchange: Exchange, sequence: Sequence, chat: bool, body: dict
    ) -> None:
        attempt = exchange.headers.get("x-request-id", "none")
        ident = ("chatcmpl-" if chat else "cmpl-") + attempt
        await exchange.start(200, [("content-type", "text/event-stream")])
        if self.sends_garbage:
            await exchange.write(b"data: {{{not json\n\n", more=False)
            return
        while True:
            if not sequence.finished or sequence.ready:
                await sequence.token_ready.wait()
                sequence.token_ready = trio.Event()
            tokens, sequence.ready = sequence.ready, []
            done = sequence.finished
            events = [
                _make_token_event(ident, chat, body["model"], sequence, token)
                for token in tokens
            ]
            if done:
                events.append(_make_last_event(ident, chat, body["model"], sequence))
                events.append(b"data: [DONE]\n\n")
            await exchange.write(b"".join(events), more=not done)
            if done:
                return

    # Load reports and adapter orders

    async def report_forever(self) -> None:
        """Record the load every 0.1 s, to be reported with a lag."""
        while True:
            now = trio.current_time()
            self.load_reports.append((now, len(self.running) + len(self.waiting)))
            self.load_reports = self.load_reports[-1000:]
            await trio.sleep(0.1)

    async def load(self, exchange: Exchange) -> None:
        """Serve the load as it was `report_lag_s` ago."""
        until = trio.current_time() - self.model.report_lag_s
        lagged = [load for at, load in self.load_reports if at <= until]
        report = {"server_load": lagged[-1] if lagged else 0, "leaving": self.leaving}
        await exchange.respond_json(report)

    async def models(self, exchange: Exchange) -> None:
        """Serve the loaded adapters with their versions."""
        data = [{"id": name, "root": root} for name, root in self.adapters.items()]
        await exchange.respond_json({"object": "list", "data": data})

    async def load_adapter(self, exchange: Exchange) -> None:
        """Load an adapter; refuse an outdated fencing number if `fencing` is set."""
        body = msgspec.json.decode(await exchange.read_body(MAX_BODY_BYTES, 10))
        number = int(exchange.headers.get(FENCING_HEADER, "0"))
        if self.fencing and number < self.newest_fencing_number:
            await exchange.respond_json({"error": "outdated fencing number"}, 409)
            return
        self.newest_fencing_number = max(self.newest_fencing_number, number)
        self.adapters[body["lora_name"]] = body["lora_path"]
        self.orders.append((body["lora_name"], body["lora_path"], number))
        await exchange.respond_json({})

    async def control(self, exchange: Exchange) -> None:
        """Set ``slow``, ``leaving``, ``garbage`` or ``report_lag_s``."""
        body = msgspec.json.decode(await exchange.read_body(MAX_BODY_BYTES, 10))
        self.slowdown = body.get("slow", self.slowdown)
        self.sends_garbage = body.get("garbage", self.sends_garbage)
        self.model.report_lag_s = body.get("report_lag_s", self.model.report_lag_s)
        self.leaving = body.get("leaving", self.leaving)
        await exchange.respond_json({})

    async def counts(self, exchange: Exchange) -> None:
        """Serve the counts."""
        await exchange.respond_json(self.get_counts())

    def get_counts(self) -> dict[str, Any]:
        """Return counts, times by nonce, and the adapters and orders received."""
        return {
            "generated": self.generated,
            "started": list(self.token_ranges),
            "received_at": self.received_at,
            "emitted_at": self.emitted_at,
            "orders": self.orders,
            "adapters": self.adapters,
            "prefix_hits": self.prefix_hits,
            "starts": self.starts,
        }


async def _cancel_on_disconnect(exchange: Exchange, nursery: trio.Nursery) -> None:
    await exchange.wait_for_disconnect()
    nursery.cancel_scope.cancel()


def _parse_sequence(body: dict[str, Any]) -> Sequence | None:
    messages = body.get("messages")
    if messages is None:
        text = str(body.get("prompt", ""))
        _, found, delivered = text.partition("\n---\n")
        delivered = delivered if found else ""
    else:
        text = " ".join(str(each.get("content", "")) for each in messages)
        last = messages[-1]
        delivered = last["content"] if last.get("role") == "assistant" else ""
    match = PROMPT_PATTERN.search(text)
    if match is None:
        return None
    start = len(delivered.split())
    length = int(match.group(2))
    if body.get("max_tokens"):
        length = min(length, start + body["max_tokens"])
    return Sequence(match.group(1), start, length, body.get("priority", 0))


def _make_token_event(
    ident: str, chat: bool, model: str, sequence: Sequence, token: int
) -> bytes:
    text = f"{sequence.nonce}.{token} "
    choice: dict[str, Any] = {"index": 0, "finish_reason": None}
    if chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    return _encode_chunk(ident, chat, model, [choice])


def _make_last_event(ident: str, chat: bool, model: str, sequence: Sequence) -> bytes:
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    if chat:
        choice["delta"] = {}
    else:
        choice["text"] = ""
    usage = {
        "prompt_tokens": 0,
        "completion_tokens": sequence.end,
        "total_tokens": sequence.end,
    }
    return _encode_chunk(ident, chat, model, [choice], usage)


def _encode_chunk(
    ident: str, chat: bool, model: str, choices: list, usage=None
) -> bytes:
    chunk = {
        "id": ident,
        "object": "chat.completion.chunk" if chat else "text_completion",
        "created": 0,
        "model": model,
        "choices": choices,
        "usage": usage,
    }
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description="Stand-in of a model engine.")
    parser.add_argument("--listen", required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--model", default="{}", help="JSON of EngineModel")
    parser.add_argument("--ignore-fencing", action="store_true")
    options = parser.parse_args()
    model = msgspec.json.decode(options.model, type=EngineModel)
    engine = Engine(options.name, model, not options.ignore_fencing)
    trio.run(
        serve_until_signal,
        json_app(engine.routes()),
        options.listen,
        engine.generate_forever,
        engine.report_forever,
    )


if __name__ == "__main__":
    main()
