"""Real edge nodes whose store comes back from an older copy: drains, configurations and evacuations stay in force and come into force.

What the store has lost is written again by the operator and the targets, at once or after a while.
"""

import asyncio
import signal
import time

import edgesoak
from edgeworld import number
from idleflows import Fleet

BOUNDS = edgesoak.BOUNDS
AWAY_S = 0.6
KEPT, LOST, LATER, ADDED = ((number("127.198.0.1"), port) for port in (443, 1001, 1002, 1003))


class Drill:
    """What the operator and the targets have written, so that they can write it again."""

    def __init__(self, fleet, copy_age, rewrite_after):
        self.fleet, self.world, self.store = fleet, fleet.world, fleet.world.store
        self.copy_age, self.rewrite_after = copy_age, rewrite_after
        self.version = 1
        self.evacuated = set()
        self.routes = {}

    def write_config(self, routes):
        self.version += 2
        self.routes = dict(routes)
        self.world.write_config(self.version, self.routes)

    def evacuate(self, zone):
        self.evacuated.add(zone)
        self.store.put("evacuations", zone, {})
        self.world.judge.evacuated_at.setdefault(zone, time.monotonic())

    def target(self, zone):
        """A ready target of the data centre."""
        return next(it for it in self.world.targets.values() if it.zone == zone and it.state == "ready")

    def warm_up(self, target):
        """Many changes of one entry, of which only the last is written again."""
        for left in range(3000, -1, -250):
            target.cold_remaining_ms = left
            target.register()

    async def come_back(self):
        """The store is away for a moment, comes back from its copy, and gets again what was written last."""
        self.store.mode = "reset"
        for node in self.fleet.nodes:
            node.proxy.reset_all()
        await asyncio.sleep(AWAY_S)
        self.store.restore(self.copy_age + AWAY_S)
        self.store.mode = "up"
        asyncio.get_running_loop().call_later(self.rewrite_after, self.rewrite)

    def rewrite(self):
        for target in self.world.targets.values():
            target.register()
        spec = {**self.world.config_spec}
        if self.store.objects[("config", "main")]["spec"] != spec:
            self.store.put("config", "main", spec)
        for zone in self.evacuated:
            if ("evacuations", zone) not in self.store.objects:
                self.store.put("evacuations", zone, {})


async def nothing(fleet):
    """No trouble beside the drill."""


async def freeze_leader(fleet):
    """The node that follows the store stands still across the return."""
    node = max(fleet.nodes, key=lambda it: len(it.proxy.open))
    node.signal(signal.SIGSTOP)
    asyncio.get_running_loop().call_later(2.5, node.signal, signal.SIGCONT)


async def restart_one(fleet):
    """A node starts while the store holds the older copy."""
    asyncio.create_task(fleet.nodes[-1].cycle(signal.SIGKILL, AWAY_S + 0.3))


async def cut_half(fleet):
    """Half of the nodes don't reach the store for some seconds."""
    for node in fleet.nodes[::2]:
        node.proxy.mode = "silent"
        asyncio.get_running_loop().call_later(4.0, setattr, node.proxy, "mode", "open")


async def ask(fleet, seconds, routes):
    """Requests on the routes in turn, at each node in its turn."""
    tasks, end, n = [], time.monotonic() + seconds, 0
    while time.monotonic() < end:
        n += 1
        tasks.append(asyncio.create_task(fleet.world.request(fleet.ips[n % 12], 5000 + n % 50_000, routes[n % len(routes)])))
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)


async def play(lane, binary, settings, copy_age, rewrite_after, returns, trouble):
    """Returns the broken rules and the number of requests on present routes that got no answer at the end."""
    fleet = Fleet(lane, binary, settings)
    world, judge = fleet.world, fleet.world.judge
    try:
        await fleet.start(15_000, evacuations=True)
        drill = Drill(fleet, copy_age, rewrite_after)
        drill.write_config({KEPT: "shop", LOST: "shop", LATER: "shop"})
        traffic = asyncio.create_task(ask(fleet, max(copy_age, 2.0) + 17.0 + returns, (KEPT, LOST, LATER, ADDED)))
        await asyncio.sleep(max(copy_age - 1.5, 0.5))
        # Acknowledged shortly before the store loses it.
        drill.write_config({KEPT: "shop", LATER: "shop"})
        drill.target("a").drain()
        drill.warm_up(drill.target("b"))
        drill.evacuate("b")
        await asyncio.sleep(1.2)
        await trouble(fleet)
        for _ in range(returns):
            await drill.come_back()
            await asyncio.sleep(0.5)
        await asyncio.sleep(BOUNDS["touch_s"] + 2.0)
        # Written in the new era, whose revisions are lower than those that the nodes knew.
        drill.write_config({KEPT: "shop", ADDED: "shop"})
        drill.target("a").drain()
        drill.evacuate("c")
        await traffic
        judge.outcomes.clear()
        await ask(fleet, 2.0, (KEPT, ADDED))
        unanswered = sum(seconds is None for _, seconds in judge.outcomes)
        return judge.broken, unanswered
    finally:
        await fleet.stop()


# name, age of the copy in seconds, seconds until the lost objects are written again, number of returns, trouble beside them
CASES = (
    ("a copy of 5 s, written again at once", 5.0, 0.0, 1, nothing),
    ("a copy of 3 s, written again after 1.5 s", 3.0, 1.5, 1, nothing),
    ("two returns within 2 s", 3.0, 0.3, 2, nothing),
    ("the node that follows the store freezes", 4.0, 0.5, 1, freeze_leader),
    ("a node starts meanwhile", 4.0, 1.5, 1, restart_one),
    ("half of the nodes are cut off from the store", 4.0, 1.0, 1, cut_half),
)


async def run(binary, settings):
    """Plays all cases side by side and returns the number of those that failed."""
    results = await asyncio.gather(*(play(8 + lane, binary, settings, *case[1:]) for lane, case in enumerate(CASES)))
    failures = 0
    for case, (broken, unanswered) in zip(CASES, results):
        rules = sorted({entry["rule"] for entry in broken})
        print(f"{case[0]}: {len(broken)} times a rule broken {rules}, {unanswered} requests without an answer at the end")
        for entry in broken[:3]:
            print(f"  {entry}")
        failures += bool(broken or unanswered)
    return failures
