"""Real edge nodes whose callers keep flows idle: each flow's next request has to reach the flow's own target.

The callers have the wrong token while they are idle, since a second target has answered the opening packet after the one that they use.
Then the nodes have to know the right target.
"""

import asyncio
import os
import shutil
import signal
import tempfile
import time

import edgesoak
from edgeworld import Target, World, number

FLOWS = 60
ROUTE = (number("127.198.0.1"), 443)
BOUNDS = edgesoak.BOUNDS


class Fleet:
    """Six nodes in three data centres, eight targets and their callers."""

    def __init__(self, lane, binary, settings):
        self.net = 140 + 3 * lane
        self.world = World(BOUNDS, edgesoak.PACKETS)
        self.world.store_ip = f"127.{self.net}.0.2"
        self.folder = tempfile.mkdtemp(prefix="idleflows-")
        self.ips = [f"127.{self.net + 2}.0.{i + 1}" for i in range(12)]
        self.nodes = [edgesoak.Node(f"front-{zone}-{i}", f"127.{self.net}.{z + 1}.{i + 1}", zone, self.world, self.folder, binary, settings)
                      for z, zone in enumerate("abc") for i in range(2)]
        self.servers, self.probes = [], []

    async def start(self, idle_timeout_ms, evacuations=False):
        world = self.world
        self.servers.append(await asyncio.start_server(world.store.serve, world.store_ip, 8169))
        world.write_config(1, {ROUTE: "shop"}, idle_timeout_ms)
        for ip in self.ips:
            await world.add_caller_ip(ip)
        for n in range(8):
            target = Target(world, f"i-{(n + 1) * 0x9E3779B1 & 0xFFFFFFFF:08x}", "shop", "abc"[n % 3], f"127.{self.net + 1}.0.{n + 1}")
            world.targets[target.name] = target
            world.judge.data_centres.add(target.zone)
            await target.start()
        for node in self.nodes:
            node.evacuate = node.evacuate if evacuations else ""
            self.servers.append(await asyncio.start_server(node.proxy.serve, node.ip, 8169))
            node.write_settings([it.ip for it in self.nodes[:3]])
            world.nodes[node.name] = node
        await asyncio.gather(*(node.start() for node in self.nodes))
        self.probes = [asyncio.create_task(node.probe()) for node in self.nodes]
        async with asyncio.timeout(15):
            while not all(node.ready for node in self.nodes):
                await asyncio.sleep(0.1)
        await asyncio.sleep(3)  # membership and dispatchers settle

    def placed(self, node):
        """Number of flows that the node has placed so far, from its log."""
        with open(node.log, encoding="utf-8", errors="replace") as file:
            return sum(" event=flow_placed " in line for line in file)

    async def dispatcher(self):
        """The node that places most flows."""
        for i in range(30):
            asyncio.create_task(self.world.request(self.ips[i % 12], 1000 + i, ROUTE))
            await asyncio.sleep(0.02)
        await asyncio.sleep(1)
        return max(self.nodes, key=self.placed)

    async def restart_all(self, gap):
        cycles = []
        for node in self.nodes:
            cycles.append(asyncio.create_task(node.cycle(signal.SIGTERM)))
            await asyncio.sleep(gap)
        await asyncio.gather(*cycles)

    async def stop(self):
        for probe in self.probes:
            probe.cancel()
        for node in self.nodes:
            node.signal(signal.SIGCONT)
        await asyncio.gather(*(node.end(signal.SIGKILL) for node in self.nodes))
        for server in self.servers:
            server.close()
        shutil.rmtree(self.folder, ignore_errors=True)


async def freeze(node, seconds):
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    node.signal(signal.SIGCONT)


async def late_second_answers(fleet):
    """Half of the targets answer opening packets late, so nodes offer these flows to a second target."""
    for i, target in enumerate(fleet.world.targets.values()):
        target.opening_delay = 0.3 if i % 2 else 0.0


async def frozen_dispatcher(fleet):
    """The dispatcher doesn't run for a moment while the flows open."""
    node = await fleet.dispatcher()
    asyncio.create_task(freeze(node, 0.25))


async def play(lane, binary, settings, disturb, pause, idle_timeout_ms, restarts):
    """Opens flows, disturbs them, and sends a second request on each after a pause.

    Returns the broken rules and the number of flows whose second request got no answer.
    """
    fleet = Fleet(lane, binary, settings)
    world = fleet.world
    try:
        await fleet.start(idle_timeout_ms)
        await disturb(fleet)
        world.judge.planned_only = True  # what disturbs the flows is over long before their second requests
        before = dict(world.judge.counts)
        flows = []
        for i in range(FLOWS):
            flows.append(asyncio.create_task(world.request(fleet.ips[i % 12], 3000 + i, ROUTE, (7, 7), pause)))
            await asyncio.sleep(0.002)
        await asyncio.sleep(1.5)
        for target in world.targets.values():
            target.opening_delay = 0.0
        if restarts:
            await fleet.restart_all(1.0)
        await asyncio.gather(*flows)
        return world.judge.broken, world.judge.counts["failed"] - before["failed"]
    finally:
        await fleet.stop()


# name, what disturbs the flows, pause of the callers in seconds, idle timeout of the configuration in ms, rolling restart
CASES = (
    ("a second target answers late, long idle", late_second_answers, 22.0, 30_000, False),
    ("a second target answers late, rolling restart", late_second_answers, 10.0, 15_000, True),
    ("the dispatcher freezes, long idle", frozen_dispatcher, 22.0, 30_000, False),
    ("the dispatcher freezes, rolling restart", frozen_dispatcher, 10.0, 15_000, True),
)


async def run(binary, settings):
    """Plays all cases side by side and returns the number of those that failed."""
    start = time.monotonic()
    results = await asyncio.gather(*(play(lane, binary, settings, *case[1:]) for lane, case in enumerate(CASES)))
    failures = 0
    for case, (broken, unanswered) in zip(CASES, results):
        print(f"{case[0]}: {len(broken)} rules broken, {unanswered} requests without an answer")
        for entry in broken[:3]:
            print(f"  {entry}")
        failures += bool(broken or unanswered)
    print(f"{time.monotonic() - start:.0f} s")
    return failures
