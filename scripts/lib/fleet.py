"""A fleet of real processes on loopback: platform, targets, entry instances and callers of one or two teams."""

import dataclasses
import pathlib
import secrets
import socket
import tempfile
import time

from processes import FleetError, Process, expect, http, stop_all, wait_until

ROOT = pathlib.Path(__file__).resolve().parents[2]
BIN = ROOT / "build" / "bin"

# Ports; each process has an IP number of its own, so that they can be the same everywhere.
LOCK_PORT = 24999
PLATFORM_PORT = 24080
CALLER_ADMIN_PORT = 24200
TARGET_PORT = 24100
TARGET_ADMIN_PORT = 24101
BALANCER_PEER_PORT, BALANCER_VIEW_PORT, BALANCER_METRICS_PORT = 24000, 24001, 24002
AGENT_PEER_PORT, AGENT_METRICS_PORT = 24010, 24012

# Faults of the fabric, for each datagram from a caller.
LOSS_SHARE = 0.002
DUPLICATE_SHARE = 0.005
# Every so many targets one reports late and one always reports itself as idle.
MISLEADING_EVERY = 7
LATE_REPORTS_MS = 800
COLD_START_MS = 1000


@dataclasses.dataclass
class Work:
    """One kind of work of a service and its load from the callers of one data centre."""

    kind: str
    rate: float
    repeatable: bool = True
    deadline_ms: int = 2000
    cancel_share: float = 0.0
    range_bytes: int = 0


@dataclasses.dataclass
class Service:
    """A service of a team; the numbers of targets and flows are for each data centre."""

    name: str
    port: int
    targets: tuple
    flows: int
    work: list
    session: bool = True
    slots: int = 3
    service_time_us: int = 2000
    answer_bytes: int = 200
    urgency: int = 0
    floor_share: float = 0.0
    opens_per_second: float = 400.0
    flow_life_ms: int = 0


@dataclasses.dataclass
class Team:
    name: str
    template: str
    slots_parameter: str
    services: list


@dataclasses.dataclass
class Size:
    """Numbers of a run."""

    data_centres: int
    entries: int  # of each team in each data centre
    teams: list


def both_teams(data_centres=3, flows_per_target=550, rate=1.0, opens=350.0, flow_life_ms=0):
    """The two teams of the design page: 15 and 4 targets each, over all data centres."""
    lookup_flows = 5 * flows_per_target
    list_flows = flows_per_target * 4 // 3
    foundation = Team("foundation", "lexikon", "lookupSlots", [
        Service("lookup", 24301, (5, 5, 5), lookup_flows,
                [Work("lookup", 60 * rate, cancel_share=0.02), Work("ruling", 12 * rate, repeatable=False, deadline_ms=5000)],
                urgency=0, floor_share=0.6, opens_per_second=opens),
        Service("list", 24302, (2, 1, 1), list_flows, [Work("list", 1.5 * rate, deadline_ms=10000, range_bytes=32768)],
                answer_bytes=300_000, service_time_us=4000, urgency=2, floor_share=0.1, opens_per_second=opens / 4),
    ])
    shop = Team("shop", "sharpening", "bookingSlots", [
        Service("booking", 24401, (5, 5, 5), lookup_flows,
                [Work("pickup", 50 * rate, cancel_share=0.02), Work("booking", 12 * rate, repeatable=False, deadline_ms=5000)],
                slots=2, service_time_us=3000, urgency=0, floor_share=0.7, opens_per_second=opens),
        Service("invoice", 24402, (2, 1, 1), list_flows, [Work("invoice", 15 * rate, deadline_ms=4000)],
                session=False, slots=2, service_time_us=4000, urgency=3, floor_share=0.1, opens_per_second=opens / 4),
    ])
    for it in foundation.services + shop.services:
        it.flow_life_ms = flow_life_ms
    return Size(data_centres, 5, [foundation, shop])


def small_size():
    """One team, one data centre and few processes, for a short test."""
    services = [
        Service("lookup", 24301, (3,), 150,
                [Work("lookup", 60, cancel_share=0.02), Work("ruling", 20, repeatable=False, deadline_ms=5000)],
                floor_share=0.6, opens_per_second=200),
        Service("list", 24302, (1,), 20, [Work("list", 2, deadline_ms=8000, range_bytes=32768)],
                answer_bytes=200_000, urgency=2, floor_share=0.1, opens_per_second=50),
    ]
    return Size(1, 3, [Team("foundation", "lexikon", "lookupSlots", services)])


