"""A small deployment on loopback: the platform's store, and instances as processes.

Only the standard library is used. The instances are started with the command of
deploy/system.toml and with settings as deploy/settings.ini gives them.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ["-m", "buckthornwall.start", "--interface", "platform", "--settings"]
HISTORY_S = 20.0
LONGEST_S = 112.0


class CannotRun(Exception):
    """The case could not be played."""


async def bounded(play):
    """Return the result of a case; it ends, with what it started, within 120 s."""
    async with asyncio.timeout(LONGEST_S):
        return await play


def free_port(ips, first=21000, last=29000):
    """Return a port that is free on all of some loopback addresses."""
    start = first + os.getpid() % 4000
    for port in [*range(start, last), *range(first, start)]:
        opened = []
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = socket.socket(socket.AF_INET, kind)
                    opened.append(sock)
                    sock.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for sock in opened:
                sock.close()
    raise CannotRun("no free port")


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = Path(path).open("w")

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():9.3f}  {text}\n")
        self.file.flush()


async def read_head(reader):
    """Return the first line and the headers (lower case) of an HTTP message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


class Store:
    """The platform's store: /kv-key, /kv-range and /kv-watch, with 20 s of history."""

    def __init__(self, address):
        self.address = address
        self.turned_away = set()  # IP addresses of the store that refuse all calls
        self.cut = set()  # IP addresses of the store whose calls are held up
        self.writers = {}  # connections by the IP address of the store
        self.revision = 1
        self.items = {}
        self.events = []
        self.lost_before = 0
        self.changed = asyncio.Event()
        self.waiting = set()  # the ends of the watches that wait, on the steady clock
        self.servers = []

    async def start(self, ips):
        """Listen at some IP addresses, by which callers are told apart."""
        port = int(self.address.rpartition(":")[2])
        for ip in ips:
            self.servers.append(await asyncio.start_server(self._serve, ip, port))

    def turn_away(self, ips):
        """Refuse all calls at some IP addresses; reset those that wait."""
        self.turned_away = set(ips)
        for ip in ips:
            for writer in self.writers.get(ip, ()):
                writer.transport.abort()

    def put(self, key, value):
        """Write an item; return the revision (the acknowledgement)."""
        self.revision += 1
        raw = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items[key]["created_rev"] if key in self.items else self.revision
        self.items[key] = {
            "key": key,
            "value": raw,
            "revision": self.revision,
            "created_rev": created,
            "lease": 0,
        }
        self._add_event(self.items[key])
        return self.revision

    def remove(self, key):
        """Remove an item; return the revision (the acknowledgement)."""
        self.revision += 1
        self.items.pop(key, None)
        self._add_event({"key": key, "revision": self.revision, "removed": True})
        return self.revision

    async def all_wait(self, count):
        """Wait for a moment at which `count` watches wait, and go on for 50 ms."""
        while True:
            soon = time.monotonic() + 0.05
            if len(self.waiting) >= count and min(self.waiting) > soon:
                return
            await asyncio.sleep(0.005)

    def _add_event(self, event):
        now = time.monotonic()
        self.events.append((now, event))
        while now - self.events[0][0] > HISTORY_S:
            self.lost_before = self.events.pop(0)[1]["revision"]
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        ip = writer.get_extra_info("sockname")[0]
        self.writers.setdefault(ip, set()).add(writer)
        try:
            while True:
                first, _ = await read_head(reader)
                target = urlsplit(first.split(" ")[1])
                query = {k: v[0] for k, v in parse_qs(target.query).items()}
                await asyncio.sleep(0.004)
                while ip in self.cut:
                    await asyncio.sleep(0.005)
                if ip in self.turned_away:
                    status, body = 503, {}
                else:
                    status, body = await self._answer(target.path, query)
                while ip in self.cut:
                    await asyncio.sleep(0.005)
                data = json.dumps(body).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the instance has gone, or the case is over
        finally:
            self.writers[ip].discard(writer)
            writer.close()

    async def _answer(self, path, query):
        prefix = query.get("path_prefix", "")
        if path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, {"store_revision": self.revision}
            return 200, {**item, "store_revision": self.revision}
        if path == "/kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(prefix) and key > query.get("after", "")
            )
            items = [self.items[key] for key in keys[:500]]
            return 200, {
                "items": items,
                "truncated": len(keys) > 500,
                "store_revision": self.revision,
            }
        if path == "/kv-watch":
            return await self._watch(prefix, int(query["after"]), query)
        return 404, {}

    async def _watch(self, prefix, after, query):
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if after < self.lost_before:
                return 410, {}
            found = [
                event
                for _, event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "store_revision": self.revision}
            self.waiting.add(until)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            finally:
                self.waiting.discard(until)


