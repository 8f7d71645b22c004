"""What the scripts of the second review share: a few real edge nodes with the project's own stand-ins around them.

The stand-ins come from scripts/lib (edgeworld.py, edgesoak.py). FlowWorld adds the rule FLOW as RULES.md words it, per flow and
from what callers and targets see.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))

import edgesoak  # noqa: E402
from edgeworld import HEAD, SYN, Target, World, number  # noqa: E402, F401

BINARY = os.path.join(ROOT, "target", "bin", "pimentofold-edge")
SETTINGS = os.path.join(ROOT, "deploy", "edge.json")
BOUNDS = {"drain_s": 3.0, "config_s": 3.0, "touch_s": 4.0, "evacuate_s": 3.0, "recovery_s": 12.0}
FLOW_S = 2.0  # flow_ms
FLOW_MAX_S = 60.0  # flow_max_s
CANNOT_RUN = 2


class Record:
    """record.txt: one line an event, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")

    def close(self):
        self.file.close()


class SenderPort(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def datagram_received(self, data, addr):
        self.handler(data, addr[0])


class WatchedTarget(Target):
    """A target that tells the world of each packet that reaches it, and from which node."""

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: SenderPort(self.receive_from), local_addr=(self.ip, 8080))
        self.alive = True
        self.register()

    def receive_from(self, data, sender):
        self.world.sender = sender
        self.receive(data)

    def receive(self, data):
        intended = int.from_bytes(data[:8], "big")
        if self.alive and intended in (0, self.id):
            flags, _, dport, dst, src, sport = HEAD.unpack(data[8:8 + HEAD.size])[:6]
            self.world.reached((src, sport, dst, dport), self.name, flags)
        super().receive(data)


class FlowWorld(World):
    """Records what reaches targets and callers of each flow, and judges FLOW."""

    def __init__(self, record, packets_port):
        super().__init__(BOUNDS, packets_port)
        self.record = record
        self.judge.disturb(10_000)  # the checks of the soak are replaced by those below
        self.opened_at = {}  # flow -> (target, time)
        self.packets = {}  # flow -> [(time, target)], without opening packets
        self.broken = []
        self.sender = ""  # address of the node that sent the packet that a target takes

    def to_node(self, key, data):
        kind = "SYN" if data[0] & SYN else f"{len(data) - HEAD.size} bytes"
        self.record.note(f"caller {show(key)} sends {kind}")
        super().to_node(key, data)

    def deliver(self, data, sender):
        if len(data) > HEAD.size:
            _, _, dport, dst, src, sport = HEAD.unpack(data[:HEAD.size])[:6]
            self.record.note(f"caller {show((dst, dport, src, sport))} gets an answer: {data[HEAD.size:].decode(errors='replace')}")
        super().deliver(data, sender)

    def opened(self, key, target):
        super().opened(key, target)
        self.opened_at.setdefault(key, (target, time.monotonic()))
        self.record.note(f"flow {show(key)} opened at {target}")

    def reached(self, key, target, flags):
        if not flags & SYN:
            self.packets.setdefault(key, []).append((time.monotonic(), target))
        self.record.note(f"target {target} took {'SYN' if flags & SYN else 'packet'} of {show(key)} from {self.sender}")

    def ran(self, request, target):
        self.record.note(f"target {target} ran request {request[1]} of {show(request[0])}")
        super().ran(request, target)

    def reset_seen(self, caller, sender):
        self.record.note(f"caller {show(caller.key)} got a reset from {sender}")
        home = self.opened_at.get(caller.key)
        if home and sender != home[0] and time.monotonic() - home[1] < FLOW_MAX_S:
            self.fail(f"(a) the caller of {show(caller.key)} got a reset from {sender}; its target is {home[0]}")

    def judge_packets(self):
        """(b): for flow_ms three or more packets of the flow reach other targets and none its own."""
        now = time.monotonic()
        for key, (home, opened) in self.opened_at.items():
            packets = [(at, target) for at, target in self.packets.get(key, []) if opened <= at < opened + FLOW_MAX_S - FLOW_S]
            for at, _ in packets:
                window = [target for time_, target in packets if at <= time_ < at + FLOW_S]
                if at + FLOW_S <= now and len(window) >= 3 and home not in window:
                    self.fail(f"(b) in {FLOW_S:.0f} s {len(window)} packets of {show(key)} reached {sorted(set(window))} and none its target {home}")
                    break

    def fail(self, text):
        self.broken.append(text)
        self.record.note(f"BROKEN FLOW {text}")


