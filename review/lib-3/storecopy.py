"""The drill of cases 11 and 12: the store is away for a moment and comes back from a copy that is some seconds old."""

import asyncio
import time

from reviewfleet import BOUNDS, number

AWAY_S = 1.0  # "away for a moment"
COPY_AGE_S = 5.0  # "a copy some seconds old"
WARM_UP_S = 5.0  # "slow for some seconds"
HEARTBEAT_S = 1.2


async def warm_up(target):
    """Writes the entry of a target that has just started, every heartbeat, until the target isn't slow any more."""
    end = time.monotonic() + WARM_UP_S
    while True:
        left = max(0, round((end - time.monotonic()) * 1000))
        target.cold_remaining_ms = left
        write_entry(target)
        if left == 0:
            return
        await asyncio.sleep(HEARTBEAT_S)


def write_entry(target):
    """The entry as the target writes it now. While the store is away, nothing is written."""
    store = target.world.store
    if store.mode != "up":
        return
    spec = {"service": target.service, "address": f"{target.ip}:8080", "zone": target.zone, "version": "v1", "slots": target.slots,
            "state": target.state, "cold_remaining_ms": getattr(target, "cold_remaining_ms", 0), "seq": 0, "born": target.born}
    store.put("servers", target.name, spec)


async def play_drill(deployment, service, trouble):
    """Two targets start and the operator makes one change; then the store loses these seconds. All machines are in touch again at the end."""
    world, store, record = deployment.world, deployment.world.store, deployment.record
    for zone in ("zone-a", "zone-b"):
        target = await deployment.add_target(service, zone)
        record.line(f"target   {target.name} started")
        deployment.tasks.append(asyncio.create_task(warm_up(target)))
    await asyncio.sleep(1.0)
    deployment.routes[(number("127.90.0.7"), 1000)] = service
    deployment.write_config()
    await asyncio.sleep(COPY_AGE_S - 1.2)

    if trouble:
        latest = dict(store.objects[("config", "main")]["spec"])
        record.line(f"store    away, revision {store.revision}")
        store.mode = "reset"
        for proxy in deployment.proxies.values():
            proxy.reset_all()
        await asyncio.sleep(AWAY_S)
        age = store.restore(COPY_AGE_S + AWAY_S)
        store.mode = "up"
        record.line(f"store    back from a copy {age - AWAY_S:.2f} s older than its last moment, revision {store.revision}, era {store.era}")
        for target in world.targets.values():
            write_entry(target)
        store.put("config", "main", latest)
        record.line(f"store    targets and operator have written again, revision {store.revision}")
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(BOUNDS["touch_s"] + 2.0)


async def ask(deployment, routes, seconds, rate):
    """Sends requests to the routes in turn and returns their results by route."""
    results = {route: [] for route in routes}
    tasks = []

    async def one(route):
        results[route].append(await deployment.request(route))

    end = time.monotonic() + seconds
    n = 0
    while time.monotonic() < end:
        tasks.append(asyncio.create_task(one(routes[n % len(routes)])))
        n += 1
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*tasks)
    return results
