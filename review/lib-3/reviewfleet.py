"""A small deployment of real edge nodes for the cases of the third review.

The nodes are started with the command of deploy/system.toml. The store, the targets, the clients and the routers are the
stand-ins of scripts/lib/edgeworld.py, with what the users' pages add to them: a store that comes back from an older copy, and
requests whose way through nodes and targets is recorded one by one.
"""

import asyncio
import copy
import hashlib
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))

from edgeworld import Caller, Proxy, Store, Target, World, number  # noqa: E402

PACKETS, READINESS, PEERS, STORE = 8172, 8167, 7720, 8169
# The bounds of the smallest deployments (SYSTEM.md).
BOUNDS = {"drain_s": 3.0, "config_s": 3.0, "touch_s": 4.0, "evacuate_s": 5.0, "recovery_s": 12.0, "give_up_s": 3.0}
# Other statuses than these, such as that of an error at the start of Python, count as a case that could not run.
HELD, BROKEN, FAILED = 0, 10, 2


class CannotRun(Exception):
    """The case could not be played, so that its result says nothing about the rule."""


class RestorableStore(Store):
    """The store, which can come back from a copy of an earlier moment with the next era."""

    def __init__(self):
        super().__init__()
        self.era = 1
        self.copies = []  # (when, objects, revision, history, first)

    def put(self, kind, name, spec):
        """A write that changes nothing does not increase the revision."""
        old = self.objects.get((kind, name))
        return old if old and old["spec"] == spec else super().put(kind, name, spec)

    def keep_copy(self):
        self.copies.append((time.monotonic(), copy.deepcopy(self.objects), self.revision, list(self.history), self.first))

    def restore(self, age):
        """Comes back from the newest copy that is at least this old, in seconds."""
        when, objects, revision, history, first = [it for it in self.copies if it[0] <= time.monotonic() - age][-1]
        self.objects, self.revision, self.history, self.first = copy.deepcopy(objects), revision, list(history), first
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()
        return time.monotonic() - when

    async def watch(self, kind, since, wait):
        if since > self.revision:
            return 410, {"error": "unknown revision"}
        era = self.era
        status, value = await super().watch(kind, since, wait)
        if era != self.era:
            raise ConnectionError("the store went away while the watch waited")
        return status, value

    async def serve(self, reader, writer):
        """As in the base class, with the header Store-Era; while the store is away, its connections are closed."""
        await super().serve(reader, EraWriter(writer, self))


class EraWriter:
    """Adds the header Store-Era to the answers that the store writes."""

    def __init__(self, writer, store):
        self.writer, self.store = writer, store

    def write(self, data):
        head, rest = data.split(b"\r\n", 1)
        self.writer.write(head + f"\r\nStore-Era: {self.store.era}\r\n".encode() + rest)

    def __getattr__(self, name):
        return getattr(self.writer, name)


