"""A small deployment on loopback addresses for the cases of the review: edge nodes as separate processes, started with the command
of the deploy file, and the stand-ins of scripts/lib/edgeworld.py for the store, the targets and the callers.

The fabric here follows PROTOCOL.md, "Ingress": a node of the caller's zone by a hash of the flow over the nodes in rotation; all
nodes of the zone when fewer than half of them are in rotation.
"""

import asyncio
import hashlib
import json
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

import edgeworld  # noqa: E402
from edgeworld import RST, SYN, HEAD, Judge, Proxy, Target, World, number  # noqa: E402

PACKETS, READINESS, CONTROL, PEERS, STORE_PORT = 8172, 8167, 8166, 7720, 8169
ZONES = ("a", "b", "c")
HEARTBEAT_S = 1.2
HELD, BROKEN, NO_RUN = 0, 1, 2


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def note(self, event_, **fields):
        rest = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{time.monotonic() - self.start:9.4f} {event_} {rest}\n")
        self.file.flush()


class RecordingJudge(Judge):
    """Records what targets take; the cases decide themselves which rule they check."""

    def __init__(self, record):
        super().__init__({"drain_s": 1e9, "config_s": 1e9, "evacuate_s": 1e9, "touch_s": 0})
        self.record = record
        self.took = []  # (time, target, route)

    def opening(self, target, service, route):
        self.took.append((time.monotonic(), target, route))
        self.record.note("target_took_opening", target=target, service=service, route=route[0] & 255)

    def fail(self, rule, text):
        super().fail(rule, text)
        self.record.note("stand_in_saw", rule=rule, what=text.replace(" ", "_"))


class FabricWorld(World):
    def __init__(self, record):
        super().__init__({"touch_s": 0}, PACKETS)
        self.judge = RecordingJudge(record)
        self.record = record
        self.zone_of = {}  # number of a caller's address -> zone
        self.run_list = []  # (flow, target) of each request that a target ran
        self.tap = None  # tap(key, data, node): sees each packet of a caller; returns False to drop it

    def node_for(self, key):
        zone = [node for node in self.nodes.values() if node.zone == self.zone_of[key[0]]]
        ready = [node for node in zone if node.ready]
        chosen = ready if 2 * len(ready) >= len(zone) and ready else zone
        return max(chosen, key=lambda node: hashlib.blake2b(repr((key, node.name)).encode(), digest_size=8).digest())

    def to_node(self, key, data):
        node = self.node_for(key)
        if data[0] & SYN:
            self.record.note("caller_sent_opening", caller=f"{key[0] & 0xffff}:{key[1]}", route=key[2] & 255, node=node.name)
        if self.tap and not self.tap(key, data, node):
            return
        self.sockets[key[0]].sendto(data, (node.ip, PACKETS))

    def reset_seen(self, caller, sender):
        home = self.homes.get(caller.key)
        self.record.note("caller_got_reset", caller=f"{caller.key[0] & 0xffff}:{caller.port}", sender=sender, target=home[0] if home else "none", stage=caller.stage)
        super().reset_seen(caller, sender)

    def ran(self, request, target):
        self.record.note("target_ran", caller=f"{request[0][0] & 0xffff}:{request[0][1]}", request=request[1], target=target)
        self.run_list.append((request[0], target))
        super().ran(request, target)