@dataclasses.dataclass
class Target:
    team: Team
    service: Service
    instance: str
    data_centre: str
    ip: str
    status_lag_ms: int = 0
    reported_load: str = "true"
    process: Process = None

    @property
    def admin(self):
        return f"{self.ip}:{TARGET_ADMIN_PORT}"


@dataclasses.dataclass
class Entry:
    """An entry instance: a balancer and an agent."""

    team: Team
    name: str
    data_centre: str
    ip: str
    balancer: Process = None
    agent: Process = None

    @property
    def agent_status(self):
        return f"{self.ip}:{AGENT_METRICS_PORT}"


@dataclasses.dataclass
class Callers:
    team: Team
    data_centre: str
    ip: str
    process: Process = None

    @property
    def admin(self):
        return f"{self.ip}:{CALLER_ADMIN_PORT}"


def take_base(numbers):
    """Takes the first free network 127.N.0.0/16, so that runs at the same time don't meet; returns N and a lock."""
    for number in numbers:
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.0.1", LOCK_PORT))
            lock.listen(1)
            return number, lock
        except OSError:
            lock.close()
    raise FleetError("each loopback network of the demo is in use")


class Fleet:
    """All processes of a run. Use it as a context manager: its end stops every process."""

    def __init__(self, size, networks=(20, 21, 22, 23)):
        self.size = size
        self.network, self.lock = take_base(networks)
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="pimentofold-"))
        self.platform_address = f"127.{self.network}.0.1:{PLATFORM_PORT}"
        self.processes = []
        self.targets, self.entries, self.callers = [], [], []
        self.past_runs = []  # run lists of targets that have ended
        self.past_counts = []
        self.replacements = 0
        self._peer_secret = secrets.token_hex(16)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        # Callers first, so that the last seconds don't count as failures of the others.
        stop_all([it.process for it in self.callers if it.process], 4.0)
        stop_all(self.processes)
        self.lock.close()

    def start(self, name, program, settings):
        path = BIN / program
        if not path.exists():
            raise FleetError(f"{path.relative_to(ROOT)} doesn't exist; run scripts/build")
        process = Process(name, path, settings, self.directory)
        self.processes.append(process)
        return process

    def data_centres(self):
        return [f"dc{i + 1}" for i in range(self.size.data_centres)]

    # Platform and objects

    def start_platform(self):
        self.platform = self.start("platform", "platform-standin", {"listen": self.platform_address})
        wait_until("the platform answers", lambda: http("GET", self.platform_address, "/v1/objects")[0] == 200, 10)
        for team in self.size.teams:
            self.put_object("keys", team.name, {"epochs": [{"epoch": 1, "secret": secrets.token_hex(32), "validUntil": 0}]})
            self.put_object("template", team.template, self.template_of(team))
            self.put_object("team", team.name, {"template": team.template, "parameters": {}})

    def get_object(self, kind, name):
        """Returns the present object, or None."""
        status, answer = http("GET", self.platform_address, f"/v1/objects/{kind}/{name}")
        return answer if status == 200 and not answer.get("deleted") else None

    def put_object(self, kind, name, value):
        """Writes an object over its present version; returns the new version."""
        status, present = http("GET", self.platform_address, f"/v1/objects/{kind}/{name}")
        version = present["version"] if status == 200 and not present.get("deleted") else 0
        answer = expect("PUT", self.platform_address, f"/v1/objects/{kind}/{name}", value,
                        {"If-Match": str(version), "X-Change-Id": secrets.token_hex(8)})
        return answer["version"]

    def delete_object(self, kind, name):
        present = expect("GET", self.platform_address, f"/v1/objects/{kind}/{name}")
        expect("DELETE", self.platform_address, f"/v1/objects/{kind}/{name}", None,
               {"If-Match": str(present["version"]), "X-Change-Id": secrets.token_hex(8)})

    def platform_faults(self, **faults):
        expect("PUT", self.platform_address, "/admin/faults", faults)

    def template_of(self, team):
        services = []
        for it in team.services:
            kinds = [{"name": work.kind, "urgency": it.urgency, "floorShare": 0.2, "ceilingShare": 1.0} for work in it.work]
            slots = "${%s}" % team.slots_parameter if it is team.services[0] else it.slots
            services.append({"name": it.name, "port": it.port, "session": it.session, "dataCentres": "${dataCentres}",
                             "slots": slots, "urgency": it.urgency, "floorShare": it.floor_share, "ceilingShare": 1.0,
                             "defaultDeadlineMs": 2000, "workKinds": kinds})
        parameters = {
            team.slots_parameter: {"type": "integer", "default": team.services[0].slots, "least": 1, "most": 64},
            "dataCentres": {"type": "strings", "default": self.data_centres()},
        }
        return {"parameters": parameters, "services": services}

    # Targets

    def start_targets(self):
        for team_index, team in enumerate(self.size.teams, 1):
            number = 0
            for service in team.services:
                for dc_index, dc in enumerate(self.data_centres()):
                    for _ in range(service.targets[dc_index]):
                        number += 1
                        ip = f"127.{self.network}.{100 + team_index}.{number}"
                        target = Target(team, service, f"{service.name}-{number:02}", dc, ip)
                        target.status_lag_ms = LATE_REPORTS_MS if number % MISLEADING_EVERY == 3 else 0
                        target.reported_load = "idle" if number % MISLEADING_EVERY == 5 else "true"
                        self.add_target(target)

    def add_target(self, target):
        settings = {"node": target.instance, "adminAddress": target.admin, "platform": self.platform_address, "drainLimitMs": 5000,
                    "servers": [{"team": target.team.name, "service": target.service.name, "instance": target.instance,
                                 "dataCentre": target.data_centre, "address": f"{target.ip}:{TARGET_PORT}",
                                 "session": target.service.session, "slots": target.service.slots,
                                 "serviceTimeUs": target.service.service_time_us, "queueLimit": 64,
                                 "coldStartMs": COLD_START_MS, "coldFactor": 3, "statusLagMs": target.status_lag_ms,
                                 "reportedLoad": target.reported_load,
                                 "answerBytes": target.service.answer_bytes}]}
        target.process = self.start(f"target-{target.team.name}-{target.instance}", "target-standin", settings)
        self.targets.append(target)
        return target

    def targets_of(self, service):
        return [it for it in self.targets if it.service.name == service]

    def target_counts(self):
        """Counts of all targets, those that have ended included."""
        return self.past_counts + [self.counts_of(it) for it in self.targets]

    @staticmethod
    def counts_of(target):
        return expect("GET", target.admin, "/admin/counts")["servers"][0]

    def drain_target(self, target):
        """Writes the drain object, as the operators' command does, and tells the target."""
        self.put_object("drain", f"{target.team.name}.{target.service.name}.{target.instance}", {"reason": "maintenance"})
        expect("PUT", target.admin, "/admin/drain", {"draining": True})

    def close_flows_of(self, target, within_ms):
        """Lets the callers end their sessions on a target."""
        for it in self.callers:
            if it.team is target.team:
                expect("PUT", it.admin, "/admin/close", {"instance": target.instance, "withinMs": within_ms})

    def remove_target(self, target, limit=25):
        """Ends a drained target once its flows have ended; its counts and run list are kept."""
        def empty():
            # Repeated, since a caller learns the server of a flow only from its first answer.
            self.close_flows_of(target, 0)
            return self.counts_of(target)["flows"] == 0

        wait_until(f"{target.instance} has no flows", empty, limit, 0.5)
        self.past_runs += expect("GET", target.admin, "/admin/runs")["runs"]
        self.past_counts.append(self.counts_of(target))
        target.process.terminate()
        if target.process.wait(10) != 0:
            raise FleetError(f"{target.instance} didn't stop as planned")
        self.targets.remove(target)
        self.delete_object("drain", f"{target.team.name}.{target.service.name}.{target.instance}")

    # Entry instances

    def start_entries(self):
        for team_index, team in enumerate(self.size.teams, 1):
            for dc_index, dc in enumerate(self.data_centres(), 1):
                for i in range(1, self.size.entries + 1):
                    ip = f"127.{self.network}.{team_index * 10 + dc_index}.{i}"
                    self.entries.append(Entry(team, f"{team.name}-{dc}-e{i:02}", dc, ip))
        for entry in self.entries:
            self.start_balancer(entry)
        for entry in self.entries:
            self.start_agent(entry)
            self.announce_entry(entry, "live")

    def start_balancer(self, entry):
        settings = {"node": entry.name, "dataCentre": entry.data_centre, "team": entry.team.name, "ip": entry.ip,
                    "peerAddress": f"{entry.ip}:{BALANCER_PEER_PORT}", "viewAddress": f"{entry.ip}:{BALANCER_VIEW_PORT}",
                    "metricsAddress": f"{entry.ip}:{BALANCER_METRICS_PORT}", "peerSecrets": [self._peer_secret],
                    "drainLimitMs": 10000}
        entry.balancer = self.start(f"balancer-{entry.name}", "pimentofold-balancer", settings)

    def start_agent(self, entry):
        same = [it for it in self.entries if it.team is entry.team and it is not entry]
        seeds = [f"{it.ip}:{AGENT_PEER_PORT}" for it in same if it.data_centre == entry.data_centre][:3]
        remote = {it.data_centre: f"{it.ip}:{AGENT_PEER_PORT}" for it in reversed(same) if it.data_centre != entry.data_centre}
        settings = {"node": entry.name, "dataCentre": entry.data_centre, "team": entry.team.name,
                    "peerAddress": f"{entry.ip}:{AGENT_PEER_PORT}",
                    "balancerPeerAddress": f"{entry.ip}:{BALANCER_PEER_PORT}",
                    "balancerViewAddress": f"{entry.ip}:{BALANCER_VIEW_PORT}",
                    "metricsAddress": f"{entry.ip}:{AGENT_METRICS_PORT}", "platform": self.platform_address,
                    "seeds": seeds, "remoteSeeds": sorted(remote.values()), "peerSecrets": [self._peer_secret]}
        entry.agent = self.start(f"agent-{entry.name}", "pimentofold-agent", settings)

    def announce_entry(self, entry, state):
        """Lists an instance at the platform, as the machinery that starts instances does."""
        expect("PUT", self.platform_address, f"/admin/instances/{entry.name}",
               {"role": "entry", "team": entry.team.name, "service": "", "dataCentre": entry.data_centre,
                "address": f"{entry.ip}:{AGENT_PEER_PORT}", "state": state, "slots": 0})

    def withdraw_entry(self, entry):
        expect("DELETE", self.platform_address, f"/admin/instances/{entry.name}")

    def metric(self, entry, name):
        """Value of a metric of a balancer; 0 when it doesn't answer."""
        status, text = http("GET", f"{entry.ip}:{BALANCER_METRICS_PORT}", "/metrics")
        for line in (text if status == 200 else "").splitlines():
            if line.startswith(f"pimentofold_{name} "):
                return float(line.split()[1])
        return 0.0

    @staticmethod
    def members_of(entry):
        """Members as an instance's agent knows them; none when it doesn't answer."""
        status, answer = http("GET", entry.agent_status, "/status")
        return answer["members"] if status == 200 else []

    def replace_entry(self, entry):
        """Stops an instance as planned and starts it again; returns the seconds of the graceful stop."""
        self.announce_entry(entry, "leaving")
        start = time.monotonic()
        entry.balancer.terminate()
        status = entry.balancer.wait(15)
        if status != 0:
            raise FleetError(f"{entry.name}: the balancer's graceful stop ended with status {status}")
        seconds = time.monotonic() - start
        entry.agent.terminate()
        entry.agent.wait(10)
        self.restart_entry(entry)
        return seconds

    def restart_entry(self, entry):
        self.start_balancer(entry)
        self.start_agent(entry)
        self.announce_entry(entry, "live")

    # Callers

    def start_callers(self, phase="start"):
        for team_index, team in enumerate(self.size.teams, 1):
            for dc_index, dc in enumerate(self.data_centres(), 1):
                callers = Callers(team, dc, f"127.{self.network}.9.{team_index * 10 + dc_index}")
                entries = [it.ip for it in self.entries if it.team is team and it.data_centre == dc]
                settings = {"node": f"callers-{team.name}-{dc}", "adminAddress": callers.admin, "ip": callers.ip, "sockets": 4,
                            "platform": self.platform_address, "dataCentre": dc, "platformIntervalMs": 300,
                            "lossShare": LOSS_SHARE, "duplicateShare": DUPLICATE_SHARE, "seed": team_index * 100 + dc_index, "groups": [self.group_of(team, it, entries) for it in team.services]}
                callers.process = self.start(settings["node"], "caller-standin", settings)
                self.callers.append(callers)
        for it in self.callers:
            wait_until("the callers answer", lambda it=it: http("GET", it.admin, "/admin/counts")[0] == 200, 10)
        self.set_phase(phase)

    @staticmethod
    def group_of(team, service, entries):
        work = [{"kind": it.kind, "index": i, "rate": it.rate, "repeatable": it.repeatable, "deadlineMs": it.deadline_ms,
                 "cancelShare": it.cancel_share, "rangeBytes": it.range_bytes} for i, it in enumerate(service.work)]
        return {"team": team.name, "service": service.name, "port": service.port, "balancers": entries, "session": service.session,
                "flows": service.flows, "opensPerSecond": service.opens_per_second, "flowLifeMs": service.flow_life_ms, "tokenShare": 0.5, "work": work}

    def all_callers(self, path, body):
        for it in self.callers:
            expect("PUT", it.admin, path, body)

    def set_phase(self, name):
        self.all_callers("/admin/phase", {"name": name})

    def caller_counts(self):
        return [expect("GET", it.admin, "/admin/counts") for it in self.callers]