class Record:
    """The lines of record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f}  {text}\n")
        self.file.flush()


class Node:
    """One process of the role that the deploy file runs."""

    def __init__(self, name, ip, zone, folder, store_address, seeds, extra):
        self.name, self.ip, self.zone, self.folder = name, ip, zone, folder
        self.ready = False
        self.misses = 0
        self.process = None
        self.stopping = False
        self.settings = os.path.join(folder, f"{name}.conf")
        self.log = os.path.join(folder, f"{name}.log")
        self.extra = extra
        self.write_settings(store_address, seeds, True)

    def write_settings(self, store_address, seeds, bootstrap):
        """The fields of DEPLOY.md's example, for this machine."""
        lines = [f"node={self.name}", "role=edge", "machine_class=front", "serves=front,control", f"ip={self.ip}", f"zone={self.zone}", "region=region",
                 "zones.zone-a=region", "zones.zone-b=region", "zones.zone-c=region", f"listen.packets={self.ip}:{PACKETS}",
                 f"listen.readiness={self.ip}:{READINESS}", f"listen.control={self.ip}:8166", f"port_range={PEERS},{PEERS + 15}",
                 f"seeds={','.join(f'{ip}:8166' for ip in seeds)}", f"bootstrap={'true' if bootstrap else 'false'}", "loss_counts=false",
                 "limits.cpu_share=0.17", "limits.cores=1", "limits.memory_mb=182", "limits.max_fds=2870", "limits.link_mbps=700.0", "limits.disk_mb=0",
                 "discovery=platform", "entry=announce", "heartbeat_ms=1200", "contracts=base,drain,config,cost,recover,flows,platform",
                 "fault_tolerance.machines=2", "fault_tolerance.zones=1", "fault_tolerance.regions=0", "bounds.seed_lag_s=3", "bounds.addr_reuse_s=2",
                 "bounds.stable_window_ms=4000", "bounds.ack_ms=5000", "bounds.catch_up_s=4", "bounds.drain_ms=3000", "bounds.grace_s=6",
                 "bounds.loss_slack_ms=200", "bounds.config_apply_ms=3000", "bounds.rollback_slack_ms=250", "bounds.max_stretch_ms=12000",
                 "bounds.recovery_s=12", "bounds.flow_ms=2000", "bounds.flow_max_s=60", "hash=steady", "forwarding_mode=echo",
                 f"platform.address={store_address}", "platform.forwarding_mode=objects", "platform.writes_per_s=400", "platform.reads_per_s=2000",
                 "platform.history_s=20", "platform.value_bytes=1048576", "platform.min_ttl_ms=1000"]
        changed = [line.split("=")[0] for line in self.extra]
        lines = [line for line in lines if line.split("=")[0] not in changed] + list(self.extra)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["edge"]["run"].split()
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun(f"{command[0]} is missing: run the build of the deploy file")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["PIMENTOFOLD_CONFIG"] = self.settings
        with open(self.log, "ab") as out:
            self.process = await asyncio.create_subprocess_exec(os.path.join(ROOT, command[0]), *command[1:], cwd=ROOT, env=environment, stdout=out, stderr=out)

    def send_signal(self, which):
        if self.process and self.process.returncode is None:
            self.process.send_signal(which)

    async def end(self, which=signal.SIGKILL, limit=7.0):
        if not self.process or self.process.returncode is not None:
            return
        self.process.send_signal(which)
        try:
            await asyncio.wait_for(self.process.wait(), limit)
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()

    def seems_to_lead(self):
        """Whether this node reads the store for the others, as its log says."""
        with open(self.log, encoding="utf-8") as file:
            changes = [line for line in file if "event=store_follow_" in line]
        return bool(changes) and "event=store_follow_started" in changes[-1]

    async def check_readiness(self):
        """Asks twice a second, as the platform does; two misses take the node out of rotation."""
        while True:
            try:
                async with asyncio.timeout(0.5):
                    reader, writer = await asyncio.open_connection(self.ip, READINESS)
                    writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    good = b" 200 " in await reader.readline()
                    writer.close()
            except (OSError, TimeoutError):
                good = False
            self.misses = 0 if good else self.misses + 1
            self.ready = good or (self.ready and self.misses < 2)
            await asyncio.sleep(0.5)


