"""Two nodes of a zone freeze and wake while configurations come in quick succession; no node may keep a route that was dropped."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))

from reviewfleet import BOUNDS, BROKEN, HELD, Deployment, number, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STORM_S, GAP_S = 4.0, 0.33  # config_storm
STORM_AFTER_S = 1.5  # from the first freeze on
FREEZE_S = 4.0  # node_freeze
SECOND_FREEZE_AFTER_S = 3.3  # while the first node is still frozen
ROUNDS = 6
LIVES = 2  # versions for which a route of the storm is there


async def storm(deployment, first_port, dropped):
    """Each version adds a route and drops the one that was added two versions before. At the end all are dropped."""
    await asyncio.sleep(STORM_AFTER_S)
    ports = []
    for i in range(int(STORM_S / GAP_S)):
        ports.append(first_port + i)
        deployment.routes[(number("127.90.0.7"), ports[-1])] = "lookup"
        old = (number("127.90.0.7"), ports[-1 - LIVES]) if i >= LIVES else None
        if old:
            del deployment.routes[old]
        acknowledged = deployment.write_config()
        if old:
            dropped[old] = acknowledged
        await asyncio.sleep(GAP_S)
    for port in ports[-LIVES:]:
        del deployment.routes[(number("127.90.0.7"), port)]
    acknowledged = deployment.write_config()
    for port in ports[-LIVES:]:
        dropped[(number("127.90.0.7"), port)] = acknowledged


async def freeze(deployment, node, after):
    await asyncio.sleep(after)
    deployment.record.line(f"freeze   {node.name}")
    node.send_signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    node.send_signal(signal.SIGCONT)
    deployment.record.line(f"wake     {node.name}")


async def case():
    deployment = Deployment(HERE, nodes_per_zone=3)
    record = deployment.record
    try:
        await deployment.start(["lookup"], 6)
        await asyncio.sleep(BOUNDS["touch_s"])
        dropped = {}
        ran = []
        for n in range(ROUNDS):
            zone = deployment.follower_zone()
            first, second, _ = (node for node in deployment.nodes if node.zone == zone)
            tasks = [storm(deployment, 1000 + 100 * n, dropped)]
            if TROUBLE:
                tasks += [freeze(deployment, first, 0), freeze(deployment, second, SECOND_FREEZE_AFTER_S)]
            await asyncio.gather(*tasks)
            await asyncio.sleep(BOUNDS["touch_s"] + 0.5)
            probes = [(route, node) for route in dropped for node in deployment.nodes]
            results = []

            async def probe(route, node):
                results.append((route, node, await deployment.request(route, node=node, budget=1.5)))

            await asyncio.gather(*(probe(*it) for it in probes))
            ran = [it for it in results if it[2][1] is not None]
            text = f"round {n + 1}: {len(ran)} of {len(results)} requests on dropped routes ran" + "".join(
                f"; at {node.name}, {sent - dropped[route]:.1f} s after its route {route[1]} was dropped" for route, node, (sent, _, _) in ran)
            record.line(text)
            print(text, flush=True)
            late = [it for it in ran if it[2][0] > dropped[it[0]] + BOUNDS["config_s"]]
            if late:
                return BROKEN
        return HELD
    finally:
        for node in deployment.nodes:
            node.send_signal(signal.SIGCONT)
        await deployment.close()


play(case)
