"""One answer of a faulty server consists of interim heads without end."""

import asyncio
import os
import subprocess
import sys
import threading

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import standins as st  # noqa: E402

# garble: one of three servers (share 0.35), one in twenty of its answers (x 0.05), for 6.6 s.
FAULTY_AFTER_S, FAULTY_FOR_S = 4.0, 6.6
REQUESTS, INTERVAL_S = 300, 1 / 30
TIMEOUT_S = 0.6
CONSUMER_WAIT_S = 3.0
MANIFEST = {
    "Version": 1,
    "Routes": [{
        "Name": "label-lookup", "Hostname": "desk.example", "Prefix": "/lookup/",
        "RouteType": "safe", "TimeoutMs": 600, "TargetLatencyMs": 100, "Priority": 2,
        "Service": "registry-app", "MaxAttempts": 2, "AllowAnonymous": False}],
    "Services": [{
        "Name": "registry-app", "HealthCheckPath": "/health", "MaxConnections": 96,
        "Protocol": "h1", "Tls": False, "ColdStartS": 0.0, "ColdPerS": 0.0}],
    "Limits": {"MaxHeaderBytes": 16_384, "MaxBodyBytes": 4_194_304, "HeaderTimeoutMs": 3_000,
               "IdleTimeoutMs": 15_000},
    "Tenants": [{"Name": "member", "ApiKeys": ["key1"], "Priority": 1}],
}


class Server:
    """A registry server in a process of its own; it is faulty for `faulty_for_s`."""

    def __init__(self, record, store, name, zone, faulty_for_s):
        args = [sys.executable, os.path.join(HERE, "faulty_server.py"), str(FAULTY_AFTER_S),
                str(faulty_for_s)]
        self.process = subprocess.Popen(args, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        address = f"127.0.0.1:{int(self.process.stdout.readline())}"
        store.put("servers", name, {
            "Service": "registry-app", "Address": address, "Zone": zone, "Version": "v1",
            "Slots": 6, "State": "ready", "ColdRemainingMs": 0, "Sequence": 1})

        def copy():
            for line in self.process.stdout:
                record.write(f"{name} {line.rstrip()}")

        threading.Thread(target=copy, daemon=True).start()

    def stop(self):
        self.process.kill()
        self.process.wait()


async def consumer(record, gateway, number):
    headers = {"Authorization": "Token key1", "X-Deadline-Ms": str(int(CONSUMER_WAIT_S * 1000))}
    return await st.send(record, gateway.frontend, f"{number:016x}", "GET", f"/lookup/{number}",
                         headers, CONSUMER_WAIT_S)


async def ask_ready(record, gateway, waits):
    """Asks once a second whether the process is ready, as the platform does."""
    while True:
        asked = st.now()
        await gateway.wait_ready(limit_s=15, quiet=True)
        waits.append(st.now() - asked)
        if waits[-1] > 0.5:
            record.write(f"{gateway.name} has not answered GET /v1/ready for {waits[-1]:.3f} s")
        await asyncio.sleep(max(0, 1 - waits[-1]))


async def main(trouble):
    record = st.Record(os.path.join(HERE, "record.txt"))
    record.write(f"TROUBLE={int(trouble)}")
    store = st.Store()
    await store.start()
    store.put("op", "config", MANIFEST)
    servers = []
    gateway = st.Gateway(record, store, "frontend-1")
    try:
        for number, zone in enumerate(("bratislava-a", "trnava-b", "nitra-c"), 1):
            faulty_for_s = FAULTY_FOR_S if trouble and number == 1 else 0
            servers.append(Server(record, store, f"i-{number:08x}", zone, faulty_for_s))
        gateway.start()
        if not await gateway.wait_ready():
            record.write("the process does not become ready")
            return 2
        await asyncio.sleep(2)
        waits = []
        asking = asyncio.create_task(ask_ready(record, gateway, waits))
        asked = []
        for number in range(REQUESTS):
            asked.append(asyncio.create_task(consumer(record, gateway, number)))
            await asyncio.sleep(INTERVAL_S)
        answers = await asyncio.gather(*asked, return_exceptions=True)
        # A channel that can't be opened is no request.
        answers = [answer for answer in answers if isinstance(answer, st.Answer)]
        await asyncio.sleep(1)
        asking.cancel()
        times = [answer.ended_at - answer.sent_at for answer in answers]
        unanswered = [time for time in times if time > TIMEOUT_S]
        half_a_second_later = [time for time in times if time > TIMEOUT_S + 0.5]
        record.write(f"result: of {len(answers)} requests {len(unanswered)} were unanswered at TimeoutMs, "
                     f"and {len(half_a_second_later)} half a second later; longest wait for "
                     f"/v1/ready {max(waits):.3f} s")
        is_broken = len(half_a_second_later) > len(unanswered) / 2
        if is_broken:
            record.write("CONFIG: more than half of those unanswered at TimeoutMs have no answer "
                         "half a second later")
        return 1 if is_broken else 0
    finally:
        gateway.stop()
        for server in servers:
            server.stop()
        record.close()


if __name__ == "__main__":
    sys.exit(st.run_case(main))
