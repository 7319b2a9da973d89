"""Stand-ins for the cases of review 3: the platform's store, backend servers, callers and the gateway's process.

Python's standard library only. All addresses are loopback addresses, all ports are free ones.
"""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
GATEWAY = os.path.join(ROOT, "target", "release", "bergamothold")
HOST = "desk.example"
KEY = "key-of-team-1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, written to record.txt."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


def free_port(kind=socket.SOCK_STREAM):
    """A port that is free, below those that the system gives to outgoing channels."""
    while True:
        port = random.randrange(18000, 30000)
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


# HTTP -------------------------------------------------------------------------------------------------

class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def header(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunked(reader, on_data):
    """Reads chunks until the last one; raises IncompleteReadError where that does not come."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            while (await reader.readuntil(b"\r\n")) != b"\r\n":
                pass
            return
        on_data(await reader.readexactly(size))
        await reader.readexactly(2)


async def read_request(reader):
    line, headers = await read_head(reader)
    method, target, _ = line.split(" ", 2)
    body = bytearray()
    if "chunked" in headers.get("transfer-encoding", ""):
        await read_chunked(reader, body.extend)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, bytes(body))


def response(status, reason, headers, body=b""):
    head = f"HTTP/1.1 {status} {reason}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Listener:
    """A listening socket whose connections are handled by `serve(reader, writer)`."""

    def __init__(self, serve, port=0, backlog=128):
        self.serve = serve
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", port or free_port()))
        self.sock.listen(backlog)
        self.sock.setblocking(False)
        self.port = self.sock.getsockname()[1]
        self.writers = set()
        self.fillers = []
        self.task = asyncio.create_task(self._accept())

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.sock)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            reader = asyncio.StreamReader(limit=1 << 20)
            protocol = asyncio.StreamReaderProtocol(reader)
            transport, _ = await loop.connect_accepted_socket(lambda p=protocol: p, sock)
            writer = asyncio.StreamWriter(transport, protocol, reader, loop)
            self.writers.add(writer)
            asyncio.create_task(self._run(reader, writer))

    async def _run(self, reader, writer):
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def break_channels(self):
        """Resets all open channels."""
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self.writers.clear()

    def _stop_accepting(self):
        self.task.cancel()
        if self.sock.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self.sock)

    def refuse(self):
        """The process has ended: new channels are reset by the machine."""
        self._stop_accepting()
        self.sock.close()

    def go_dark(self):
        """The machine is gone: an opening packet gets no answer, as the queue of new channels is full."""
        self._stop_accepting()
        self.sock.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)

    def end(self):
        self._stop_accepting()
        for sock in [*self.fillers, self.sock]:
            sock.close()
        for writer in list(self.writers):
            writer.transport.abort()


# The platform's store -----------------------------------------------------------------------------------

class Store:
    """Rows, transactions and feeds of the platform's store, as PROTOCOL.md has them."""

    def __init__(self, era=1):
        self.rows = {}
        self.removed = {}
        self.ver = 100
        self.era = era
        self.changed = asyncio.Event()
        self.polls = {}     # polls that wait, by table
        self.polled_at = {}  # when the last poll was answered, by table
        self.listener = Listener(self._serve)

    @property
    def address(self):
        return self.listener.address

    def put(self, table, key, value, part=""):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self._apply([(table, part, key, value)], [])

    def remove(self, table, key, part=""):
        self._apply([], [(table, part, key)])

    def copy(self):
        """What a copy of the store holds that is made now."""
        return dict(self.rows), dict(self.removed), self.ver

    async def drill(self, copy, away_s):
        """The store is away for a moment and comes back from a copy, in the next era."""
        port = self.listener.port
        self.listener.end()
        await asyncio.sleep(away_s)
        self.rows, self.removed, self.ver = dict(copy[0]), dict(copy[1]), copy[2]
        self.era += 1
        self.listener = Listener(self._serve, port)

    def _apply(self, puts, removals):
        self.ver += 1
        for table, part, key, value in puts:
            self.rows[table, part, key] = (value, self.ver)
            self.removed.pop((table, part, key), None)
        for row in removals:
            if self.rows.pop(row, None) is not None:
                self.removed[row] = self.ver
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, row):
        value, ver = self.rows[row]
        table, part, key = row
        return {"Table": table, "part": part, "Key": key, "Value": base64.b64encode(value).decode(),
                "Ver": ver}

    def _page(self, rows, truncated=False):
        return {"Rows": rows, "Truncated": truncated, "Ver": self.ver,
                "NowMs": int(time.monotonic() * 1000)}

    def _get(self, query):
        table, part = query["Table"], query.get("part", "")
        start, limit = query.get("From", ""), min(int(query.get("Limit", 500)), 500)
        keys = sorted(row for row in self.rows if row[0] == table and row[1] == part
                      and row[2] >= start and ("Target" not in query or row[2] < query["Target"]))
        return 200, self._page([self._row(row) for row in keys[:limit]], len(keys) > limit)

    def _changes(self, table, after):
        rows = [(self.rows[row][1], self._row(row)) for row in self.rows
                if row[0] == table and self.rows[row][1] > after]
        rows += [(ver, {"Table": row[0], "part": row[1], "Key": row[2], "Ver": ver, "Removed": True})
                 for row, ver in self.removed.items() if row[0] == table and ver > after]
        return [row for _, row in sorted(rows, key=lambda item: item[0])]

    async def _feed(self, query):
        table = query["Table"]
        self.polls[table] = self.polls.get(table, 0) + 1
        try:
            return await self._changed_rows(query)
        finally:
            self.polls[table] -= 1
            self.polled_at[table] = time.monotonic()

    async def between_polls(self, table, limit=4):
        """Waits, for a while, until all polls of a table were answered a moment ago."""
        end = time.monotonic() + limit
        while self.polls.get(table, 0) or time.monotonic() - self.polled_at.get(table, 0) > 0.03:
            if time.monotonic() > end:
                return
            await asyncio.sleep(0.001)

    async def _changed_rows(self, query):
        table, after = query["Table"], int(query["AfterRevision"])
        if after > self.ver:
            return 410, {}
        end = time.monotonic() + min(int(query.get("WaitMs", 0)), 30000) / 1000
        while True:
            rows, changed = self._changes(table, after), self.changed
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, self._page(rows)
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, call):
        def row(entry):
            return entry["Table"], entry.get("part", ""), entry["Key"]
        expected = call.get("ExpectedRevision") or []
        for entry in expected:
            if (self.rows[row(entry)][1] if row(entry) in self.rows else 0) != entry["Ver"]:
                current = [self._row(row(e)) for e in expected if row(e) in self.rows]
                return 412, self._page(current)
        puts = [(*row(entry), base64.b64decode(entry["Value"])) for entry in call.get("Puts") or []]
        removals = [row(entry) for entry in call.get("Remove") or []]
        if any(entry[0] in ("op", "servers") for entry in [*puts, *removals]):
            return 403, {}
        self._apply(puts, removals)
        return 200, self._page([])

    async def _serve(self, reader, writer):
        while True:
            req = await read_request(reader)
            url = urlsplit(req.target)
            query = {name: values[0] for name, values in
                     parse_qs(url.query, keep_blank_values=True).items()}
            if url.path == "/v1/rows-get":
                status, body = self._get(query)
            elif url.path == "/v1/rows-feed":
                status, body = await self._feed(query)
            elif url.path == "/v1/rows-tx":
                status, body = self._transact(json.loads(req.body))
            else:
                status, body = 404, {}
            headers = [("Content-Type", "application/json"), ("Store-Era", self.era)]
            writer.write(response(status, "Answer", headers, json.dumps(body).encode()))
            await writer.drain()


