"""A small deployment for a case: instances of the system, a store, engines, clients.

Instances run the command of deploy/system.toml, with settings like those that
deploy/settings.ini is filled in to. All is on loopback addresses, on free ports.
"""

import asyncio
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import quote

from wire import Ended, read_body, read_chunk, read_head

STANDINS = Path(__file__).resolve().parent
ROOT = STANDINS.parent.parent
PORTS = 5
INSTANCE_NET, ENGINE_NET, STORE_IP = "127.0.71.", "127.0.72.", "127.0.73.1"
HOST = "clients.example"
KEY = "key-of-one"


def free_ports(ips: list[str]) -> int:
    """Return the first of consecutive ports that are free at all addresses."""
    for first in range(20000 + os.getpid() % 4000 * 5, 60000, PORTS):
        try:
            for ip, port in itertools.product(ips, range(first, first + PORTS)):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as sock:
                        sock.bind((ip, port))
        except OSError:
            continue
        return first
    raise RuntimeError("no free ports")


def route(name: str, path: str, kind: str, service: str, **more) -> dict:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": path,
        "kind": kind,
        "timeout_ms": 15000,
        "target_latency_ms": 2000,
        "priority": 0,
        "service": service,
        "max_attempts": 1,
        "public": False,
    } | more


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.lines: list[str] = []
        self.began = time.time()

    def add(self, text: str, at: float | None = None) -> None:
        at = time.time() if at is None else at
        self.lines.append(f"{at - self.began:8.3f} s  {text}")

    def write(self) -> None:
        self.path.write_text("\n".join(sorted(self.lines)) + "\n")


class Instance:
    """A process of the system; the platform starts it again when it ends."""

    def __init__(self, fleet: "Fleet", number: int, zone: str) -> None:
        self.fleet, self.number, self.zone = fleet, number, zone
        self.name = f"front-{number}"
        self.ip = f"{INSTANCE_NET}{number}"
        self.process: subprocess.Popen | None = None
        self.is_leaving = False
        self.own_ends: list[float] = []
        self.log = fleet.folder / f"{self.name}.log"

    @property
    def front(self) -> tuple[str, int]:
        return self.ip, self.fleet.ports

    def write_settings(self) -> Path:
        fleet, ports = self.fleet, self.fleet.ports
        seeds = ",".join(
            f"{INSTANCE_NET}{number}:{ports + 3}"
            for number in range(1, min(3, len(fleet.zones)) + 1)
        )
        regions = ",".join(f"{zone}=here" for zone in dict.fromkeys(fleet.zones))
        path = fleet.folder / f"{self.name}.ini"
        path.write_text(
            f"[node]\nid = {self.name}\nzone = {self.zone}\nregions = {regions}\n"
            f"[edge]\nlisten = {self.ip}:{ports}\nready = {self.ip}:{ports + 1}\n"
            f"metrics = {self.ip}:{ports + 2}\n"
            f"[store]\naddress = {self.store_address()}\n"
            f"[peers]\nlisten = {self.ip}:{ports + 3}\nseeds = {seeds}\n"
            f"weight = 1000.0\n"
            f"[forwarding]\nretry_ratio = 0.2\nretry_reserve = 52\n"
            f"[stop]\ngrace_s = 8\n"
        )
        return path

    def store_address(self) -> str:
        return self.fleet.store_addresses.get(self.number, self.fleet.store_address)

    def start(self) -> None:
        settings = self.write_settings()
        self.process = self.fleet.spawn(
            ["-m", "buckthornwall.start", "--interface", "platform"]
            + ["--settings", str(settings)],
            {"PYTHONPATH": str(ROOT / "target" / "deps")},
            self.log,
        )

    async def keep_running(self) -> None:
        """Start the process, and again a moment after it has ended by itself."""
        self.start()
        while True:
            await asyncio.sleep(0.02)
            if self.process.poll() is None:
                continue
            code = self.process.returncode
            self.fleet.record.add(f"{self.name}: its process ended, code {code}")
            if self.is_leaving:
                return
            self.own_ends.append(time.time())
            await asyncio.sleep(0.5)
            self.start()

    def leave(self) -> None:
        """Stop as the platform does with a machine that it takes away."""
        self.is_leaving = True
        self.process.terminate()
        self.fleet.record.add(f"{self.name}: SIGTERM, the machine leaves")

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.fleet.ports + 1
            )
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            return " 200 " in (await read_head(reader)).start
        except (Ended, OSError):
            return False
        finally:
            writer.close()


