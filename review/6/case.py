"""After a drill of the store, a server says that it drains and later ends; do gateways still send to it?"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
sys.dont_write_bytecode = True
from standins_2 import BOUNDS, KEY, ZONES, Caller, run_case, trouble  # noqa: E402

COPY_AGE_S = 8.0
AWAY_S = 1.0
STARTED_BEFORE_S = 3.0
WORK_S = 0.06
DRAIN_S = BOUNDS["DrainMs"] / 1e3
STABLE_S = BOUNDS["StableWindowMs"] / 1e3


async def case(world):
    record, store = world.record, world.store
    await world.start(gateways=3, servers=3, work_s=WORK_S)
    caller = Caller(record, world.gateways, "POST", "/book/1", KEY, 90.0, "book")
    caller.start()
    await asyncio.sleep(4.0)
    copy = store.copy()
    await asyncio.sleep(COPY_AGE_S - STARTED_BEFORE_S)
    # As in a release. Its entry changes with each heartbeat until it is warm.
    new = await world.add_server("i-4", ZONES[0], work_s=WORK_S, cold_ms=3000)
    await asyncio.sleep(STARTED_BEFORE_S)
    record.say(f"i-4 has started, its row has version {store.rows[('servers', 'i-4')].version}")
    if trouble():
        await store.restore(copy, AWAY_S)
        # What the operator and the servers wrote is written again.
        new.register()
        record.say(f"i-4 has written its row again, version {store.rows[('servers', 'i-4')].version}")
    await asyncio.sleep(STABLE_S + 0.3)
    version = new.drain()
    confirmed = time.monotonic()
    record.say(f"the store has accepted that i-4 drains, version {version}")
    # It serves for DrainMs and a little longer.
    await asyncio.sleep(DRAIN_S + 4.0)
    await new.end()
    record.say("i-4 has ended")
    await asyncio.sleep(2.0)
    await caller.stop()
    late = [(at - confirmed, request, caller.sent[request]) for at, request, _ in new.runs
            if at > confirmed + DRAIN_S]
    sent_late = [entry for entry in late if entry[2][0] > confirmed + DRAIN_S]
    lost = [request for request in new.cut]
    by = sorted({entry[2][1] for entry in late})
    record.say(f"requests that reached i-4 later than DrainMs after the confirmation: {len(late)}, of them sent by "
               f"callers later than that: {len(sent_late)}, through {', '.join(by) or 'no gateway'}")
    record.say(f"at work on {len(lost)} unsafe requests when it ended: "
               f"{[(request, caller.answers.get(request)) for request in lost]}")
    record.say(f"last of them {late[-1][0]:.2f} s after the confirmation" if late else "none of them is late")
    record.say(f"gateways that ended: {world.exits()}")
    return bool(late)


run_case(os.path.dirname(os.path.abspath(__file__)), case)
