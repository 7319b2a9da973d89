"""After a drill of the store, the operator withdraws a key and moves a route; is that in force at the gateways?"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
sys.dont_write_bytecode = True
from standins_2 import BOUNDS, KEY, OTHER_KEY, ZONES, Caller, manifest, run_case, trouble  # noqa: E402

COPY_AGE_S = 8.0
AWAY_S = 1.0
CHANGES = (4, 5, 6)
CHANGE_GAP_S = 1.0
APPLY_S = BOUNDS["ConfigApplyMs"] / 1e3
STABLE_S = BOUNDS["StableWindowMs"] / 1e3


async def case(world):
    record, store = world.record, world.store
    await world.start(gateways=3, servers=3)
    for index, zone in enumerate(ZONES):
        await world.add_server(f"i-new-{index + 1}", zone, service="varaus-2")
    kept = Caller(record, world.gateways, "POST", "/book/1", KEY, 15.0, "kept")
    dropped = Caller(record, world.gateways, "POST", "/book/2", OTHER_KEY, 15.0, "dropped")
    kept.start()
    dropped.start()
    await asyncio.sleep(4.0)
    copy = store.copy()
    await asyncio.sleep(COPY_AGE_S - len(CHANGES) * CHANGE_GAP_S)
    # Changes of a time-out, which leave all keys and routes as they are.
    for version in CHANGES:
        config = manifest(version)
        config["Routes"][1]["TimeoutMs"] = 2500 + version
        record.say(f"manifest {version} is in the store's row of version {store.put('op', 'config', config)}")
        await asyncio.sleep(CHANGE_GAP_S)
    if trouble():
        await store.restore(copy, AWAY_S)
        # What the operator and the servers wrote is written again.
        record.say(f"manifest {CHANGES[-1]} is written again, in the row of version "
                   f"{store.put('op', 'config', config)}")
    await asyncio.sleep(STABLE_S + 0.3)
    version = store.put("op", "config", manifest(8, keys=(KEY,), route_service="varaus-2"))
    confirmed = time.monotonic()
    record.say(f"the store has accepted manifest 8, in the row of version {version}: without the second key, and "
               "with all routes moved to varaus-2")
    await asyncio.sleep(APPLY_S + 12.0)
    await dropped.stop()
    await kept.stop()
    late = {request: at - confirmed for caller in (kept, dropped) for request, (at, _) in caller.sent.items()
            if at > confirmed + APPLY_S}
    runs = [(request, server) for _, request, _, server in world.all_runs() if request in late]
    old = [request for request, server in runs if server in ("i-1", "i-2", "i-3")]
    without_key = [request for request, _ in runs if request.startswith("dropped")]
    broken = set(old) | set(without_key)
    record.say(f"requests sent later than ConfigApplyMs after the confirmation: {len(late)}, run: {len(runs)}, by the "
               f"old service: {len(old)}, with the dropped key: {len(without_key)}")
    if broken:
        record.say(f"the last of these was sent {max(late[request] for request in broken):.2f} s after the "
                   "confirmation")
    record.say(f"gateways that ended: {world.exits()}")
    return bool(broken)


run_case(os.path.dirname(os.path.abspath(__file__)), case)
