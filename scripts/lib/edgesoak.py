"""A randomized soak of real edge nodes: faults from outside, promises checked from what callers and targets see.

The seed fixes the schedule of faults, traffic and changes. Only processes that this run has started are signalled, by id.
"""

import asyncio
import json
import os
import random
import resource
import signal
import tempfile
import time

from edgeworld import ACK, SYN, Proxy, RawJson, Target, World, number, packet

PACKETS, READINESS, PEERS, METRICS = 8172, 8167, 7720, 9464
BOUNDS = {"drain_s": 3.0, "config_s": 3.0, "touch_s": 4.0, "evacuate_s": 3.0, "recovery_s": 12.0, "give_up_s": 3.0}
LOG_BYTES_PER_SECOND = 400_000  # a node's log budget: about ten event names at 200 lines of 200 bytes
MEMORY_MB = 56  # the smallest instance
MOST_FILES = 200
# Bytes of each request of a flow, and the pause between them: one short request, a kept flow, an upload.
FLOWS = (((7,), 0.0), ((180,) * 6, 0.6), ((40_000,), 0.0))


class Node:
    def __init__(self, name, ip, zone, world, folder, binary, settings):
        self.name, self.ip, self.zone, self.world, self.folder = name, ip, zone, world, folder
        self.binary, self.settings = binary, settings
        self.proxy = Proxy((world.store_ip, 8169))
        self.process = None
        self.ready = False
        self.paused = False
        self.expected_end = False
        self.log = os.path.join(folder, f"{name}.log")
        self.log_bytes = 0
        self.evacuate = f"bounds.evacuate_ms={BOUNDS['evacuate_s'] * 1000:.0f}\n"
        self.lock = asyncio.Lock()  # faults overlap, but a node has one process at a time

    def write_settings(self, seeds):
        text = (f"node={self.name}\nzone={self.zone}\nlisten.packets={self.ip}:{PACKETS}\nlisten.readiness={self.ip}:{READINESS}\n"
                f"port_range={PEERS},{PEERS + 15}\nseeds={','.join(f'{ip}:8166' for ip in seeds)}\nplatform.address={self.ip}:8169\n"
                f"{self.evacuate}bounds.drain_ms=3000\nbounds.config_apply_ms=3000\nbounds.grace_s=6\n")
        with open(os.path.join(self.folder, f"{self.name}.conf"), "w", encoding="utf-8") as file:
            file.write(text)

    async def start(self):
        self.expected_end = False
        with open(self.log, "ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                self.binary, "--settings", self.settings, "--platform-settings", os.path.join(self.folder, f"{self.name}.conf"),
                stdout=out, stderr=out)
        asyncio.get_running_loop().create_task(self.watch(self.process))

    async def watch(self, process):
        status = await process.wait()
        if process is self.process:
            self.ready = False
            self.process = None
        if not self.expected_end:
            self.world.judge.fail("EXIT", f"{self.name} ended by itself with status {status}")

    def signal(self, number_):
        if self.process:
            self.process.send_signal(number_)

    async def end(self, number_, limit=6.0):
        if not self.process:
            return
        process, self.expected_end = self.process, True
        if number_ == signal.SIGKILL:
            self.world.judge.kills.append((time.monotonic(), self.name))
        process.send_signal(number_)
        try:
            await asyncio.wait_for(process.wait(), limit)
        except asyncio.TimeoutError:
            if number_ == signal.SIGTERM:
                self.world.judge.fail("EXIT", f"{self.name} didn't end within {limit} s after SIGTERM")
            process.kill()
            await process.wait()

    async def cycle(self, number_, pause=0.0):
        """Ends the process and starts the next one."""
        async with self.lock:
            await self.end(number_)
            await asyncio.sleep(pause)
            await self.start()

    async def probe(self):
        """Asks for readiness twice a second, as the fabric does; two misses end it."""
        misses = 0
        while True:
            await asyncio.sleep(0.5)
            try:
                async with asyncio.timeout(0.5):
                    reader, writer = await asyncio.open_connection(self.ip, READINESS)
                    writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                    line = await reader.readline()
                    writer.close()
                misses = 0 if b" 200 " in line else misses + 1
            except (OSError, TimeoutError):
                misses += 1
            if misses == 0:
                self.ready = True
            elif misses >= 2:
                self.ready = False

    def check_budgets(self, seconds):
        if os.path.exists(self.log):
            size = os.path.getsize(self.log)
            if size - self.log_bytes > LOG_BYTES_PER_SECOND * seconds:
                self.world.judge.fail("LOG", f"{self.name} wrote {size - self.log_bytes} bytes in {seconds} s")
            self.log_bytes = size
        if self.process and not self.paused:
            try:
                with open(f"/proc/{self.process.pid}/statm", encoding="utf-8") as file:
                    megabytes = int(file.read().split()[1]) * resource.getpagesize() / 1e6
                files = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            except (OSError, IndexError):
                return
            if megabytes > MEMORY_MB or files > MOST_FILES:
                self.world.judge.fail("BUDGET", f"{self.name} uses {megabytes:.0f} MB and {files} descriptors")