def show(key):
    return f"{key[0] & 0xFF}.{key[1]}->{key[2] & 0xFF}:{key[3]}"


def free_network():
    """The second byte of three loopback networks that nobody uses."""
    for net in range(60, 240, 3):
        try:
            for ip, port, kind in ((f"127.{net}.0.2", 8169, socket.SOCK_STREAM), (f"127.{net}.1.1", edgesoak.PACKETS, socket.SOCK_DGRAM)):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((ip, port))
            return net
        except OSError:
            continue
    sys.exit(CANNOT_RUN)


class Fleet:
    """Nodes, store and targets of a small deployment."""

    def __init__(self, world, zones, targets):
        """zones: name -> number of nodes; targets: [(service, zone)]"""
        self.world = world
        self.net = free_network()
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        world.store_ip = f"127.{self.net}.0.2"
        self.nodes = []
        for z, (zone, count) in enumerate(zones.items()):
            for i in range(count):
                node = edgesoak.Node(f"front-{zone}-{i + 1}", f"127.{self.net}.{z + 1}.{i + 1}", zone, world, self.folder, BINARY, SETTINGS)
                node.evacuate = ""
                self.nodes.append(node)
        self.targets = [WatchedTarget(world, f"i-{(n + 1) * 0x9E3779B1 & 0xFFFFFFFF:08x}", service, zone, f"127.{self.net + 1}.0.{n + 1}")
                        for n, (service, zone) in enumerate(targets)]
        self.servers, self.probes = [], []

    async def start(self, routes, caller_ips):
        world = self.world
        self.servers.append(await asyncio.start_server(world.store.serve, world.store_ip, 8169))
        world.write_config(1, routes)
        for ip in caller_ips:
            await world.add_caller_ip(ip)
        for target in self.targets:
            world.targets[target.name] = target
            world.judge.data_centres.add(target.zone)
            await target.start()
        for node in self.nodes:
            self.servers.append(await asyncio.start_server(node.proxy.serve, node.ip, 8169))
            node.write_settings([n.ip for n in self.nodes[:3]])
            world.nodes[node.name] = node
        await asyncio.gather(*(node.start() for node in self.nodes))
        self.probes = [asyncio.create_task(node.probe()) for node in self.nodes]
        end = time.monotonic() + 15
        while not all(node.ready for node in self.nodes):
            if time.monotonic() > end:
                raise RuntimeError("the nodes aren't ready")
            await asyncio.sleep(0.1)

    def events(self, node, event):
        """Lines of one event in a node's log."""
        with open(node.log, encoding="utf-8", errors="replace") as file:
            return [line for line in file if f" event={event} " in line]

    async def stop(self):
        for probe in self.probes:
            probe.cancel()
        for node in self.nodes:
            node.signal(signal.SIGCONT)
        await asyncio.gather(*(node.end(signal.SIGKILL) for node in self.nodes))
        for server in self.servers:
            server.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(main, folder):
    """Runs the case and ends with its status: 1 broken, 0 held, 2 couldn't run."""
    if not os.path.exists(BINARY):
        print("target/bin/pimentofold-edge is missing: run the build of the deploy file first")
        sys.exit(CANNOT_RUN)
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    status = CANNOT_RUN
    try:
        broken = asyncio.run(asyncio.wait_for(main(record, trouble), 110))
        status = 1 if broken else 0
        print(json.dumps({"trouble": trouble, "broken": len(broken), "first": broken[:3]}))
    except Exception as error:  # whatever went wrong, the case has not run
        print(f"couldn't run: {type(error).__name__}: {error}")
    record.note(f"exit status {status}")
    record.close()
    sys.exit(status)
