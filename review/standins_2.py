"""Stand-ins of the platform for the scripts of the second review: store, servers, callers, gateways.

Only the standard library is used, and only loopback addresses. Every part follows PROTOCOL.md; where that
page is silent, it behaves like a sound server, client or platform.
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

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "bergamothold")
CONSUMER_HOST = "desk.example"
KEY = "n2ctnfzs989anu6wsjnb"
OTHER_KEY = "anfqasnmgkcuyj8pjbvk"
# Bounds of the site virtanen-ops.
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": 3000, "AckTimeoutMs": 4000, "CatchUpS": 4,
    "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250,
    "MaxStretchMs": 5000, "StrictRevocation": False, "RevokeMs": 5000, "RetryBudgetRatio": 0.2,
    "RetryWindowS": 10, "RetryBudgetExtra": 100, "ColdOverage": 1.5, "ColdSlack": 5, "EvacuateMs": 5000,
    "RecoveryS": 12, "PassMs": 120, "RetryAfterS": 0, "stall_ms": 1500, "MaxHoldMs": 20000, "FreeMs": 4000,
    "MaxIdleMs": 9000,
}
ZONES = ["fi-south-a", "fi-south-b", "fi-south-c"]
HEARTBEAT_S = 1.2
# Figures of a model server of that site.
ENGINE = {
    "Slots": 16, "KvCapacityTokens": 450000, "KvTokenBytes": 327680, "LinkMbps": 400000.0, "Stride": 46,
    "Models": [{"Name": "m"}], "step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254,
    "read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048, "report_lag_ms": 200.0, "LoadsPerS": 0.0,
    "loads_at_once": 8, "delays": [], "usual": {"prompt": 13199, "answer": 1541}, "HopMs": 0.1,
}


def trouble():
    """Whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what happens to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="ascii")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")

    def say(self, text):
        self.write(text)
        print(text, flush=True)

    def close(self):
        self.file.close()


def free_ports(addresses, count):
    """Ports that are free at all addresses."""
    found, held = [], []
    while len(found) < count:
        probe = socket.socket()
        probe.bind((addresses[0], 0))
        port = probe.getsockname()[1]
        held.append(probe)
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    if address == addresses[0] and kind == socket.SOCK_STREAM:
                        continue
                    other = socket.socket(socket.AF_INET, kind)
                    held.append(other)
                    other.bind((address, port))
        except OSError:
            continue
        found.append(port)
    for probe in held:
        probe.close()
    return found


class Message:
    """Head and body of an HTTP message."""

    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]


async def read_request(reader):
    req = await read_head(reader)
    if "chunked" in req.get("transfer-encoding", ""):
        req.body = await read_chunks(reader)
    else:
        req.body = await reader.readexactly(int(req.get("content-length", "0")))
    return req


