"""Long prompts wait at a gateway for model servers while it gets SIGTERM."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import standins as st  # noqa: E402

GRACE_S = 8.0
LOSS_SLACK_S = 0.2
TIMEOUT_S = 15.0
# A consumer leaves a stream after four times its objective of 3 s without an event.
CONSUMER_WAIT_S = 12.0
PROMPTS = 5
TOKENS = 300_000
ENGINE = {
    "Slots": 16, "KvCapacityTokens": 450_000, "KvTokenBytes": 327_680, "LinkMbps": 400_000.0,
    "Stride": 46, "Models": [{"Name": "m"}], "step_ms": 0.925, "per_seq_ms": 0.00483,
    "context_per_k": 0.00254, "read_per_s": 256_000.0, "pairs_per_m": 0.0917, "chunk": 2048,
    "report_lag_ms": 200.0, "delays": [], "usual": {"prompt": 13_227, "answer": 800}, "HopMs": 0.1,
}
MANIFEST = {
    "Version": 1,
    "Routes": [{
        "Name": "recall-trace", "Hostname": "desk.example", "Prefix": "/recall/",
        "RouteType": "streaming", "TimeoutMs": 15_000, "TargetLatencyMs": 3_000, "Priority": 1,
        "Service": "drafting-llm", "MaxAttempts": 2, "AllowAnonymous": False,
        "SessionAffinity": True, "StreamResume": True, "TargetGapMs": 800}],
    "Services": [{
        "Name": "drafting-llm", "HealthCheckPath": "/health", "MaxConnections": 424,
        "Protocol": "h1", "Tls": False, "ColdStartS": 3.0, "ColdPerS": 36.0, "Engine": ENGINE}],
    "Limits": {"MaxHeaderBytes": 16_384, "MaxBodyBytes": 4_194_304, "HeaderTimeoutMs": 3_000,
               "IdleTimeoutMs": 15_000},
    "Tenants": [{"Name": "member", "ApiKeys": ["key1"], "Priority": 1}],
}


async def consumer(record, gateway, number):
    req = f"{number:016x}"
    headers = {
        "Authorization": "Token key1", "X-Deadline-Ms": "15000", "X-Model": "m",
        "X-Token-Usage": f"{TOKENS},800", "X-Prompt-Prefix": f"5c1e07a2:40,{number:08x}:{TOKENS - 40}",
        "X-Length-Hint": "780"}
    body = b"a season of vessel logs " * 100
    answer = await st.send(record, gateway.frontend, req, "POST", "/recall/2f", headers,
                           CONSUMER_WAIT_S, body)
    return req, answer


async def stop(record, gateway):
    """Stops a process as the platform does: SIGTERM, and SIGKILL after GraceS."""
    gateway.signal(signal.SIGTERM)
    term_at = st.now()
    while st.now() < term_at + GRACE_S and gateway.process.poll() is None:
        await asyncio.sleep(0.01)
    if gateway.process.poll() is None:
        gateway.signal(signal.SIGKILL)
    gateway.process.wait()
    record.write(f"{gateway.name} has ended {st.now() - term_at:.3f} s after SIGTERM")
    return term_at


def is_lost(answer, engines, req, term_at):
    """The rule LOST for planned work, with its excuses."""
    if answer.complete or "closed" not in answer.why:
        return False
    if not term_at <= answer.ended_at <= term_at + GRACE_S + 1:
        return False
    if answer.ended_at <= answer.sent_at + LOSS_SLACK_S:
        return False
    if answer.ended_at >= answer.sent_at + TIMEOUT_S:
        return False
    work_ended = [engine.ended_at[req] for engine in engines.values() if req in engine.ended_at]
    at_work = any(req in engine.at_work for engine in engines.values())
    late = term_at + GRACE_S * 5 / 6
    if answer.sent_at <= term_at + 3 and (at_work or any(at >= late for at in work_ended)):
        return False
    return True


async def main(trouble):
    record = st.Record(os.path.join(HERE, "record.txt"))
    record.write(f"TROUBLE={int(trouble)}")
    store = st.Store()
    await store.start()
    store.put("op", "config", MANIFEST)
    engines = {}
    for number, zone in ((1, "bratislava-a"), (2, "trnava-b")):
        await st.Engine(record, engines, ENGINE, f"i-{number:08x}", zone).start(store, "drafting-llm")
    gateway = st.Gateway(record, store, "frontend-1")
    gateway.start()
    try:
        if not await gateway.wait_ready():
            record.write("the process does not become ready")
            return 2
        await asyncio.sleep(2)
        asked = []
        for number in range(1, PROMPTS + 1):
            asked.append(asyncio.create_task(consumer(record, gateway, number)))
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.25)
        term_at = await stop(record, gateway) if trouble else -1e9
        answers = await asyncio.gather(*asked)
        await asyncio.sleep(0.2)
        lost = [req for req, answer in answers if is_lost(answer, engines, req, term_at)]
        if not trouble:
            lost = [req for req, answer in answers if "closed" in answer.why]
        for req in lost:
            record.write(f"LOST: {req} was read whole and got neither an answer nor a refusal")
        record.write(f"result: {len(lost)} of {PROMPTS} requests lost")
        return 1 if lost else 0
    finally:
        gateway.stop()
        record.close()


if __name__ == "__main__":
    sys.exit(st.run_case(main))