class RecordedWorld(World):
    """The stand-ins, with the targets that ran each request."""

    def __init__(self, record):
        super().__init__(BOUNDS, PACKETS)
        self.store = RestorableStore()
        self.record = record
        self.run_by = {}  # (flow, number of the request on it) -> [(when, target)]
        self.latency = 0.0  # seconds, one way, between clients and everything else
        self.direct = {}  # flow -> node that gets its packets, whatever the routers' hash says

    def to_node(self, key, data):
        asyncio.get_running_loop().call_later(self.latency, self.route, key, data)

    def route(self, key, data):
        node = self.direct.get(key) or self.node_of(key)
        self.sockets[key[0]].sendto(data, (node.ip, PACKETS))

    def deliver(self, data, sender):
        asyncio.get_running_loop().call_later(self.latency, super().deliver, data, sender)

    def node_of(self, key):
        """The node that the routers select: one of the client's zone in rotation, by a hash of the four addresses and ports."""
        zones = sorted({node.zone for node in self.nodes.values()})
        own = [node for node in self.nodes.values() if node.zone == zones[key[0] % len(zones)]]
        ready = [node for node in own if node.ready]
        if ready and 2 * len(ready) < len(own):
            ready = own
        elsewhere = [node for node in self.nodes.values() if node.ready]
        digest = lambda node: hashlib.blake2b(repr((key, node.name)).encode(), digest_size=8).digest()
        return max(ready or elsewhere or own, key=digest)

    def ran(self, request, target):
        self.run_by.setdefault(request, []).append((time.monotonic(), target))
        self.record.line(f"run      {target} {self.targets[target].service} {request[0][1]}")
        super().ran(request, target)


