"""Stand-ins of the platform for the scripts of this review: the metadata store, servers and consumers.

All of them run in the process of the script and listen on 127.0.0.1. They behave as the pages say:
the store is linearizable and answers at once, servers run what they accept and answer with their own
seal, and consumers send one request on a channel of its own.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import traceback
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "bergamothold")
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """What was sent, run and answered, one line for each event."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def write(self, text):
        if self.file.closed:
            return
        line = f"{now():8.3f} s  {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def close(self):
        self.file.close()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


async def read_request(reader):
    """Reads one request; `None` at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return method, target, headers, body


def response(status, reason, headers, body=b""):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store: rows in tables, long polls and transactions."""

    def __init__(self):
        self.rows = {}
        self.changes = []
        self.ver = 0
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def apply(self, puts, removes):
        self.ver += 1
        for table, key, value in puts:
            row = {"Table": table, "part": "", "Key": key, "Value": value, "Ver": self.ver}
            self.rows[(table, key)] = row
            self.changes.append(row)
        for table, key in removes:
            if self.rows.pop((table, key), None) is not None:
                row = {"Table": table, "part": "", "Key": key, "Ver": self.ver, "Removed": True}
                self.changes.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, content):
        value = base64.b64encode(json.dumps(content).encode()).decode()
        self.apply([(table, key, value)], [])

    def answer(self, body):
        body = dict(body, Ver=self.ver, NowMs=int(time.monotonic() * 1000))
        return response(200, "OK", {"Content-Type": "application/json"}, json.dumps(body).encode())

    async def serve(self, reader, writer):
        try:
            while (req := await read_request(reader)) is not None:
                method, target, _, body = req
                path, _, query = target.partition("?")
                query = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}
                writer.write(await self.call(path, query, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def call(self, path, query, body):
        table = query.get("Table")
        if path == "/v1/rows-get":
            rows = [row for (t, _), row in sorted(self.rows.items()) if t == table]
            rows = [row for row in rows if row["Key"] >= query.get("From", "")]
            return self.answer({"Rows": rows, "Truncated": False})
        if path == "/v1/rows-feed":
            after = int(query["AfterRevision"])
            end = time.monotonic() + min(int(query["WaitMs"]), 30_000) / 1000
            while True:
                rows = {r["Key"]: r for r in self.changes if r["Table"] == table and r["Ver"] > after}
                rows = sorted(rows.values(), key=lambda row: row["Ver"])
                left = end - time.monotonic()
                if rows or left <= 0:
                    return self.answer({"Rows": rows})
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/v1/rows-tx":
            call = json.loads(body)
            for row in call["ExpectedRevision"]:
                known = self.rows.get((row["Table"], row["Key"]))
                if (known["Ver"] if known else 0) != row["Ver"]:
                    return response(412, "Precondition Failed", {}, b'{"Rows":[]}')
            puts = [(row["Table"], row["Key"], row["Value"]) for row in call["Puts"]]
            self.apply(puts, [(row["Table"], row["Key"]) for row in call["Remove"]])
            return self.answer({})
        return response(404, "Not Found", {})


class Engine:
    """A model server: reads prompts one after the other, with helpers in even parts, and then writes."""

    def __init__(self, record, engines, profile, name, zone):
        self.record, self.engines, self.profile = record, engines, profile
        self.name, self.zone = name, zone
        self.free_at = 0.0
        self.at_work = {}
        self.ended_at = {}

    async def start(self, store, service):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.engines[self.address] = self
        store.put("servers", self.name, {
            "Service": service, "Address": self.address, "Zone": self.zone, "Version": "v1",
            "Slots": self.profile["Slots"], "State": "ready", "ColdRemainingMs": 0, "Sequence": 1})

    def prefill_s(self, tokens):
        pairs = tokens * tokens / 2 / 1e6
        return tokens / self.profile["read_per_s"] + pairs * self.profile["pairs_per_m"] / 1000

    async def serve(self, reader, writer):
        work = None
        try:
            while (req := await read_request(reader)) is not None:
                method, target, headers, body = req
                if target == "/v1/order":
                    body = b'{"Free":450000}'
                    writer.write(response(200, "OK", {"Content-Type": "application/json"}, body))
                    await writer.drain()
                    continue
                if headers.get("x-expect-instance", self.name) != self.name:
                    writer.write(response(421, "Misdirected Request", {"X-Instance-Id": self.name}))
                    await writer.drain()
                    continue
                work = asyncio.create_task(self.run(headers, writer))
                closed = asyncio.create_task(reader.read(1))
                await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
                for task in (work, closed):
                    task.cancel()
                await asyncio.gather(work, closed, return_exceptions=True)
                # Callers send one request on a channel.
                return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def run(self, headers, writer):
        req = headers["x-request-id"]
        tokens = int(headers["x-token-usage"].split(",")[0])
        helpers = [e.split("/")[0] for e in headers.get("x-helpers", "").split(",") if e]
        helpers = [self.engines[address] for address in helpers]
        group = [self] + [engine for engine in helpers if engine is not self]
        self.record.write(f"{self.name} gets {req}: {tokens} tokens, {len(group)} servers read them")
        self.at_work[req] = True
        try:
            part = self.prefill_s(tokens) / len(group)
            for engine in group:
                engine.free_at = max(engine.free_at, now()) + part
            await asyncio.sleep(max(engine.free_at for engine in group) - now())
            self.record.write(f"{self.name} writes the first token of {req}")
            lines = ["HTTP/1.1 200 OK", f"X-Request-Id: {req}", "X-Response-Seal: 1.1.1",
                     "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            for piece in range(1, 18):
                event = f"id: {piece}\ndata: piece {piece} of {req}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.profile["Stride"] * self.profile["step_ms"] / 1000)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.record.write(f"{self.name} ends {req}")
        except asyncio.CancelledError:
            self.record.write(f"{self.name} drops {req}, its channel was closed")
            raise
        finally:
            self.at_work.pop(req, None)
            self.ended_at[req] = now()


class Answer:
    """What a consumer got: status and body, or a channel that ended before the answer was complete."""

    def __init__(self, status, complete, sent_at, ended_at, why):
        self.status, self.complete, self.why = status, complete, why
        self.sent_at, self.ended_at = sent_at, ended_at


async def send(record, address, req, method, path, headers, wait_s, body=b""):
    """Sends a request on a new channel and reads the whole answer, for `wait_s` seconds at most."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [f"{method} {path} HTTP/1.1", "Host: desk.example", f"X-Request-Id: {req}",
             f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    await writer.drain()
    sent_at = now()
    record.write(f"consumer sends {req}, {method} {path}")
    state = {"status": None}

    async def read():
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        state["status"] = int(head.split(" ")[1])
        if "transfer-encoding: chunked" in head:
            while (size := int(await reader.readuntil(b"\r\n"), 16)) > 0:
                await reader.readexactly(size + 2)
            await reader.readexactly(2)
        elif "content-length:" in head:
            length = int(head.split("content-length:")[1].split("\r\n")[0])
            await reader.readexactly(length)
        return "complete answer"

    try:
        why, complete = await asyncio.wait_for(read(), wait_s), True
    except asyncio.TimeoutError:
        why, complete = "consumer gives up at its time limit", False
    except (asyncio.IncompleteReadError, ConnectionError):
        why, complete = "channel closed before the answer was complete", False
    writer.close()
    answer = Answer(state["status"], complete, sent_at, now(), why)
    record.write(f"consumer: {req} ends after {answer.ended_at - sent_at:.3f} s: "
                 f"status {answer.status}, {why}")
    return answer


def run_case(main):
    """Runs `main` with whether the disruption is on, and returns the exit code of the script."""

    def stop(*_):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)
    try:
        return asyncio.run(main(os.environ.get("TROUBLE", "1") != "0"))
    except Exception:  # The case could not run; 1 is kept for a broken rule.
        traceback.print_exc()
        return 2


class Gateway:
    """A process of the system, started as the deploy file says."""

    def __init__(self, record, store, name, grace_s=8, zone="bratislava-a"):
        self.record, self.name = record, name
        self.frontend = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        peer_port = free_port(socket.SOCK_DGRAM)
        self.folder = tempfile.TemporaryDirectory()
        settings = os.path.join(self.folder.name, "local.yaml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(f"""NodeName: "{name}"
Role: "gateway"
MachineClass: "frontend"
Serves:
  - "frontend"
Ip: "127.0.0.1"
Zone: "{zone}"
Region: "sk-west"
Bind:
  Frontend: "{self.frontend}"
  Ready: "{self.ready}"
InternalPortRange:
  - {peer_port}
  - {peer_port}
Bootstrap: true
Limits:
  CpuShare: 0.19
  CpuCores: 1
  MemoryMb: 260
  FdLimit: 4100
HeartbeatMs: 1200
Bounds:
  StableWindowMs: 3000
  DrainMs: 2000
  GraceS: {grace_s}
  LossSlackMs: 200
  ConfigApplyMs: 2000
  RetryBudgetRatio: 0.2
  RetryWindowS: 10
  RetryBudgetExtra: 100
  ColdOverage: 1.5
  ColdSlack: 5
  MaxHoldMs: 20000
  FreeMs: 4000
  MaxIdleMs: 9000
Platform:
  Address: "{store.address}"
  form: "table"
""")
        self.settings = settings

    def start(self):
        env = {"PATH": os.environ.get("PATH", ""), "BERGAMOTHOLD_BOOT": self.settings}
        args = [PROGRAM, "direct", "--metrics-port", str(free_port())]
        self.log = open(os.path.join(self.folder.name, "log"), "wb")
        self.process = subprocess.Popen(args, cwd=ROOT, env=env, stdout=self.log,
                                        stderr=subprocess.STDOUT)
        self.record.write(f"{self.name} starts")

    async def wait_ready(self, limit_s=20, quiet=False):
        host, port = self.ready.split(":")
        end = now() + limit_s
        while now() < end:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                head = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in head:
                    if not quiet:
                        self.record.write(f"{self.name} says that it is ready")
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    def signal(self, number):
        self.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def stop(self):
        """Ends the process, if it still runs, and removes its folder."""
        if hasattr(self, "process"):
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()
            self.log.close()
        self.folder.cleanup()