class Soak:
    def __init__(self, seed, seconds, size, binary, settings, plant, lane, calm=False):
        self.random = random.Random(seed)
        random.seed(seed)
        self.seed, self.seconds, self.plant, self.calm = seed, seconds, plant, calm
        # Runs side by side use addresses of their own.
        self.net = 20 + 3 * lane
        self.world = World(BOUNDS, PACKETS)
        self.world.store_ip = f"127.{self.net}.0.2"
        self.folder = tempfile.mkdtemp(prefix="edgesoak-")
        self.events = []
        per_zone, self.rate, self.per_service = {"small": (2, 60, 4), "large": (8, 200, 12)}[size]
        self.nodes = [Node(f"front-{zone}-{i}", f"127.{self.net}.{z + 1}.{i + 1}", zone, self.world, self.folder, binary, settings)
                      for z, zone in enumerate(("a", "b", "c")) for i in range(per_zone)]
        self.evacuation_random = random.Random(f"evacuations {seed}")  # one of its own, so that a seed keeps its other faults
        self.evacuations = calm or self.evacuation_random.random() < 0.8
        if not self.evacuations:
            for node in self.nodes:
                node.evacuate = ""
        self.flow_random = random.Random(f"flows {seed}")  # of what disturbs idle flows
        self.idle_timeout = self.flow_random.choice((4.0, 9.0, 15.0))
        self.fleet_random = random.Random(f"fleet {seed}")  # of what concerns the whole fleet at once
        self.next_target = 1
        self.routes = {(number("198.18.0.1"), 443): "shop", (number("198.18.0.2"), 443): "list"}
        self.version = 1
        self.next_port = 2000
        self.ips = [f"127.{self.net + 2}.0.{i + 1}" for i in range(12)]
        self.start_at = 0.0
        self.stopping = False

    def note(self, text):
        self.events.append((round(time.monotonic() - self.start_at, 2), text))

    async def add_target(self, service):
        n = self.next_target
        self.next_target += 1
        target = Target(self.world, f"i-{n * 0x9E3779B1 & 0xFFFFFFFF:08x}", service, self.random.choice("abc"), f"127.{self.net + 1}.{n // 250}.{n % 250 + 1}")
        self.world.targets[target.name] = target
        self.world.judge.data_centres.add(target.zone)
        await target.start()

    def live_targets(self, service=None):
        return [t for t in self.world.targets.values() if t.alive and t.state == "ready" and service in (None, t.service)]

    def change_config(self):
        self.version += self.random.randint(1, 3)
        extra = (number("198.18.0.9"), self.random.randint(1000, 1020))
        if extra in self.routes:
            del self.routes[extra]
        else:
            self.routes[extra] = self.random.choice(("shop", "list"))
        self.write_config()

    def write_config(self):
        self.world.write_config(self.version, self.routes, round(self.idle_timeout * 1000))

    # Faults: each takes its time and ends by itself.

    async def pause(self):
        node = self.random.choice(self.nodes)
        self.note(f"pause {node.name}")
        self.world.judge.disturb(2)
        node.paused = True
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.5, 2))
        node.signal(signal.SIGCONT)
        node.paused = False

    async def kill(self):
        chosen = self.random.sample(self.nodes, self.random.randint(1, max(1, len(self.nodes) // 2)))
        self.note("kill " + " ".join(node.name for node in chosen))
        self.world.judge.disturb(1)
        pause = self.random.uniform(0.1, 0.6)
        await asyncio.gather(*(node.cycle(signal.SIGKILL, pause) for node in chosen))

    async def restart(self):
        chosen = self.random.sample(self.nodes, 2)
        self.note("restart " + " ".join(node.name for node in chosen))
        for node in chosen:
            await node.cycle(signal.SIGTERM)

    async def short_freeze(self):
        """One node or several don't run for a moment, which is too short for the nodes to take it for a pause."""
        draw = self.flow_random
        chosen = draw.sample(self.nodes, draw.choice((1, 1, 2)))
        length = draw.uniform(0.03, 0.39)
        self.note(f"freeze {' '.join(node.name for node in chosen)} for {length:.2f} s")
        self.world.judge.disturb(length)
        for node in chosen:
            node.signal(signal.SIGSTOP)
        await asyncio.sleep(length)
        for node in chosen:
            node.signal(signal.SIGCONT)

    async def late_answers(self):
        """Some targets answer opening packets late for a while, so that flows are offered to two of them."""
        chosen = [target for target in self.live_targets() if self.flow_random.random() < 0.4]
        self.note(f"{len(chosen)} targets answer opening packets late")
        for target in chosen:
            target.opening_delay = self.flow_random.uniform(0.1, 0.8)
        await asyncio.sleep(self.flow_random.uniform(0.5, 2))
        for target in chosen:
            target.opening_delay = 0.0

    async def rolling_restart(self):
        """All nodes are restarted in turn, within the pause of some callers."""
        gap = self.flow_random.uniform(0.3, 1.2)
        self.note(f"rolling restart, {gap:.2f} s apart")
        cycles = []
        for node in self.flow_random.sample(self.nodes, len(self.nodes)):
            cycles.append(asyncio.create_task(node.cycle(signal.SIGTERM)))
            await asyncio.sleep(gap)
        await asyncio.gather(*cycles)

    async def flow_schedule(self):
        """What disturbs idle flows, beside the other faults."""
        kinds = (self.short_freeze, self.short_freeze, self.late_answers, self.late_answers, self.rolling_restart)
        end = self.start_at + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.flow_random.uniform(0.2, 3))
            await self.flow_random.choice(kinds)()

    async def idle_flows(self):
        """Callers that use their flows again shortly before the idle timeout."""
        tasks = set()
        port = 60_000
        while not self.stopping:
            port += 1
            pause = self.idle_timeout * self.flow_random.uniform(0.5, 0.95)
            route = self.flow_random.choice(sorted(self.routes)[:2])
            task = asyncio.create_task(self.world.request(self.flow_random.choice(self.ips), port, route, (7, 7), pause))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)

    async def store_drill(self):
        """The store comes back from an older copy. The operator and the targets write again what it has lost, after a while."""
        draw, store = self.fleet_random, self.world.store
        age, away, rewrite = draw.choice((0.1, 1.0, 3.0, 20.0)), draw.uniform(0.1, 1.0), draw.uniform(0.0, 1.5)
        self.note(f"store away for {away:.2f} s, back from a copy of {age} s, written again after {rewrite:.2f} s")
        self.world.judge.disturb(away + rewrite)
        store.mode = "reset"
        for node in self.nodes:
            node.proxy.reset_all()
        await asyncio.sleep(away)
        store.restore(age + away)
        store.mode = "up"
        await asyncio.sleep(rewrite)
        for target in list(self.world.targets.values()):
            if target.alive:
                target.register()
        if ("config", "main") not in store.objects or store.objects[("config", "main")]["spec"] != self.world.config_spec:
            store.put("config", "main", self.world.config_spec)
        for zone in ("a", "b", "c", "elsewhere"):
            evacuated, stored = zone in self.world.judge.evacuated_at, ("evacuations", zone) in store.objects
            if evacuated and not stored:
                store.put("evacuations", zone, {})
            elif stored and not evacuated:
                store.delete("evacuations", zone)
        await asyncio.sleep(2.0)
        self.expire_entries()

    def expire_entries(self):
        """Removes the entries of targets that have ended, which the store's copy has brought back."""
        for kind, name in list(self.world.store.objects):
            target = self.world.targets.get(name)
            if kind == "servers" and target and not target.alive:
                self.world.store.delete("servers", name)

    async def overlapping_freezes(self):
        """Two nodes of a data centre freeze one after the other while routes come and go within two versions."""
        draw = self.fleet_random
        zone = draw.choice("abc")
        first, second = draw.sample([node for node in self.nodes if node.zone == zone], 2)
        self.note(f"{first.name} and {second.name} freeze one after the other during quick changes")
        self.world.judge.disturb(8)
        frozen = [asyncio.create_task(self.freeze_for(first, 0.0, 4.0)), asyncio.create_task(self.freeze_for(second, 3.3, 4.0))]
        added = []
        for n in range(12):
            added.append((number("198.18.0.8"), draw.randint(1, 60_000)))
            self.routes[added[-1]] = "shop"
            if n >= 2:
                del self.routes[added[n - 2]]
            self.version += 1
            self.write_config()
            await asyncio.sleep(0.33)
        for route in added[-2:]:
            del self.routes[route]
        self.version += 1
        self.write_config()
        await asyncio.gather(*frozen)
        await asyncio.sleep(BOUNDS["touch_s"] + 0.5)
        asked = [self.world.request(ip, 61_000 + i, route) for i, route in enumerate(added) for ip in self.ips[:6]]
        await asyncio.gather(*asked)

    async def freeze_for(self, node, after, seconds):
        await asyncio.sleep(after)
        async with node.lock:
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            node.signal(signal.SIGCONT)

    async def herd_kill(self):
        """All nodes are killed, and start again one after the other while the store is slow."""
        draw, store = self.fleet_random, self.world.store
        dark, gap, delay = draw.uniform(0.3, 2.0), draw.uniform(0.0, 0.15), draw.choice((0.1, 0.24, 0.4))
        self.note(f"all nodes are killed, dark for {dark:.2f} s, start {gap:.2f} s apart, the store answers after {delay} s")
        self.world.judge.disturb(dark + 4)
        store.delay = delay
        order = draw.sample(self.nodes, len(self.nodes))
        await asyncio.gather(*(node.cycle(signal.SIGKILL, dark + i * gap) for i, node in enumerate(order)))
        await asyncio.sleep(draw.uniform(1.0, 3.0))
        store.delay = 0.004

    async def fleet_schedule(self):
        """What concerns the whole fleet at once. Short runs have no time for the longer ones."""
        kinds = [self.store_drill]
        if self.seconds >= 12:
            kinds += [self.overlapping_freezes, self.herd_kill]
        end = self.start_at + self.seconds
        while self.fleet_random.random() < 0.7 and time.monotonic() < end - 3:
            await asyncio.sleep(self.fleet_random.uniform(0.5, 4))
            await self.fleet_random.choice(kinds)()

    async def reload(self):
        node = self.random.choice(self.nodes)
        self.note(f"reload {node.name}")
        node.write_settings([n.ip for n in self.random.sample(self.nodes, 3)])
        if self.random.random() < 0.5:
            node.signal(signal.SIGHUP)

    async def proxy_fault(self):
        chosen = self.random.sample(self.nodes, self.random.randint(1, len(self.nodes)))
        mode = self.random.choice(("silent", "reset", "to", "from"))
        self.note(f"store {mode} for {len(chosen)} nodes")
        length = self.random.uniform(1, 4)
        self.world.judge.disturb(length)
        for node in chosen:
            node.proxy.mode = mode
            if mode == "reset":
                node.proxy.reset_all()
        await asyncio.sleep(length)
        for node in chosen:
            node.proxy.mode = "open"

    async def store_fault(self):
        kind = self.random.choice(("busy", "silent", "reset", "slow", "lose", "compact"))
        self.note(f"store {kind}")
        length = self.random.uniform(1, 3)
        self.world.judge.disturb(length)
        store = self.world.store
        if kind == "compact":
            store.compact()
        elif kind == "slow":
            store.delay = 0.3
        elif kind == "lose":
            store.lose = 0.5
        else:
            store.mode = kind
        await asyncio.sleep(length)
        store.mode, store.delay, store.lose = "up", 0.004, 0.0

    async def link_fault(self):
        self.note("packets are lost and doubled")
        self.world.judge.disturb(2)
        self.world.loss, self.world.double = 0.03, 0.03
        await asyncio.sleep(2)
        self.world.loss = self.world.double = 0.0

    async def target_crash(self):
        for target in self.random.sample(self.live_targets(), 1):
            self.note(f"target {target.name} crashes")
            target.stop()
            await asyncio.sleep(3)
            self.world.store.delete("servers", target.name)
            await self.add_target(target.service)

    async def target_release(self):
        for target in self.random.sample(self.live_targets(), 2):
            self.note(f"target {target.name} is replaced")
            await self.add_target(target.service)
            target.drain()
            await asyncio.sleep(BOUNDS["drain_s"] + 1.5)
            target.stop()
            self.world.store.delete("servers", target.name)

    async def other_writer(self):
        self.note("an entry by another writer")
        self.world.store.put("servers", "i-0badc0de", self.random.choice(({"service": 7}, {"state": "odd"}, "text")))
        odd = {"service": "shop", "address": f"127.{self.net + 1}.0.1:{self.flow_random.choice((0, 65_536, 10 ** 30))}", "zone": "a", "version": "v1",
               "slots": 10 ** self.flow_random.choice((0, 30)), "state": "ready", "cold_remaining_ms": 0, "seq": 0, "born": 1}
        self.world.store.put("servers", "i-0badc0d0", self.flow_random.choice((odd, RawJson("[" * 400_000 + "]" * 400_000))))

    async def config(self):
        self.note("configurations change")
        for _ in range(self.random.randint(1, 4)):
            self.change_config()
            await asyncio.sleep(self.random.uniform(0.05, 0.5))

    def evacuate(self, zone, evacuated):
        if evacuated:
            self.world.store.put("evacuations", zone, {})
            self.world.judge.evacuated_at.setdefault(zone, time.monotonic())
        else:
            self.world.store.delete("evacuations", zone)
            self.world.judge.evacuated_at.pop(zone, None)

    async def evacuate_some(self):
        """Evacuates one data centre, several, all or an unknown one, at times with a withdrawal that is taken back at once."""
        draw = self.evacuation_random
        zones = draw.choice((["a"], ["b"], ["c"], ["a", "c"], ["a", "b", "c"], ["b", "elsewhere"]))
        self.note("evacuated: " + " ".join(zones))
        for zone in zones:
            self.evacuate(zone, True)
        await asyncio.sleep(draw.uniform(0.2, 1.5))
        if draw.random() < 0.4:
            self.note("evacuation withdrawn and requested again: " + zones[0])
            self.evacuate(zones[0], False)
            await asyncio.sleep(draw.uniform(0.0, 0.9))
            self.evacuate(zones[0], True)
        await asyncio.sleep(BOUNDS["evacuate_s"] + draw.uniform(0.5, 3))
        for zone in zones:
            self.evacuate(zone, False)
        self.note("evacuations ended")

    async def evacuation_schedule(self):
        if not self.evacuations:
            return
        end = self.start_at + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.evacuation_random.uniform(0.1, 3))
            await self.evacuate_some()

    async def faults(self):
        kinds = (self.pause, self.kill, self.restart, self.reload, self.proxy_fault, self.store_fault, self.link_fault, self.target_crash,
                 self.target_release, self.other_writer, self.config, self.config)
        if self.calm:
            kinds = (self.target_release, self.other_writer, self.config)
        tasks = [asyncio.create_task(self.evacuation_schedule())]
        if not self.calm:
            tasks.append(asyncio.create_task(self.flow_schedule()))
        if not self.calm and not self.plant:
            tasks.append(asyncio.create_task(self.fleet_schedule()))
        end = self.start_at + self.seconds
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(self.random.choice(kinds)()))
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
        await asyncio.gather(*tasks)

    async def traffic(self):
        tasks = set()
        while not self.stopping:
            self.next_port += 1
            route = self.random.choice(sorted(self.routes)) if self.random.random() < 0.1 else self.random.choice(sorted(self.routes)[:2])
            if self.random.random() < 0.05 and self.world.judge.dropped_at:
                route = self.random.choice(sorted(self.world.judge.dropped_at))
            sizes, pause = self.random.choices(FLOWS, (8, 1, 1))[0]
            task = asyncio.create_task(self.world.request(self.random.choice(self.ips), self.next_port % 60000, route, sizes, pause))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(self.random.expovariate(self.rate))
        await asyncio.gather(*tasks)

    async def budgets(self):
        while True:
            await asyncio.sleep(2)
            for node in self.nodes:
                node.check_budgets(2)

    async def recover(self):
        """All processes are killed; a quarter of the requests must be served again soon."""
        self.note("all nodes are killed")
        self.world.judge.disturb(3)
        self.change_config()
        await asyncio.gather(*(node.cycle(signal.SIGKILL, 0.5) for node in self.nodes))
        back = time.monotonic()
        await asyncio.sleep(7)
        after = [seconds for start, seconds in self.world.judge.outcomes if start > back + 2]
        served = sum(seconds is not None for seconds in after)
        if not after or served < len(after) / 4:
            self.world.judge.fail("RECOVER", f"{served} of {len(after)} requests served two seconds after the nodes were back")

    async def defect(self):
        """Does what a faulty node would do, to show that the check sees it."""
        await asyncio.sleep(self.seconds / 2)
        world, flow = self.world, (number(self.ips[0]), 1999, *sorted(self.routes)[0])
        victim = self.random.choice(self.live_targets("shop"))
        send = lambda target, data: target.receive(target.id.to_bytes(8, "big") + data)
        opening = packet(SYN, flow[0], flow[1], flow[2], flow[3], 0, 1, 0)
        world.judge.disturbed_until = 0
        if self.plant == "ROUTE":
            send(self.random.choice(self.live_targets("list")), opening)
        elif self.plant == "DRAIN":
            world.judge.draining_at[victim.name] = time.monotonic() - 9
            send(victim, opening)
        elif self.plant == "EVACUATE":
            before = dict(world.judge.evacuated_at)
            world.judge.evacuated_at[victim.zone] = time.monotonic() - 9
            send(victim, opening)
            world.judge.evacuated_at = before
        elif self.plant == "REFUSE":
            before = dict(world.judge.evacuated_at)
            world.judge.added_at[flow[2:]] = 0
            world.judge.evacuated_at = {zone: time.monotonic() - 9 for zone in world.judge.data_centres}
            world.judge.unanswered(flow[2:], time.monotonic())
            world.judge.evacuated_at = before
        elif self.plant == "CONFIG":
            world.judge.dropped_at[flow[2:]] = time.monotonic() - 9
            send(victim, opening)
        elif self.plant == "UNASKED":
            send(victim, opening[:-1] + b"x")
        elif self.plant == "MIXED":
            world.from_outside(packet(ACK, flow[2], flow[3], flow[0], flow[1], 0, 1, 1, b"forged"))
        elif self.plant == "FLOW":
            while not world.homes:
                await asyncio.sleep(0.01)
            key, (name, _) = next(iter(world.homes.items()))
            world.targets[name].alive = True
            world.reset_seen(type("Flow", (), {"key": key}), "node")
        elif self.plant == "EXIT":
            async with self.nodes[0].lock:
                self.nodes[0].signal(signal.SIGABRT)
                await asyncio.sleep(0.5)
                await self.nodes[0].start()
        elif self.plant == "LOG":
            with open(self.nodes[0].log, "ab") as file:
                file.write(b"x" * 10_000_000)
        elif self.plant == "RECOVER":
            world.answers = False

    async def run(self):
        self.start_at = time.monotonic()
        servers = [await asyncio.start_server(self.world.store.serve, self.world.store_ip, 8169)]
        self.write_config()
        for node in self.nodes:
            servers.append(await asyncio.start_server(node.proxy.serve, node.ip, 8169))
            node.write_settings([n.ip for n in self.nodes[::max(len(self.nodes) // 3, 1)][:3]])
            self.world.nodes[node.name] = node
        for ip in self.ips:
            await self.world.add_caller_ip(ip)
        for service in ("shop", "list"):
            for _ in range(self.per_service):
                await self.add_target(service)
        self.world.judge.disturb(0)
        await asyncio.gather(*(node.start() for node in self.nodes))
        helpers = [asyncio.create_task(node.probe()) for node in self.nodes] + [asyncio.create_task(self.budgets())]
        await asyncio.sleep(1.5)
        if self.plant:
            helpers.append(asyncio.create_task(self.defect()))
        traffic = asyncio.gather(self.traffic(), self.idle_flows())
        try:
            await self.faults()
            await self.recover()
            if not self.evacuations and self.world.store.calls_by_kind["evacuations"]:
                self.world.judge.fail("CALLS", "nodes without bounds.evacuate_ms asked the store for evacuations")
            self.stopping = True
            await traffic
            await asyncio.gather(*(node.end(signal.SIGTERM) for node in self.nodes))
        finally:
            for helper in helpers:
                helper.cancel()
            await asyncio.gather(*(node.end(signal.SIGKILL) for node in self.nodes))
            self.close(servers)
        return self.report()

    def close(self, servers):
        """Frees the addresses for the next seed."""
        for server in servers:
            server.close()
        for transport in self.world.sockets.values():
            transport.close()
        for target in self.world.targets.values():
            target.transport.close()

    def report(self):
        judge = self.world.judge
        times = sorted(seconds for _, seconds in judge.outcomes if seconds is not None)
        at = lambda q: round(times[int(q * (len(times) - 1))], 4) if times else None
        return {"seed": self.seed, "seconds": self.seconds, "nodes": len(self.nodes), **{k: judge.counts[k] for k in ("flows", "served", "failed")},
                "p50_s": at(0.5), "p99_s": at(0.99), "store_calls": self.world.store.calls, "evacuation_calls": self.world.store.calls_by_kind["evacuations"],
                "broken": judge.broken, "logs": self.folder, "events": self.events}


def run_soak(seed, seconds, size, binary, settings, plant, lane, calm=False):
    return asyncio.run(Soak(seed, seconds, size, binary, settings, plant, lane, calm).run())