def response(status, headers, body=b"", reason="X"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Row:
    def __init__(self, value, version):
        self.value, self.version = value, version


class Store:
    """The platform's metadata store, in the form of tables."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 100
        self.era = 1
        self.history = []  # (version, (table, key), value or None)
        self.kept_from = self.version
        self.copies = []
        self.changed = asyncio.Event()
        self.connections = set()
        self.silent = set()
        self.away = False
        self.server = None
        self.address = None
        self.calls = 0
        self.refuses = None  # called with the peer's address; True where it is turned away

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = self.server.sockets[0].getsockname()

    # What the operator and the servers write, and what transactions do.
    def apply(self, changes):
        self.version += 1
        for name, value in changes:
            if value is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = Row(value, self.version)
            self.history.append((self.version, name, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def put(self, table, key, value):
        return self.apply([((table, key), base64.b64encode(json.dumps(value).encode()).decode())])

    def remove(self, table, key):
        return self.apply([((table, key), None)])

    def touch(self):
        """A heartbeat with nothing new but its Sequence. The entry doesn't change, but it is a transaction, which
        the counter of versions counts. With BEATS=0, it does not."""
        if os.environ.get("BEATS", "1") != "0":
            self.version += 1

    # A drill: the store is away for a moment and comes back from a copy some seconds old.
    def copy(self):
        return (time.monotonic(), dict(self.rows), self.version, list(self.history), self.kept_from)

    async def restore(self, copy, away_s):
        self.away = True
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        taken, rows, version, history, kept_from = copy
        self.record.say(f"store: back from a copy {time.monotonic() - taken:.1f} s old, version "
                        f"{self.version} -> {version}, era {self.era} -> {self.era + 1}")
        self.rows, self.version = dict(rows), version
        self.history, self.kept_from = list(history), kept_from
        self.era += 1
        self.away = False

    def silence(self):
        """Channels that are open now go silent for good; new ones work."""
        self.silent |= self.connections
        self.record.say(f"store: {len(self.connections)} open channels go silent")

    async def serve(self, reader, writer):
        if self.away:
            writer.transport.abort()
            return
        self.connections.add(writer)
        try:
            while True:
                req = await read_request(reader)
                self.calls += 1
                peer = writer.get_extra_info("peername")[0]
                if self.refuses is not None and self.refuses(peer):
                    writer.write(response(503, {"Store-Era": self.era}))
                    continue
                status, body = await self.answer(req)
                if writer in self.silent:
                    await asyncio.Event().wait()
                if self.away:
                    writer.transport.abort()
                    return
                headers = {"Content-Type": "application/json", "Store-Era": self.era}
                writer.write(response(status, headers, json.dumps(body).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            self.silent.discard(writer)
            writer.close()

    def page(self, rows, truncated=False):
        return 200, {"Rows": rows, "Truncated": truncated, "Ver": self.version, "NowMs": int(time.monotonic() * 1e3)}

    def row(self, name):
        row = self.rows[name]
        return {"Table": name[0], "part": "", "Key": name[1], "Value": row.value, "Ver": row.version}

    async def answer(self, req):
        from urllib.parse import parse_qs, urlsplit
        method, target, _ = req.first.split(" ", 2)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        await asyncio.sleep(0.004)
        if (method, url.path) == ("POST", "/v1/rows-tx"):
            return self.transact(json.loads(req.body))
        if (method, url.path) == ("GET", "/v1/rows-get"):
            names = sorted(name for name in self.rows if name[0] == query["Table"])
            names = [name for name in names if name[1] >= query.get("From", "")]
            limit = int(query.get("Limit", "500"))
            return self.page([self.row(name) for name in names[:limit]], len(names) > limit)
        if (method, url.path) == ("GET", "/v1/rows-feed"):
            return await self.feed(query["Table"], int(query["AfterRevision"]), int(query["WaitMs"]))
        if (method, url.path) == ("GET", "/v1/rows-parts"):
            return 200, {"parts": [""], "Truncated": False, "Ver": self.version, "NowMs": 0}
        return 404, {}

    def transact(self, call):
        for entry in call.get("Puts", []) + call.get("Remove", []):
            if entry["Table"] in ("op", "servers"):
                return 403, {}
        found = []
        for entry in call.get("ExpectedRevision", []):
            name = (entry["Table"], entry["Key"])
            version = self.rows[name].version if name in self.rows else 0
            if version != entry["Ver"]:
                found.append(name)
        if found:
            return 412, {"Rows": [self.row(name) for name in found if name in self.rows], "Ver": self.version,
                         "NowMs": int(time.monotonic() * 1e3)}
        changes = [((row["Table"], row["Key"]), row["Value"]) for row in call.get("Puts", [])]
        changes += [((row["Table"], row["Key"]), None) for row in call.get("Remove", [])]
        if changes:
            self.apply(changes)
        return 200, {"Ver": self.version, "NowMs": int(time.monotonic() * 1e3)}

    async def feed(self, table, after, wait_ms):
        end = time.monotonic() + wait_ms / 1e3
        era = self.era
        while True:
            if after > self.version or after < self.kept_from or era != self.era:
                return 410, {"Ver": self.version}
            rows = []
            for version, name, value in self.history:
                if version > after and name[0] == table:
                    row = {"Table": name[0], "part": "", "Key": name[1], "Ver": version}
                    row.update({"Removed": True} if value is None else {"Value": value})
                    rows.append(row)
            left = end - time.monotonic()
            if rows or left <= 0:
                return self.page(rows)
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server:
    """An application server: registers itself, sends heartbeats, serves requests."""

    def __init__(self, store, record, name, service, zone, host, work_s=0.02, port=0):
        self.store, self.record, self.name, self.service, self.zone = store, record, name, service, zone
        self.host, self.work_s, self.port = host, work_s, port
        self.state, self.sequence, self.cold_ms = "ready", 0, 0
        self.registered = False
        self.born = int(time.time() * 1e3)
        self.server = None
        self.beats = None
        self.connections = set()
        self.runs = []  # (time, id, key's tenant)
        self.cut = []  # ids of requests that it was at work on when it ended
        self.at_work = set()
        self.respond = None  # a coroutine that answers in place of the usual way

    async def start(self, register=True):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        if register:
            self.register()

    def entry(self):
        return {"Service": self.service, "Address": f"{self.host}:{self.port}", "Zone": self.zone, "Version": "v1",
                "Slots": 6, "State": self.state, "ColdRemainingMs": self.cold_ms, "Sequence": self.sequence,
                "born": self.born}

    def register(self):
        self.registered = True
        version = self.store.put("servers", self.name, self.entry())
        self.record.write(f"server {self.name}: row written, {self.state}, version {version}")
        if self.beats is None:
            self.beats = asyncio.ensure_future(self.beat())
        return version

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.store.away or not self.registered:
                continue
            self.sequence += 1
            was_cold = self.cold_ms
            self.cold_ms = max(0, self.cold_ms - int(HEARTBEAT_S * 1e3))
            if ("servers", self.name) not in self.store.rows or self.cold_ms != was_cold:
                self.register()
            else:
                self.store.touch()

    def drain(self):
        self.state = "draining"
        return self.register()

    async def end(self):
        """The process ends; what it is at work on is lost."""
        if self.beats:
            self.beats.cancel()
        self.registered = False
        self.server.close()
        self.cut = sorted(self.at_work)
        for writer in list(self.connections):
            writer.transport.abort()
        if ("servers", self.name) in self.store.rows and not self.store.away:
            self.store.remove("servers", self.name)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                req = await read_request(reader)
                if not await self.handle(req, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, req, reader, writer):
        request_id = req.get("x-request-id")
        if req.first.startswith("GET /health"):
            writer.write(response(200 if self.state == "ready" else 503, {"X-Instance-Id": self.name}))
            return True
        if request_id is None:
            writer.write(response(400, {"X-Not-Executed": 1}))
            return True
        expected = req.get("x-expect-instance")
        if expected not in (None, self.name):
            self.record.write(f"server {self.name}: {request_id} is for {expected}, 421")
            writer.write(response(421, {"X-Instance-Id": self.name, "X-Request-Id": request_id,
                                        "X-Not-Executed": 1, "At-Server": f"{self.host}:{self.port}"}))
            return True
        self.runs.append((time.monotonic(), request_id, req.get("x-tenant-id")))
        self.record.write(f"server {self.name}: runs {request_id} tenant {req.get('x-tenant-id')}")
        if self.respond is not None:
            return await self.respond(self, req, reader, writer)
        self.at_work.add(request_id)
        await asyncio.sleep(self.work_s)
        self.at_work.discard(request_id)
        body = f"{self.name} {request_id}".encode()
        headers = {"X-Request-Id": request_id, "X-Response-Seal": f"seal-{request_id}"}
        writer.write(response(200, headers, body, "OK"))
        await writer.drain()
        return True


class Gateway:
    """A process of `bergamothold direct`, started as deploy/system.toml says."""

    def __init__(self, folder, record, store, name, host, zone, ports, metrics_port, address=None, bounds=None,
                 memory_mb=260):
        self.folder, self.record, self.name, self.host = folder, record, name, host
        self.frontend, self.ready_port, self.control, self.internal = ports
        self.metrics_port = metrics_port
        store_host, store_port = address or store.address
        zones = {zone_name: "fi-south" for zone_name in ZONES}
        settings = {
            "NodeName": name, "Role": "gateway", "MachineClass": "frontend", "Serves": ["frontend"], "Ip": host,
            "Zone": zone, "Region": "fi-south", "Zones": zones,
            "Bind": {"Frontend": f"{host}:{self.frontend}", "Ready": f"{host}:{self.ready_port}"},
            "InternalPortRange": [self.internal, self.internal], "SeedNodes": [], "Bootstrap": True,
            "CountsTowardTolerance": False,
            "Limits": {"CpuShare": 0.19, "CpuCores": 1, "MemoryMb": memory_mb, "FdLimit": 4200, "LinkMbps": 1000.0,
                       "DiskMb": 0},
            "DataDir": None, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200, "Contracts": [],
            "FaultTolerance": {"Machines": 2, "Zones": 1, "Regions": 0}, "Bounds": {**BOUNDS, **(bounds or {})},
            "Platform": {"Address": f"{store_host}:{store_port}", "form": "table", "WritesPerS": 400,
                         "ReadsPerS": 2000, "TxMs": 5.0, "PartWritesS": 200, "RowBytes": 65536, "Across": False,
                         "HistoryS": 20},
        }
        self.settings = os.path.join(folder, f"{name}.yaml")
        with open(self.settings, "w", encoding="ascii") as file:
            json.dump(settings, file)  # JSON is YAML.
        self.log = os.path.join(folder, f"{name}.log")
        self.process = None

    def start(self):
        env = {"PATH": os.environ.get("PATH", ""), "BERGAMOTHOLD_BOOT": self.settings}
        args = [PROGRAM, "direct", "--metrics-port", str(self.metrics_port)]
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(args, cwd=ROOT, env=env, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL)
        self.record.write(f"gateway {self.name}: started")

    def signal(self, number):
        self.record.write(f"gateway {self.name}: signal {number}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            answer = await call(self.host, self.ready_port, "GET", "/v1/ready", {}, timeout=0.5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    async def wait_ready(self, limit=20.0):
        end = time.monotonic() + limit
        while not await self.is_ready():
            if self.process.poll() is not None or time.monotonic() > end:
                raise RuntimeError(f"gateway {self.name} does not get ready")
            await asyncio.sleep(0.05)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def call(host, port, method, path, headers, body=b"", timeout=3.0):
    """One request on a new channel; the status is 0 where the channel ends without a complete answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {CONSUMER_HOST}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await read_head(reader)
            status = int(head.first.split(" ")[1])
            if "chunked" in head.get("transfer-encoding", ""):
                data = await read_chunks(reader)
            else:
                data = await reader.readexactly(int(head.get("content-length", "0")))
            return Answer(status, head.headers, data)
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(0, {}, b"")
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


class Caller:
    """Sends requests at a steady rate, to all gateways in turn, each with an id of its own."""

    def __init__(self, record, gateways, method, path, key, per_s, name, deadline_ms=3000):
        self.record, self.gateways, self.method, self.path, self.key = record, gateways, method, path, key
        self.per_s, self.name, self.deadline_ms = per_s, name, deadline_ms
        self.sent = {}  # id -> (time, gateway's name)
        self.answers = {}  # id -> status; 0 for a channel that ended without an answer
        self.task = None
        self.open = set()

    def start(self):
        self.task = asyncio.ensure_future(self.run())

    async def stop(self):
        self.task.cancel()
        if self.open:
            await asyncio.wait(self.open, timeout=5.0)

    async def run(self):
        count = 0
        while True:
            gateway = self.gateways[count % len(self.gateways)]
            count += 1
            one = asyncio.ensure_future(self.one(f"{self.name}-{count}", gateway))
            self.open.add(one)
            one.add_done_callback(self.open.discard)
            await asyncio.sleep(1.0 / self.per_s)

    async def one(self, request_id, gateway):
        self.sent[request_id] = (time.monotonic(), gateway.name)
        self.record.write(f"caller: {request_id} sent to {gateway.name}")
        headers = {"X-Request-Id": request_id, "X-Deadline-Ms": self.deadline_ms}
        if self.key is not None:
            headers["Authorization"] = f"Token {self.key}"
        body = b"{}" if self.method == "POST" else b""
        try:
            answer = await call(gateway.host, gateway.frontend, self.method, self.path, headers, body,
                                self.deadline_ms / 1e3)
            status = answer.status
        except (OSError, asyncio.TimeoutError) as err:
            status = -1 if isinstance(err, asyncio.TimeoutError) else -2
        self.answers[request_id] = status
        self.record.write(f"caller: {request_id} answered {status}")


def manifest(version, keys=(KEY, OTHER_KEY), route_service="varaus", routes=None):
    """A manifest with an unsafe and a safe route."""
    routes = routes or [
        {"Name": "r-book", "Hostname": CONSUMER_HOST, "Prefix": "/book/", "RouteType": "unsafe", "TimeoutMs": 3000,
         "TargetLatencyMs": 300, "Priority": 2, "Service": route_service, "MaxAttempts": 1,
         "AllowAnonymous": False},
        {"Name": "r-check", "Hostname": CONSUMER_HOST, "Prefix": "/check/", "RouteType": "safe", "TimeoutMs": 3000,
         "TargetLatencyMs": 300, "Priority": 2, "Service": route_service, "MaxAttempts": 2,
         "AllowAnonymous": False},
    ]
    services = [{"Name": name, "HealthCheckPath": "/health", "MaxConnections": 48, "Protocol": "h1", "Tls": False,
                 "ColdStartS": 0.0, "ColdPerS": 0.0} for name in ("varaus", "varaus-2")]
    tenants = [{"Name": f"tenant-{index}", "ApiKeys": [key], "Priority": 1} for index, key in enumerate(keys)]
    limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
    return {"Version": version, "Routes": routes, "Services": services, "Limits": limits, "Tenants": tenants}


class World:
    """A store, servers in the zones and gateways, all on loopback addresses."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temp = tempfile.TemporaryDirectory(prefix="review-")
        self.store = Store(self.record)
        self.servers, self.gateways = {}, []

    async def start(self, gateways=3, servers=3, store_address=None, work_s=0.02, **options):
        await self.store.start()
        hosts = [f"127.0.1.{index + 1}" for index in range(gateways)]
        ports = free_ports(hosts, 5)
        self.store.put("op", "config", manifest(3))
        for index in range(servers):
            await self.add_server(f"i-{index + 1}", ZONES[index % len(ZONES)], work_s=work_s)
        for index, host in enumerate(hosts):
            name = f"frontend-{ZONES[index % len(ZONES)]}-{index + 1}"
            gateway = Gateway(self.temp.name, self.record, self.store, name, host, ZONES[index % len(ZONES)],
                              ports[:4], ports[4], store_address, **options)
            self.gateways.append(gateway)
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        self.record.say(f"{gateways} gateways are ready")

    async def add_server(self, name, zone, service="varaus", cold_ms=0, **options):
        host = f"127.0.2.{len(self.servers) + 1}"
        server = Server(self.store, self.record, name, service, zone, host, **options)
        server.cold_ms = cold_ms
        self.servers[name] = server
        await server.start()
        return server

    def all_runs(self):
        return [(at, request, tenant, server.name) for server in self.servers.values()
                for at, request, tenant in server.runs]

    def exits(self):
        return [gateway.name for gateway in self.gateways if gateway.process and gateway.process.poll() is not None]

    def close(self):
        for gateway in self.gateways:
            gateway.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil
            shutil.copytree(self.temp.name, keep, dirs_exist_ok=True)
        self.temp.cleanup()
        self.record.close()


def run_case(folder, case):
    """Runs `case(world)`, which returns whether the rule was broken; exits with 11, 0, or 2 if it could not run."""
    async def main():
        world = World(folder)
        # The gateways end with this process, also where it is told to end.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(case(world), 105)
        finally:
            world.close()
    try:
        broken = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as err:  # A fault of the case itself, not of a gateway.
        print(f"the case could not run: {err!r}", flush=True)
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held", flush=True)
    sys.exit(11 if broken else 0)