# Backend servers ----------------------------------------------------------------------------------------

class Server:
    """A backend server; a case sets what it does with a request by `answer(server, req, writer)`."""

    BEAT_S = 1.2

    def __init__(self, store, service, name, zone, slots, answer):
        self.store, self.service, self.name, self.zone, self.slots = store, service, name, zone, slots
        self.answer = answer
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.requests = []
        self.orders = []
        self.listener = Listener(self._serve)
        self.beats = asyncio.create_task(self._beat())

    @property
    def address(self):
        return self.listener.address

    def write_row(self):
        self.sequence += 1
        self.store.put("servers", self.name, {
            "Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "v1",
            "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0, "born": self.born,
            "Sequence": self.sequence})

    async def _beat(self):
        while True:
            self.write_row()
            await asyncio.sleep(self.BEAT_S)

    async def _serve(self, reader, writer):
        while True:
            req = await read_request(reader)
            if req.target == "/v1/order":
                self.orders.append(json.loads(req.body))
                writer.write(response(200, "OK", [("X-Instance-Id", self.name)], b'{"Free": 100000}'))
                await writer.drain()
                continue
            if req.header("x-expect-instance") not in (None, self.name):
                writer.write(response(421, "Misdirected Request", [("X-Instance-Id", self.name)]))
                await writer.drain()
                continue
            self.requests.append(req)
            if not await self.answer(self, req, reader, writer):
                return

    def end(self):
        self.beats.cancel()
        self.listener.end()


