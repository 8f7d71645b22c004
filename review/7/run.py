"""Callers keep flows open; one node freezes for a moment, then all nodes are restarted in turn."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))

from world2 import Fleet, FlowWorld, edgesoak, number, run  # noqa: E402

FLOWS = 60
FREEZE_S = 0.25
GAP_S = 1.0  # between two restarts
IDLE_S = 10.0  # pause of the callers between two requests; less than the 12 s after which targets close idle flows
ROUTE = (number("127.198.0.1"), 443)


def wake(record, node):
    node.signal(signal.SIGCONT)
    record.note(f"wake {node.name}")


async def main(record, trouble):
    world = FlowWorld(record, edgesoak.PACKETS)
    fleet = Fleet(world, {"a": 2, "b": 2, "c": 2}, [("shop", zone) for zone in "abcabcab"])
    ips = [f"127.{fleet.net + 2}.0.{i + 1}" for i in range(12)]
    try:
        await fleet.start({ROUTE: "shop"}, ips)
        await asyncio.sleep(5)  # membership and dispatchers settle
        for i in range(40):
            asyncio.create_task(world.request(ips[i % 12], 1000 + i, ROUTE))
            await asyncio.sleep(0.02)
        await asyncio.sleep(1.5)
        placed = {node.name: len(fleet.events(node, "flow_placed")) for node in fleet.nodes}
        dispatcher = max(fleet.nodes, key=lambda node: placed[node.name])
        record.note(f"placed so far: {placed}; the dispatcher is {dispatcher.name}")
        if trouble:
            record.note(f"freeze {dispatcher.name}")
            dispatcher.signal(signal.SIGSTOP)
        if trouble:
            asyncio.get_running_loop().call_later(FREEZE_S, wake, record, dispatcher)
        flows = []
        for i in range(FLOWS):
            flows.append(asyncio.create_task(world.request(ips[i % 12], 3000 + i, ROUTE, (7, 7, 7), IDLE_S)))
            await asyncio.sleep(0.002)
        await asyncio.sleep(1.5)
        if trouble:
            restarts = []
            for node in fleet.nodes:
                record.note(f"restart {node.name}")
                restarts.append(asyncio.create_task(node.cycle(signal.SIGTERM)))
                await asyncio.sleep(GAP_S)
            await asyncio.gather(*restarts)
            record.note("all nodes have been restarted")
        await asyncio.gather(*flows)
        world.judge_packets()
        counts = world.judge.counts
        record.note(f"flows {counts['flows']}, requests served {counts['served']}, not served {counts['failed']}")
        return world.broken
    finally:
        await fleet.stop()


if __name__ == "__main__":
    run(main, os.path.dirname(os.path.abspath(__file__)))