class Deployment:
    """Nodes in three zones, a store, targets of one service or more, and clients."""

    def __init__(self, folder, nodes_per_zone=2, extra_settings=()):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.logs = tempfile.mkdtemp(prefix="pimentofold-review-")
        self.record.line(f"logs of the nodes are in a temporary folder, {os.path.basename(self.logs)}")
        self.net = self.free_net()
        self.world = RecordedWorld(self.record)
        self.store_ip = f"127.{self.net}.0.2"
        self.servers, self.tasks = [], []
        zones = ("zone-a", "zone-b", "zone-c")
        ips = [f"127.{self.net}.{z + 1}.{i + 1}" for z in range(3) for i in range(nodes_per_zone)]
        seeds = ips[::nodes_per_zone]
        self.nodes = [Node(f"front-{zones[z]}-{i + 1}", f"127.{self.net}.{z + 1}.{i + 1}", zones[z], self.logs, f"127.{self.net}.{z + 1}.{i + 1}:{STORE}",
                           seeds, extra_settings) for z in range(3) for i in range(nodes_per_zone)]
        self.proxies = {}
        self.seeds = seeds
        self.client_ips = [f"127.{self.net}.9.{i + 1}" for i in range(8)]
        self.port = 20_000
        self.next_target = 1
        self.routes = {}
        self.version = 0

    @staticmethod
    def free_net():
        """A loopback network whose addresses no other run uses."""
        for net in random.sample(range(100, 250), 20):
            try:
                with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
                    probe.bind((f"127.{net}.0.2", STORE))
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                    probe.bind((f"127.{net}.1.1", PACKETS))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback network")

    async def start(self, services, targets_per_service):
        """services: names; each gets a route."""
        self.servers.append(await asyncio.start_server(self.world.store.serve, self.store_ip, STORE))
        for node in self.nodes:
            proxy = self.proxies[node.name] = Proxy((self.store_ip, STORE))
            self.servers.append(await asyncio.start_server(proxy.serve, node.ip, STORE))
            self.world.nodes[node.name] = node
        for ip in self.client_ips:
            await self.world.add_caller_ip(ip)
        for i, service in enumerate(services):
            self.routes[(number(f"127.90.0.{i + 1}"), 443)] = service
        self.write_config()
        zones = ("zone-a", "zone-b", "zone-c")
        for service in services:
            for i in range(targets_per_service):
                await self.add_target(service, zones[i % 3])
        self.tasks.append(asyncio.create_task(self.copy_store()))
        await asyncio.gather(*(node.start() for node in self.nodes))
        self.tasks += [asyncio.create_task(node.check_readiness()) for node in self.nodes]
        end = time.monotonic() + 20
        while not all(node.ready for node in self.nodes):
            if time.monotonic() > end:
                raise CannotRun("the nodes did not become ready")
            await asyncio.sleep(0.2)
        for node in self.nodes:
            node.write_settings(f"{node.ip}:{STORE}", self.seeds, False)
        self.record.line("all nodes are ready")

    def follower_zone(self):
        """A zone in which no node seems to lead."""
        for zone in sorted({node.zone for node in self.nodes}):
            if not any(node.seems_to_lead() for node in self.nodes if node.zone == zone):
                return zone
        raise CannotRun("a node of each zone seems to lead")

    async def copy_store(self):
        while True:
            self.world.store.keep_copy()
            await asyncio.sleep(0.25)

    async def add_target(self, service, zone):
        self.world.judge.data_centres.add(zone)
        n = self.next_target
        self.next_target += 1
        target = Target(self.world, f"i-{n * 0x9E3779B1 & 0xFFFFFFFF:08x}", service, zone, f"127.{self.net}.10.{n}")
        self.world.targets[target.name] = target
        await target.start()
        return target

    def write_config(self):
        """The operator writes the next version; the store's answer is its acknowledgement."""
        self.version += random.randint(1, 3)
        self.world.write_config(self.version, self.routes)
        self.record.line(f"operator version {self.version} acknowledged, revision {self.world.store.revision}, routes "
                         + " ".join(f"{host >> 24 & 255}.{host >> 16 & 255}.{host >> 8 & 255}.{host & 255}:{port}" for host, port in sorted(self.routes)))
        return time.monotonic()

    async def request(self, route, sizes=(7,), pause=0.0, budget=2.0, node=None):
        """Sends one request (or several on one flow) and records it. With a node, the flow's packets are sent directly to it.
        Returns (when the flow's first packet was sent, when a target began to run its first request or None, seconds until its answer or None)."""
        self.port = self.port + 1 if self.port < 60_000 else 20_001
        ip = random.choice(self.client_ips)
        caller = Caller(self.world, ip, self.port, route, sizes, pause)
        self.world.callers[(number(ip), self.port)] = caller
        if node:
            self.world.direct[caller.key] = node
        sent = time.monotonic()
        self.record.line(f"sent     {caller.port} to {route[0] & 255}:{route[1]}" + (f" directly to {node.name}" if node else ""))
        outcomes = await caller.run(budget)
        runs = self.world.run_by.get((caller.key, 0), [])
        self.record.line(f"{'answered' if outcomes[0][1] is not None else 'no answer'} {caller.port} {caller.stage}")
        await asyncio.sleep(0.3)
        self.world.callers.pop((number(ip), caller.port), None)
        self.world.direct.pop(caller.key, None)
        return sent, (runs[0][0] if runs else None), outcomes[0][1]

    async def flow(self, route, sizes, pause, budget):
        """Sends requests on one flow and records it. Returns the flow's key and its outcomes, which Caller.run() describes."""
        self.port = self.port + 1 if self.port < 60_000 else 20_001
        caller = Caller(self.world, random.choice(self.client_ips), self.port, route, sizes, pause)
        self.world.callers[caller.key[:2]] = caller
        self.record.line(f"sent     {caller.port} to {route[0] & 255}:{route[1]}")
        outcomes = await caller.run(budget)
        self.record.line(f"ended    {caller.port} {caller.stage}, {sum(it[1] is not None for it in outcomes)} of {len(sizes)} requests answered")
        await asyncio.sleep(0.3)
        self.world.callers.pop(caller.key[:2], None)
        return caller.key, outcomes

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*(node.end() for node in self.nodes))
        for server in self.servers:
            server.close()
        for transport in self.world.sockets.values():
            transport.close()
        for target in self.world.targets.values():
            target.transport.close()


def play(case, seconds=110):
    """Runs a case, a coroutine that returns HELD or BROKEN, and ends with its status."""
    async def limited():
        async with asyncio.timeout(seconds):
            return await case()
    try:
        status = asyncio.run(limited())
    except CannotRun as error:
        print(f"the case could not run: {error}")
        status = FAILED
    except Exception as error:  # any error of the case itself says nothing about the rule
        print(f"the case failed: {type(error).__name__}: {error}")
        status = FAILED
    sys.exit(status)
