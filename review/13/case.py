"""All nodes are killed at the same moment and start again; a flow that was opened then may not move to another target."""

import asyncio
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))

from reviewfleet import BOUNDS, BROKEN, HELD, Deployment, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FLOW_S = 2.0  # flow_ms
DARK_S = 2.0  # herd_kill, how = "power"
SLOW_S, ANSWER_S = 3.0, 0.24  # platform_slow, 60 times as long as 4 ms
LATENCY_S = 0.003  # one way to clients
PAUSE_S = 7.5  # between the two requests of a flow, which may be idle for 15 s
START_GAP_S = 0.1  # the machines do not start all at once
CALM_RATE, RATE = 20, 150  # new flows a second, the second one while the nodes come back
ROUNDS = 4


async def herd_kill(deployment):
    deployment.record.line("all nodes are killed")
    await asyncio.gather(*(node.end(signal.SIGKILL) for node in deployment.nodes))
    await asyncio.sleep(DARK_S)
    for node in random.sample(deployment.nodes, len(deployment.nodes)):
        await node.start()
        await asyncio.sleep(START_GAP_S)
    deployment.record.line("all nodes are started")


async def slow_store(deployment):
    """The store is slow while the nodes start."""
    await asyncio.sleep(DARK_S - 0.2)
    deployment.world.store.delay = ANSWER_S
    await asyncio.sleep(SLOW_S)
    deployment.world.store.delay = 0.004


async def case():
    deployment = Deployment(HERE)
    world, record = deployment.world, deployment.record
    world.latency = LATENCY_S
    broken = []

    async def flow(route):
        """Two requests on one flow. Notes when the flow's packets go to other targets for flow_ms, three at least."""
        key, _ = await deployment.flow(route, (7, 7), PAUSE_S, 4.0)
        home = world.homes.get(key)
        if home is None:
            return
        astray = [(when, target) for when, target in world.astray.pop(key, []) if when > home[1] + BOUNDS["touch_s"] + 2]
        if sum(when <= astray[0][0] + FLOW_S for when, _ in astray) >= 3 and astray[-1][0] >= astray[0][0] + FLOW_S:
            broken.append(key)
            record.line(f"astray   {key[1]} opened at {home[0]}, then " + " ".join(f"{when - astray[0][0]:.2f}:{target}" for when, target in astray))

    try:
        await deployment.start(["lookup"], 24)
        route = next(iter(deployment.routes))
        await asyncio.sleep(1.0)
        flows = []
        for _ in range(ROUNDS):
            troubles = [asyncio.create_task(it(deployment)) for it in (herd_kill, slow_store)] if TROUBLE else []
            start = time.monotonic()
            while time.monotonic() < start + DARK_S + 1.0:
                flows.append(asyncio.create_task(flow(route)))
                await asyncio.sleep(1 / (RATE if time.monotonic() > start + DARK_S - 0.6 else CALM_RATE))
            await asyncio.gather(*troubles)
            await asyncio.sleep(PAUSE_S + 2.0)
        await asyncio.gather(*flows)
        text = f"{len(broken)} of {len(flows)} flows sent their packets to other targets than their own"
        record.line(text)
        print(text)
        return BROKEN if broken else HELD
    finally:
        await deployment.close()


play(case)