def seal(req):
    return [("X-Request-Id", req.header("x-request-id")), ("X-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")]


def not_run(req):
    return response(503, "Service Unavailable",
                    [("X-Not-Executed", "1"), ("X-Request-Id", req.header("x-request-id"))])


def start_stream(req, writer):
    head = "HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in seal(req))
    writer.write((head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())


def send_event(writer, number, text):
    event = f"id: {number}\ndata: {text}\n\n".encode()
    writer.write(b"%x\r\n%s\r\n" % (len(event), event))


def end_stream(writer):
    writer.write(b"0\r\n\r\n")


# The gateway's process ----------------------------------------------------------------------------------

BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": 3000, "AckTimeoutMs": 4000, "CatchUpS": 4,
    "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250,
    "MaxStretchMs": 5000, "RevokeMs": 5000, "RetryBudgetRatio": 0.2, "RetryWindowS": 10,
    "RetryBudgetExtra": 100, "ColdOverage": 1.5, "ColdSlack": 5, "EvacuateMs": 5000, "RecoveryS": 12,
    "PassMs": 120, "RetryAfterS": 0, "stall_ms": 1500, "MaxHoldMs": 20000, "FreeMs": 4000,
    "MaxIdleMs": 9000,
}


class Gateway:
    """A process `bergamothold direct`, started as the deploy file has it."""

    def __init__(self, store, folder, name="frontend-bratislava-a-1", zone="bratislava-a"):
        self.name, self.folder = name, folder
        self.port, self.ready_port = free_port(), free_port()
        inner = free_port(socket.SOCK_DGRAM)
        settings = {
            "NodeName": name, "Role": "gateway", "MachineClass": "frontend", "Serves": ["frontend"],
            "Ip": "127.0.0.1", "Zone": zone, "Region": "sk-west",
            "Zones": {"bratislava-a": "sk-west", "trnava-b": "sk-west", "nitra-c": "sk-west"},
            "Bind": {"Frontend": f"127.0.0.1:{self.port}", "Ready": f"127.0.0.1:{self.ready_port}"},
            "InternalPortRange": [inner, inner], "SeedNodes": [], "Bootstrap": True,
            "Limits": {"CpuShare": 0.19, "CpuCores": 1, "MemoryMb": 260, "FdLimit": 4100,
                       "LinkMbps": 1000.0, "DiskMb": 0},
            "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200, "Bounds": BOUNDS,
            "Platform": {"Address": store.address, "form": "table", "WritesPerS": 400,
                         "ReadsPerS": 2000, "TxMs": 5.0, "PartWritesS": 200, "RowBytes": 65536,
                         "Across": False, "HistoryS": 20},
        }
        self.settings = os.path.join(folder, f"{name}.yaml")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file, indent=1)  # JSON is YAML.
        self.log_path = os.path.join(folder, f"{name}.log")
        self.process = None

    def start(self):
        if not os.path.exists(GATEWAY):
            raise CannotRun(f"no program at {os.path.relpath(GATEWAY, ROOT)}")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["BERGAMOTHOLD_BOOT"] = self.settings
        log = open(self.log_path, "ab")
        args = [GATEWAY, "direct", "--metrics-port", str(free_port())]
        self.process = subprocess.Popen(args, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log,
                                        stderr=subprocess.STDOUT)
        log.close()

    async def wait_ready(self, limit=20):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                line, _ = await read_head(reader)
                writer.close()
                if line.split(" ")[1] == "200":
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the gateway does not become ready")

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


# Callers ------------------------------------------------------------------------------------------------

class Answer:
    """What a caller has seen of one attempt."""

    def __init__(self, request_id):
        self.id = request_id
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.error = None
        self.seconds = None

    def events(self):
        """Ids of the whole events."""
        ids = []
        for event in self.body.split(b"\n\n")[:-1]:
            ids += [int(line[3:]) for line in event.split(b"\n") if line.startswith(b"id:")]
        return ids

    def __str__(self):
        end = "complete" if self.is_complete else f"not complete ({self.error})"
        return f"{self.id}: status {self.status}, {len(self.body)} bytes, {end}"