class Answer:
    """What a client has of the answer to one request."""

    def __init__(self, request: str, instance: Instance) -> None:
        self.request, self.instance = request, instance
        self.sent_at = time.time()
        self.status = 0
        self.events = 0
        self.body = b""
        self.end = "open"
        self.ended_at = 0.0

    def __str__(self) -> str:
        status = self.status or "no status"
        return f"{status}, {self.events} events, {self.end}"


@dataclass(frozen=True)
class Prompt:
    """The sizes of a kind of generation, in tokens.

    `shared` has the size of each part that other prompts share, and how many such parts
    there are.
    """

    shared: tuple[tuple[int, int], ...]
    own: int
    tokens_out: int


class Client:
    """A client with one connection to an instance, kept for many requests."""

    numbers = itertools.count(1)
    seeds = itertools.count(1)

    def __init__(
        self, instance: Instance, key: str = KEY, prompt: Prompt | None = None
    ) -> None:
        self.instance = instance
        self.key = key
        self.prompt = prompt
        self.random = random.Random(next(self.seeds))
        self.record = instance.fleet.record
        self.reader = self.writer = None

    async def ask(self, path: str, timeout_ms: int = 15000, **work) -> Answer:
        """Send a request; return its answer once that has ended, however it has."""
        answer = Answer(f"{next(self.numbers):016x}", self.instance)
        try:
            await self._ask(answer, path, timeout_ms, work)
        except (Ended, OSError) as error:
            answer.end = f"closed before its end ({error})"
            self.close()
        answer.ended_at = time.time()
        self.record.add(f"client: {answer.request} ends: {answer}")
        return answer

    async def _ask(
        self, answer: Answer, path: str, timeout_ms: int, work: dict
    ) -> None:
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                *self.instance.front
            )
        body = json.dumps(work).encode()
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Buckthornwall-Attempt-Id: {answer.request}\r\n"
            f"X-Buckthornwall-Key: {self.key}\r\n"
            f"{self.prompt_headers(answer)}"
            f"X-Buckthornwall-Deadline-Ms: {timeout_ms}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.record.add(
            f"client: {answer.request} ({path}) sent to {answer.instance.name}"
        )
        self.writer.write(head.encode() + body)
        found = await read_head(self.reader)
        answer.status = int(found.start.split(" ")[1])
        if "chunked" in found.headers.get("transfer-encoding", ""):
            while data := await read_chunk(self.reader):
                answer.body += data
                answer.events = answer.body.count(b"\n\n")
        else:
            answer.body = await read_body(self.reader, found)
        answer.end = "complete"
        if "close" in found.headers.get("connection", ""):
            self.close()

    def prompt_headers(self, answer: Answer) -> str:
        """Return the headers of a generation: two parts that others share, one own."""
        if not self.prompt:
            return ""
        prompt, out = self.prompt, self.prompt.tokens_out
        parts = [
            (f"a{self.random.randrange(count):07x}", tokens)
            if index == 0
            else (f"b{self.random.randrange(count):07x}", tokens)
            for index, (tokens, count) in enumerate(prompt.shared)
        ]
        parts.append((f"{int(answer.request, 16):08x}", prompt.own))
        tokens_in = sum(tokens for _, tokens in parts)
        prefix = ",".join(f"{name}:{tokens}" for name, tokens in parts)
        return (
            "X-Buckthornwall-Model: m\r\n"
            f"X-Buckthornwall-Token-Count: {tokens_in},{out}\r\n"
            f"X-Buckthornwall-Prompt-Prefix: {prefix}\r\n"
        )

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Fleet:
    """All processes of a case; they are ended at its end."""

    def __init__(self, record: Path, zones: list[str]) -> None:
        self.record = Record(record)
        self.zones = zones
        self.temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.folder = Path(self.temporary.name)
        ips = [f"{INSTANCE_NET}{n + 1}" for n in range(len(zones))]
        ips += [f"{ENGINE_NET}{n}" for n in range(1, 10)] + [STORE_IP]
        self.ports = free_ports(ips)
        self.store_address = f"{STORE_IP}:{self.ports}"
        self.store_addresses: dict[int, str] = {}
        self.processes: list[subprocess.Popen] = []
        self.instances = [
            Instance(self, number, zone) for number, zone in enumerate(zones, 1)
        ]
        self.engines: dict[str, subprocess.Popen] = {}
        self.runs_path = self.folder / "runs.jsonl"
        self.tasks: list[asyncio.Task] = []

    def spawn(self, words: list[str], env: dict, log: Path) -> subprocess.Popen:
        with open(log, "ab") as output:
            process = subprocess.Popen(
                [sys.executable, *words],
                cwd=ROOT,
                env={"PATH": os.environ["PATH"], "LANG": "C.UTF-8"} | env,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.processes.append(process)
        return process

    async def start_store(self) -> None:
        words = [str(STANDINS / "store.py"), self.store_address]
        self.spawn(words, {}, self.folder / "store.log")
        while True:
            try:
                await self.call("GET", "/kv-key?key=none")
                return
            except (OSError, Ended):
                await asyncio.sleep(0.05)

    async def call(self, method: str, target: str, body: bytes = b"") -> None:
        host, _, port = self.store_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = f"{method} {target} HTTP/1.1\r\nHost: store\r\n"
            head += f"Content-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await read_body(reader, await read_head(reader))
        finally:
            writer.close()

    async def put(self, key: str, raw: bytes, text: str = "") -> None:
        await self.call("PUT", f"/item?key={quote(key, safe='')}", raw)
        self.record.add(f"store: acknowledges {key} {text}")

    async def publish(
        self,
        version: int,
        routes: list[dict],
        services: list[dict],
        tenants: dict[str, str],
    ) -> None:
        """Write a version of the configuration, as the operator does."""
        config = {
            "version": version,
            "routes": routes,
            "services": [
                {"health_path": "/health", "max_connections": 360} | each
                for each in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [
                {"name": name, "api_keys": [key] if key else []}
                for name, key in tenants.items()
            ],
        }
        raw = json.dumps(config).encode()
        await self.put("op/config", raw, f"version {version}")

    def engine_address(self, number: int) -> str:
        return f"{ENGINE_NET}{number}:{self.ports + 4}"

    def start_engine(self, number: int, service: str, *options: str) -> str:
        name = f"i-{number:08x}"
        words = [str(STANDINS / "engine.py"), name, service]
        words += [self.engine_address(number), str(self.runs_path), *options]
        self.engines[name] = self.spawn(words, {}, self.folder / f"{name}.log")
        return name

    async def register(self, number: int, service: str, state: str, **more) -> None:
        """Write the entry of an engine, as the engine does."""
        entry = {
            "service": service,
            "address": self.engine_address(number),
            "zone": self.zones[(number - 1) % len(self.zones)],
            "version": "v1",
            "slots": 64,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
        } | more
        key = f"servers/i-{number:08x}"
        await self.put(key, json.dumps(entry).encode(), f"state {state}")

    async def start_instances(self) -> None:
        for instance in self.instances:
            self.tasks.append(asyncio.create_task(instance.keep_running()))
        until = time.time() + 20
        while not all([await each.is_ready() for each in self.instances]):
            if time.time() > until:
                raise RuntimeError("the instances are not ready")
            await asyncio.sleep(0.05)
        self.record.add("all instances are ready")

    def runs(self) -> list[dict]:
        """Return what the engines have noted so far."""
        if not self.runs_path.exists():
            return []
        lines = self.runs_path.read_text().splitlines()
        return [json.loads(line) for line in lines if line.endswith("}")]

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        for line in self.runs():
            if line["what"] != "event":
                text = f"engine {line['engine']}: {line['request']} {line['what']}"
                self.record.add(text, line["at"])
        self.record.write()
        self.temporary.cleanup()


def run_case(record: Path, zones: list[str], body) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 if it can't run."""
    fleet = Fleet(record, zones)
    try:
        return asyncio.run(body(fleet))
    except Exception as error:
        fleet.record.add(f"the case could not run: {error!r}")
        return 2
    finally:
        fleet.stop()