class Instance:
    """One process of the system."""

    def __init__(self, name, zone, ip, fleet):
        self.name, self.zone, self.ip, self.fleet = name, zone, ip, fleet
        self.settings = fleet.directory / f"{name}.ini"
        self.log = fleet.directory / f"{name}.log"
        self.store_ip = f"127.{fleet.block}.{240 + int(ip.split('.')[2])}.{ip.split('.')[3]}"
        self.process = None

    @property
    def front(self):
        return f"{self.ip}:{self.fleet.front_port}"

    def start(self):
        self.settings.write_text(self.fleet.settings_of(self))
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BUCKTHORNWALL_BOOT": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *COMMAND, str(self.settings)],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                # Else the end of the caller's shell may wake a stopped instance.
                start_new_session=True,
            )

    def is_speaker(self):
        """Return whether its log says that it speaks for its zone."""
        own = False
        for line in self.log.read_text(errors="replace").splitlines():
            if "event=zone_speaker" in line:
                own = "own=True" in line
        return own

    def has_read(self):
        """Return whether its log says that it has read the store by itself."""
        return "event=store_reader own=True" in self.log.read_text(errors="replace")

    async def is_ready(self):
        try:
            status, _, _, _ = await asyncio.wait_for(
                exchange(f"{self.ip}:{self.fleet.ready_port}", "GET", "/ready", {}), 1
            )
        except (OSError, EOFError, asyncio.TimeoutError):
            return False
        return status == 200


class Fleet:
    """The store and the instances of a small deployment.

    `zones` gives the number of instances in each zone.
    """

    def __init__(self, zones):
        self.directory = Path(tempfile.mkdtemp(prefix="case-"))
        self.zones = zones
        self.block = 20 + os.getpid() % 200  # runs beside each other differ
        self.instances = []
        for z, (zone, count) in enumerate(zones.items(), 1):
            for n in range(1, count + 1):
                ip = f"127.{self.block}.{z}.{n}"
                self.instances.append(Instance(f"front-{zone}-{n}", zone, ip, self))
        ips = [each.ip for each in self.instances]
        first = free_port([*ips, *(each.store_ip for each in self.instances)])
        self.front_port = first
        self.ready_port = free_port(ips, first + 1)
        self.metrics_port = free_port(ips, self.ready_port + 1)
        self.peer_port = free_port(ips, self.metrics_port + 1)
        self.store = Store(f":{first}")
        self.children = []

    def settings_of(self, instance):
        """Return the settings as deploy/settings.ini gives them."""
        zones = ",".join(f"{zone}=pnw-west" for zone in self.zones)
        firsts = {}
        for each in self.instances:
            firsts.setdefault(each.zone, each)
        seeds = ",".join(f"{s.ip}:{self.peer_port}" for s in list(firsts.values())[:3])
        return f"""[node]
id = {instance.name}
zone = {instance.zone}
regions = {zones}

[edge]
listen = {instance.front}
ready = {instance.ip}:{self.ready_port}
metrics = {instance.ip}:{self.metrics_port}

[store]
address = {instance.store_ip}{self.store.address}

[discovery]
apply_ms = 2000

[peers]
listen = {instance.ip}:{self.peer_port}
seeds = {seeds}
weight = 1000.0

[forwarding]
retry_ratio = 0.2
retry_reserve = 52

[stop]
grace_s = 8
"""

    def engine_addresses(self, count):
        """Return addresses for engines."""
        ips = [f"127.{self.block}.100.{n}" for n in range(1, count + 1)]
        port = free_port(ips, self.peer_port + 1)
        return [f"{ip}:{port}" for ip in ips]

    async def start(self, timeout_s=30):
        await self.store.start([each.store_ip for each in self.instances])
        for each in self.instances:
            each.start()
        until = time.monotonic() + timeout_s
        for each in self.instances:
            while not await each.is_ready():
                if time.monotonic() > until or each.process.poll() is not None:
                    raise CannotRun(f"{each.name} does not get ready")
                await asyncio.sleep(0.1)
        if any(child.poll() is not None for child in self.children):
            raise CannotRun("a stand-in has ended")

    def spawn(self, *arguments):
        """Start a stand-in as a process of its own."""
        command = [sys.executable, *map(str, arguments)]
        child = subprocess.Popen(command, start_new_session=True)
        self.children.append(child)
        return child

    def end(self):
        """End all processes that were started here."""
        for process in [each.process for each in self.instances] + self.children:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.directory)
            return
        for path in self.directory.iterdir():
            path.unlink()
        self.directory.rmdir()


def config(version, routes, services, tenants):
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants,
    }


def registration(service, address, zone, state="ready", slots=64):
    """Return an engine's entry in the store."""
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": state,
        "cold_remaining_ms": 0,
        "sequence": 1,
    }


async def exchange(address, method, target, headers, body=b""):
    """Send one request; return status, headers, body and whether it is complete.

    Raises OSError or EOFError if there is no head of an answer.
    """
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        lines = [f"{method} {target} HTTP/1.1", "Host: desk.example"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        first, found = await read_head(reader)
        status = int(first.split(" ")[1])
        data, complete = await _read_body(reader, found)
        return status, found, data, complete
    finally:
        writer.close()


async def _read_body(reader, headers):
    """Return the bytes of a body, and whether the protocol says that it is whole."""
    data = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"x", 16)
                if size == 0:
                    while (await reader.readline()) not in (b"\r\n", b""):
                        pass
                    return data, True
                data += await reader.readexactly(size)
                await reader.readexactly(2)
        if "content-length" in headers:
            length = int(headers["content-length"])
            data = await reader.read(length) if length else b""
            while len(data) < length:
                more = await reader.read(length - len(data))
                if not more:
                    return data, False
                data += more
            return data, True
        return data + await reader.read(-1), True
    except (OSError, EOFError, ValueError):
        return data, False