def request_head(method, path, request_id, body=b"", limit_ms=10000, headers=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request_id}",
             f"X-Deadline-Ms: {limit_ms}", f"Authorization: Token {KEY}",
             *(f"{name}: {value}" for name, value in headers)]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_answer(reader, answer, on_data=None):
    def keep(data):
        answer.body += data
        if on_data:
            on_data(answer)
    line, answer.headers = await read_head(reader)
    answer.status = int(line.split(" ")[1])
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        await read_chunked(reader, keep)
    elif "content-length" in answer.headers:
        keep(await reader.readexactly(int(answer.headers["content-length"])))
    else:
        while data := await reader.read(65536):
            keep(data)
    answer.is_complete = True


async def call(port, request_id, method, path, body=b"", limit_ms=10000, headers=(), on_data=None):
    """One attempt on a channel of its own."""
    answer = Answer(request_id)
    began = time.monotonic()
    writer = None
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request_head(method, path, request_id, body, limit_ms, headers) + body)
        await asyncio.wait_for(read_answer(reader, answer, on_data), limit_ms / 1000 + 2)
    except asyncio.TimeoutError:
        answer.error = "no end within the time limit and 2 s"
    except asyncio.IncompleteReadError:
        answer.error = "the channel was closed"
    except OSError as err:
        answer.error = type(err).__name__
    finally:
        if writer:
            writer.close()
    answer.seconds = time.monotonic() - began
    return answer


# Declarations -------------------------------------------------------------------------------------------

ENGINE = {
    "Slots": 16, "KvCapacityTokens": 450000, "KvTokenBytes": 327680, "LinkMbps": 400000.0, "Stride": 46,
    "Models": [{"Name": "m"}], "step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254,
    "read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048, "report_lag_ms": 200.0,
    "LoadsPerS": 0.0, "loads_at_once": 8, "delays": [], "usual": {"prompt": 13227, "answer": 1541},
    "HopMs": 0.1,
}


def route(name, kind, service, **more):
    return {"Name": name, "Hostname": HOST, "Prefix": f"/{name}/", "RouteType": kind, "Service": service,
            "MaxAttempts": 2, "AllowAnonymous": False, "Priority": 1, **more}


def manifest(version=7):
    return {
        "Version": version,
        "Routes": [
            route("label-draft", "streaming", "drafting-llm", TimeoutMs=10000, TargetLatencyMs=300,
                  TargetGapMs=200, SessionAffinity=True, StreamResume=True),
            route("recall-trace", "streaming", "drafting-llm", TimeoutMs=15000, TargetLatencyMs=3000,
                  TargetGapMs=800, SessionAffinity=True, StreamResume=True),
            route("label-issue", "unsafe", "registry-app", TimeoutMs=600, TargetLatencyMs=100,
                  MaxAttempts=1, Priority=2),
            route("label-lookup", "safe", "registry-app", TimeoutMs=600, TargetLatencyMs=100, Priority=2),
        ],
        "Services": [
            {"Name": "drafting-llm", "HealthCheckPath": "/health", "MaxConnections": 424, "Protocol": "h1",
             "Tls": False, "ColdStartS": 3.0, "ColdPerS": 36.0, "Engine": ENGINE},
            {"Name": "registry-app", "HealthCheckPath": "/health", "MaxConnections": 96, "Protocol": "h1",
             "Tls": False, "ColdStartS": 0.0, "ColdPerS": 0.0},
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "tenant-1", "ApiKeys": [KEY], "Priority": 1}],
    }


def run_case(folder, play):
    """Runs `play(folder, record, work)`, which returns a list of broken rules; exits as the issue has it."""
    record = Record(folder)
    record.add(f"TROUBLE={int(TROUBLE)}")
    code = 2
    with tempfile.TemporaryDirectory() as work:
        try:
            broken = asyncio.run(asyncio.wait_for(play(folder, record, work), 110))
            for text in broken:
                record.add(f"BROKEN {text}")
            code = 1 if broken else 0
        except CannotRun as err:
            record.add(f"cannot run: {err}")
        except asyncio.TimeoutError:
            record.add("cannot run: it takes too long")
        except OSError as err:
            record.add(f"cannot run: {err}")
    record.add(f"exit {code}")
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