class ReportingTarget(Target):
    def spec(self):
        return {"service": self.service, "address": f"{self.ip}:8080", "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "cold_remaining_ms": 0, "seq": 0, "born": self.born}

    def register(self):
        self.world.store.put("servers", self.name, self.spec())


class Node:
    def __init__(self, deployment, name, ip, zone):
        self.deployment, self.name, self.ip, self.zone = deployment, name, ip, zone
        self.proxy = Proxy((deployment.world.store_ip, STORE_PORT))
        self.process = None
        self.ready = False
        self.log = os.path.join(deployment.folder, f"{name}.log")
        self.store_port = STORE_PORT  # at the node's own address, where its proxy to the store listens
        self.ended_alone = 0
        self.expected = False

    def write_settings(self, first):
        d = self.deployment
        seeds = ",".join(f"{node.ip}:{CONTROL}" for node in d.nodes[:3])
        text = (f"node={self.name}\nrole=edge\nmachine_class=front\nserves=front,control\nip={self.ip}\nzone={self.zone}\nregion=r\n"
                + "".join(f"zones.{zone}=r\n" for zone in ZONES)
                + f"listen.packets={self.ip}:{PACKETS}\nlisten.readiness={self.ip}:{READINESS}\nlisten.control={self.ip}:{CONTROL}\n"
                f"port_range={PEERS},{PEERS + 15}\nseeds={seeds}\nbootstrap={'true' if first else 'false'}\nloss_counts=false\n"
                "limits.cpu_share=0.17\nlimits.cores=1\nlimits.memory_mb=182\nlimits.max_fds=2870\nlimits.link_mbps=700.0\nlimits.disk_mb=0\n"
                "discovery=platform\nentry=announce\nheartbeat_ms=1200\ncontracts=base,drain,config,cost,recover,flows,platform\n"
                "fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=0\nbounds.seed_lag_s=3\nbounds.addr_reuse_s=2\n"
                "bounds.stable_window_ms=4000\nbounds.ack_ms=5000\nbounds.catch_up_s=4\nbounds.drain_ms=3000\nbounds.grace_s=6\n"
                "bounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\nbounds.rollback_slack_ms=250\nbounds.max_stretch_ms=12000\n"
                "bounds.recovery_s=12\nbounds.flow_ms=2000\nbounds.flow_max_s=60\nhash=steady\nforwarding_mode=echo\n"
                f"platform.address={self.ip}:{self.store_port}\nplatform.forwarding_mode=objects\nplatform.writes_per_s=400\n"
                "platform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\nplatform.min_ttl_ms=1000\n")
        with open(os.path.join(d.folder, f"{self.name}.conf"), "w", encoding="utf-8") as file:
            file.write(text)

    async def start(self, first=False):
        self.write_settings(first)
        self.expected = False
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["PIMENTOFOLD_CONFIG"] = os.path.join(self.deployment.folder, f"{self.name}.conf")
        with open(self.log, "ab") as out:
            self.process = await asyncio.create_subprocess_exec(*self.deployment.command, cwd=ROOT, env=environment, stdout=out, stderr=out)
        self.deployment.record.note("process_started", node=self.name, pid=self.process.pid)
        asyncio.get_running_loop().create_task(self.watch(self.process))

    async def watch(self, process):
        status = await process.wait()
        if process is self.process:
            self.process, self.ready = None, False
        if not self.expected:
            self.ended_alone += 1
        self.deployment.record.note("process_ended", node=self.name, status=status, by_itself=not self.expected)

    def send(self, number_):
        if self.process:
            self.expected = self.expected or number_ in (signal.SIGKILL, signal.SIGTERM)
            self.deployment.record.note("signal", node=self.name, signal=int(number_))
            self.process.send_signal(number_)

    async def end(self, number_=signal.SIGKILL, limit=7.0):
        process = self.process
        if not process:
            return
        self.send(number_)
        try:
            await asyncio.wait_for(process.wait(), limit)
        except asyncio.TimeoutError:
            process.kill()
            await process.wait()

    async def probe(self):
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
            before = self.ready
            self.ready = True if misses == 0 else self.ready and misses < 2
            if self.ready != before:
                self.deployment.record.note("rotation", node=self.name, ready=self.ready)

    def events(self, name):
        """Values of the log lines of one event of this node."""
        if not os.path.exists(self.log):
            return []
        with open(self.log, encoding="utf-8", errors="replace") as file:
            return [dict(part.split("=", 1) for part in line.split() if "=" in part) for line in file if f"event={name} " in line + " "]

    def leads(self):
        started, ended = len(self.events("store_follow_started")), len(self.events("store_follow_ended"))
        return started > ended


class Deployment:
    def __init__(self, case_folder, per_zone=2):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.command = tomllib.load(file)["roles"]["edge"]["run"].split()
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            print("the build of the deploy file is missing", file=sys.stderr)
            sys.exit(NO_RUN)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.record.note("trouble", on=trouble())
        self.world = FabricWorld(self.record)
        self.net = self.free_net()
        self.world.store_ip = f"127.{self.net}.0.2"
        self.nodes = []
        for z, zone in enumerate(ZONES):
            for i in range(per_zone):
                self.add_node(f"front-{zone}-{i + 1}", f"127.{self.net}.{z + 1}.{i + 1}", zone)
        self.routes = {}
        self.version = 0
        self.next_target = 1
        self.old_store_servers = []  # those that listen at STORE_PORT
        self.servers, self.helpers, self.traffic_tasks = [], [], set()
        self.outcomes = []  # (sent at, seconds or None, route)
        self.port = random.randint(1024, 20000)

    @staticmethod
    def free_net():
        """A loopback network whose addresses nobody uses."""
        candidates = list(range(70, 250, 3))  # a run uses three networks
        random.shuffle(candidates)
        for net in candidates:
            try:
                with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as it:
                    it.bind((f"127.{net}.0.2", STORE_PORT))
                return net
            except OSError:
                continue
        sys.exit(NO_RUN)

    def add_node(self, name, ip, zone):
        node = Node(self, name, ip, zone)
        self.nodes.append(node)
        self.world.nodes[name] = node
        return node

    async def add_target(self, service, zone="a", slots=3):
        n = self.next_target
        self.next_target += 1
        target = ReportingTarget(self.world, f"i-{n * 0x9E3779B1 & 0xFFFFFFFF:08x}", service, zone, f"127.{self.net + 1}.{n // 250}.{n % 250 + 1}", slots)
        self.world.targets[target.name] = target
        await target.start()
        self.helpers.append(asyncio.create_task(self.report(target)))
        self.record.note("target_started", target=target.name, service=service, zone=zone)
        return target

    def write_config(self, routes):
        self.version += 3
        self.routes = dict(routes)
        self.world.write_config(self.version, self.routes)
        self.record.note("config_acknowledged", version=self.version, routes=len(routes))

    async def report(self, target):
        """A target's status reports: its entry changes only when more than `seq` changes."""
        while target.alive:
            await asyncio.sleep(HEARTBEAT_S)
            held = self.world.store.objects.get(("servers", target.name))
            own = target.spec()
            if target.alive and (held is None or {**held["spec"], "seq": 0} != own if isinstance(held and held["spec"], dict) else True):
                target.register()

    async def open(self, targets):
        """Starts the stand-ins. targets: {service: how many}"""
        w = self.world
        self.servers.append(await asyncio.start_server(w.store.serve, w.store_ip, STORE_PORT))
        for i, zone in enumerate(ZONES):
            for k in range(4):
                ip = f"127.{self.net + 2}.{i}.{k + 1}"
                w.zone_of[number(ip)] = zone
                await w.add_caller_ip(ip)
        self.callers = [f"127.{self.net + 2}.{i}.{k + 1}" for i in range(len(ZONES)) for k in range(4)]
        for service, count in targets.items():
            for i in range(count):
                await self.add_target(service, ZONES[i % len(ZONES)])
        for node in self.nodes:
            self.old_store_servers.append(await asyncio.start_server(node.proxy.serve, node.ip, STORE_PORT))
            self.servers.append(self.old_store_servers[-1])
            self.helpers.append(asyncio.create_task(node.probe()))

    async def start_all(self, first=True, order=None):
        """Starts all nodes within 0.3 s: in this order, or in any."""

        async def one(node, wait):
            await asyncio.sleep(wait)
            await node.start(first)

        if order:
            await asyncio.gather(*(one(node, 0.3 * i / len(order)) for i, node in enumerate(order)))
        else:
            await asyncio.gather(*(one(node, random.uniform(0, 0.3)) for node in self.nodes))

    async def until(self, condition, limit):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if condition():
                return True
            await asyncio.sleep(0.05)
        return condition()

    async def request(self, route, ip=None, sizes=(7,), pause=0.0, budget=2.0):
        self.port = self.port + 1 if self.port < 60000 else 1024
        port, ip = self.port, ip or random.choice(self.callers)
        caller = edgeworld.Caller(self.world, ip, port, route, sizes, pause)
        self.world.callers[(number(ip), port)] = caller
        results = await caller.run(budget)
        for start, seconds in results:
            self.outcomes.append((start, seconds, route))
            self.record.note("request_ended", caller=f"{number(ip) & 0xffff}:{port}", route=route[0] & 255, sent=f"{start - self.record.start:.4f}",
                             answer="none" if seconds is None else f"{seconds:.4f}")
        await asyncio.sleep(0.3)
        self.world.callers.pop((number(ip), port), None)
        return caller

    async def traffic(self, rate, routes, **request):
        """New flows at this rate until it is cancelled; request: see request()."""
        try:
            while True:
                task = asyncio.create_task(self.request(random.choice(routes), **request))
                self.traffic_tasks.add(task)
                task.add_done_callback(self.traffic_tasks.discard)
                await asyncio.sleep(random.expovariate(rate))
        except asyncio.CancelledError:
            pass

    async def close(self):
        for task in list(self.traffic_tasks) + self.helpers:
            task.cancel()
        await asyncio.gather(*(node.end(signal.SIGKILL) for node in self.nodes))
        for server in self.servers:
            server.close()

    def served(self, since, until=1e18):
        part = [seconds for start, seconds, _ in self.outcomes if since <= start < until]
        return sum(s is not None for s in part), len(part)


def main(case, case_folder, limit=115, **options):
    """Runs case(deployment), which returns HELD or BROKEN, and ends with that status."""

    async def run():
        deployment = Deployment(case_folder, **options)
        task = asyncio.current_task()
        for number_ in (signal.SIGTERM, signal.SIGINT):  # whoever ends the script ends its processes too
            asyncio.get_running_loop().add_signal_handler(number_, task.cancel)
        try:
            async with asyncio.timeout(limit):
                status = await case(deployment)
        except (Exception, asyncio.CancelledError) as error:  # the case couldn't run
            deployment.record.note("could_not_run", error=repr(error).replace(" ", "_"))
            print(f"could not run: {error!r}", file=sys.stderr)
            status = NO_RUN
        finally:
            await deployment.close()
        deployment.record.note("verdict", status=status)
        if os.environ.get("KEEP") != "1":
            import shutil
            shutil.rmtree(deployment.folder, ignore_errors=True)
        else:
            print(deployment.folder)
        return status

    status = asyncio.run(run())
    print({HELD: "held", BROKEN: "broken", NO_RUN: "could not run"}[status])
    sys.exit(11 if status == BROKEN else status)  # run.sh turns 11 into 1, so that an error of Python does not look like a broken rule
