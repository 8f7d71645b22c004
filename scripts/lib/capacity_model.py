"""The cost of each role at the target size, worked out from measured slopes."""

import dataclasses

# The target.
NODES = 14_000
TARGETS = 76_000
ADDRESSES = 14_000
DATA_CENTRES = 36
REGIONS = 12
OPEN_FLOWS = 120_000_000
NEW_FLOWS_PER_SECOND = 1_600_000
CHANGES_PER_DAY = 40_000
REPLACED_PER_DAY = 34_000
FAILED_PER_DAY = 180
CONVERGE_LIMIT_S = 7.0
CPU_LIMIT_PERCENT = 4.3
MEMORY_LIMIT_MB = 128.0
BYTES_LIMIT = 2_048.0
PLATFORM_READS_PER_SECOND = 2_000.0
PLATFORM_WRITES_PER_SECOND = 300.0

SECONDS_PER_DAY = 86_400.0
MB = 1024.0 * 1024.0

# Assumptions that the letter leaves open; each one is stated on the page.
UNREPEATABLE_PER_NEW_FLOW = 1.0  # requests that must run at most once, for each new flow
RECORD_KEPT_S = 180.0  # 120 s of the pair and 60 s after it
PACKETS_PER_FLOW_SECOND = 1.0  # packets a second of an open flow, both ways together
OBJECTS_PER_NODE = 14_000  # upper bound: one object for each address of the whole fleet
INSTANCES_PER_TEAM = 45  # 15 entry instances in each of three data centres, as today


@dataclasses.dataclass
class Figure:
    """One cost with its limit; limit 0 means that none is stated."""

    name: str
    value: float
    unit: str
    limit: float
    basis: str


@dataclasses.dataclass
class Role:
    name: str
    state: str
    messages: str
    mechanism: str
    figures: list
    doubling: str


class Model:
    """Measured slopes and the figures that follow from them."""

    def __init__(self, measured):
        self.measured = measured
        self.reference_us = measured["capacity"]["reference_us"]
        self.slopes = {it["name"]: it for it in measured["capacity"]["slopes"]}
        self.members = NODES / DATA_CENTRES
        self.targets = TARGETS / DATA_CENTRES
        self.addresses = ADDRESSES / DATA_CENTRES
        self.flows = OPEN_FLOWS / NODES
        self.new_flows = NEW_FLOWS_PER_SECOND / NODES

    def at(self, name, size):
        """Returns a cost from the fitted line; beyond a bad fit, from the next larger measured point."""
        slope = self.slopes[name]
        if slope["fit_error"] > 0.1:
            larger = [y for x, y in slope["points"] if x >= size]
            if larger:
                return larger[0]
        return max(0.0, slope["intercept"] + slope["slope"] * size)

    def cpu_percent(self, units_per_second):
        """Returns the share of a core in percent."""
        return units_per_second * self.reference_us / 1e6 * 100

    def limit_of_slope(self, name):
        """Returns the limit in the unit of a slope's cost, or None when a limit isn't about this cost alone."""
        limits = {"membership_bytes": BYTES_LIMIT, "spread_bytes": BYTES_LIMIT,
                  "membership_cpu": CPU_LIMIT_PERCENT / 100 * 1e6 / self.reference_us,
                  "spread_cpu": CPU_LIMIT_PERCENT / 100 * 1e6 / self.reference_us,
                  "object_memory": MEMORY_LIMIT_MB * MB, "member_memory": MEMORY_LIMIT_MB * MB,
                  "view_memory": MEMORY_LIMIT_MB * MB}
        return limits.get(name)

    def target_rows(self):
        """Returns the rows of the target's table."""
        return [["entry instances", f"{NODES:,}"], ["targets", f"{TARGETS:,}"], ["addresses", f"{ADDRESSES:,}"],
                ["regions, data centres", f"{REGIONS}, {DATA_CENTRES}"], ["open flows", f"{OPEN_FLOWS:,}"],
                ["new flows a second", f"{NEW_FLOWS_PER_SECOND:,}"],
                ["configuration changes a day", f"{CHANGES_PER_DAY:,}, in force everywhere within {CONVERGE_LIMIT_S:.0f} s"],
                ["control of an instance", f"at most {CPU_LIMIT_PERCENT}% of a core, {MEMORY_LIMIT_MB:.0f} MB, 2 KB a second"],
                ["instances that fail, are restarted or replaced a day", f"{FAILED_PER_DAY}, {REPLACED_PER_DAY:,}"],
                ["larger failures", "a rack or switch most days, a data centre every other month, regions lose each other for an hour"]]

    def views_per_second(self):
        """Returns how often a data centre's view changes, if each change of the fleet's configuration concerned it."""
        membership = 2 * (REPLACED_PER_DAY + FAILED_PER_DAY) / DATA_CENTRES
        return (CHANGES_PER_DAY + membership) / SECONDS_PER_DAY

    def control_bytes(self):
        """Returns bytes a second that an ordinary member sends for control."""
        return self.at("membership_bytes", self.members) + self.at("spread_bytes", CHANGES_PER_DAY)

    def control_cpu(self):
        """Returns the processor share in percent of an ordinary member's control."""
        units = self.at("membership_cpu", self.members) + self.at("spread_cpu", CHANGES_PER_DAY)
        units += self.views_per_second() * (self.at("view_build_cpu", self.targets) + self.at("view_parse_cpu", self.targets))
        return self.cpu_percent(units)

    def agent_memory(self):
        """Returns the agent's memory in MB."""
        state = self.at("object_memory", OBJECTS_PER_NODE) + self.at("member_memory", self.members)
        # The view is held in wire form, as built and as last sent.
        state += 2 * self.at("view_memory", self.targets)
        return state / MB + self.measured["control"]["memory_mb_max"]

    def once_records(self):
        """Returns records that a balancer holds as home and as witness together."""
        return 2 * self.new_flows * UNREPEATABLE_PER_NEW_FLOW * RECORD_KEPT_S

    def converge(self, condition):
        """Returns the run of the whole fleet under a condition of the platform."""
        runs = [it for it in self.measured["converge"]["runs"] if it["platform"] == condition]
        return max(runs, key=lambda it: it["members"])

    def control_figures(self):
        """Returns the figures of an ordinary member against the letter's limits."""
        return [
            Figure("bytes sent a second", self.control_bytes(), "B/s", BYTES_LIMIT, "membership_bytes at a data centre's members and spread_bytes at all changes"),
            Figure("bytes sent and received a second", 2 * self.control_bytes(), "B/s", BYTES_LIMIT, "twice the row above, since each byte sent is received by another member"),
            Figure("share of a core", self.control_cpu(), "%", CPU_LIMIT_PERCENT, "membership_cpu, spread_cpu, view_build_cpu, view_parse_cpu"),
            Figure("memory of the agent", self.agent_memory(), "MB", MEMORY_LIMIT_MB, "object_memory for one object an address of the whole fleet, member_memory, view_memory, and the resident memory of a real agent (scripts/measure control)"),
            Figure("change in force everywhere, longest", self.converge("healthy")["max_s"], "s", CONVERGE_LIMIT_S, f"converge over {self.converge('healthy')['members']:,} agents on virtual time"),
            Figure("the same with a platform that answers after 1 s", self.converge("slow")["max_s"], "s", CONVERGE_LIMIT_S, "as above"),
            Figure("the same across a 20 s outage, from acceptance", self.converge("away")["max_s"], "s", CONVERGE_LIMIT_S, "as above"),
        ]

    def membership_figures(self):
        """Returns the cost of a whole data centre's start and the time to detect a failure."""
        run = self.measured["membership"]["sizes"][-1]
        start, basis = run["start_of_all"], f"membership with {run['members']} members on virtual time"
        return [
            Figure("start of all at once: bytes sent a second, mean of at least a minute", start["traffic"]["bytes_per_second"], "B/s", BYTES_LIMIT, basis),
            Figure("the same, busiest member", start["traffic"]["highest_bytes_per_second"], "B/s", BYTES_LIMIT, basis),
            Figure("start of all at once: every member knows all others", start["agreed_after_seconds"], "s", 0, basis),
            Figure("failure known to all members", run["detection"]["all_members_seconds"], "s", 0, basis),
        ]

    def platform_reads(self):
        """Returns calls a second on the platform by all watchers."""
        return self.converge("healthy")["platform_calls_per_s"]

    def open_points(self):
        """Returns what misses its limit and what the measurement leaves out."""
        figures = self.control_figures() + [it for role in roles(self) for it in role.figures]
        over = {it.name: it for it in figures if it.limit and it.value > it.limit}
        points = [f"Over its limit: {it.name}, {it.value:,.0f} {it.unit} against {it.limit:,.0f} {it.unit}." for it in over.values()]
        if not points:
            points.append("No figure is above its limit.")
        large = [it["name"] for it in self.slopes.values() if it["fit_error"] > 0.1]
        if large:
            points.append("Not linear in the measured range (fit error above 10%): " + ", ".join(large) + ".")
        points += [
            "The letter doesn't say whether its 2 KB a second counts one direction or both. One direction is within it, both together are not, under the upper bound that all changes of the fleet concern every "
            "member. Agents take only the objects of their own team and all templates, so that the real rate is lower; it isn't measured.",
            f"The platform's rate of several hundred writes a second is taken as {PLATFORM_WRITES_PER_SECOND:.0f}.",
            "Converging over all agents was measured with 20 changes, not over a day.",
            "The run over all data centres keeps roles fixed instead of running membership on every agent, so that it fits in one process; the cost of membership comes from its own slope.",
            "Processor time of membership and spreading includes the simulation around them, so that it is an upper bound. System calls of real sockets are not in it; "
            "`scripts/measure control` measures real agents at today's size.",
            f"Assumed, since the letter doesn't say: {UNREPEATABLE_PER_NEW_FLOW:g} request that must run at most once for each new flow; {PACKETS_PER_FLOW_SECOND:g} packet a second for each open flow; "
            f"teams of {INSTANCES_PER_TEAM} instances in three data centres; objects of 1,000 bytes; every agent holding {OBJECTS_PER_NODE:,} objects, one for each address, although it needs only those of its team.",
            "Not measured: joining and catching up against the size of the configuration, platform calls against the number of data centres, and the burst when regions meet again after an hour apart.",
            "Cost between balancers and targets (connections, health) isn't counted as control here; it grows with the targets of an instance's team.",
        ]
        return points


def balancer(model):
    """Returns the role of the data path."""
    packets = model.flows * PACKETS_PER_FLOW_SECOND
    return Role(
        "Balancer",
        "view of the own data centre, token keys, a bounded cache of bare flows; nothing for a token flow.",
        "one relay at most for a packet that needs its home or dispatcher; none between balancers for other packets.",
        "sealed tokens route without state; bare flows are found in rendezvous order with the target's own knowledge.",
        [Figure("open token flows", 0.0, "bytes", 0, f"{model.flows:,.0f} flows; state is with the caller"),
         Figure("open bare flows", model.at("bare_flow_memory", 1_000_000) / MB, "MB", 0, "bare_flow_memory; constant"),
         Figure("view", model.at("view_memory", model.targets) / MB, "MB", 0, "view_memory"),
         Figure("opening tokens", model.cpu_percent(packets * model.slopes["token_open_cpu"]["slope"]), "% of a core", 0, f"token_open_cpu at {packets:,.0f} packets a second"),
         Figure("ranking candidates", model.cpu_percent(packets / 1000 * model.at("candidate_cpu", TARGETS / ADDRESSES)), "% of a core", 0, "candidate_cpu, if all flows were bare")],
        "packets a second of one instance; more instances carry it, since no state is shared.")


def once_pair(model):
    """Returns the role of home and witness."""
    rate = model.new_flows * UNREPEATABLE_PER_NEW_FLOW
    return Role(
        "Home and witness",
        "a record for each request that must run at most once, at both, until 60 s after the pair's end.",
        "IntentStore, IntentStored and Outcome for each such request, inside the data centre; these are data, not control.",
        "paired record; the witness closes it to the home before it answers for it.",
        [Figure("records", model.at("once_memory", model.once_records()) / MB, "MB", 0, f"once_memory at {model.once_records():,.0f} records"),
         Figure("messages", 3 * rate, "a second", 0, f"{rate:,.0f} requests a second as home")],
        "memory for records; the bound on records then refuses new ones as not run.")


def agent(model):
    """Returns the role of an ordinary member."""
    return Role(
        "Agent",
        "members of its data centre, configuration objects, view.",
        "one probe a second with piggybacked updates, a digest every 2 s, pushes of new objects.",
        "SWIM membership; versioned objects pushed to three peers and repaired by digests.",
        model.control_figures()[:4] + model.membership_figures(),
        "bytes for updates of members: replacements double with the size of a data centre, while probes stay as they are. With twice the data centres of today's size nothing changes for a member.")


def watcher(model):
    """Returns the role of the agents that follow the platform."""
    groups = NODES / INSTANCES_PER_TEAM * 3
    return Role(
        "Watcher",
        "the platform's revision.",
        "one long poll at a time, at most one each 0.5 s.",
        "two agents for each group of peers, first by rendezvous rank; all others learn from peers.",
        [Figure("long polls of all watchers with one group for each data centre", model.platform_reads(), "a second", PLATFORM_READS_PER_SECOND, "converge over all agents, 2 watchers for each of 36 groups"),
         Figure("all reads of watchers with a group for each team and data centre", groups + model.platform_reads() * groups / DATA_CENTRES, "a second", PLATFORM_READS_PER_SECOND, "sum of the rows below"),
         Figure("reads of the instance list, one a second for each team and data centre", groups, "a second", PLATFORM_READS_PER_SECOND, f"{groups:,.0f} groups of 15; the first watcher of each reads it"),
         Figure("long polls of all watchers with a group for each team and data centre", model.platform_reads() * groups / DATA_CENTRES, "a second", PLATFORM_READS_PER_SECOND, f"{groups:,.0f} groups of 15; each call sees all changes")],
        "reads of the platform: with twice the groups they exceed its rate. The instance list then has to be watched or read less often, and long polls have to name the team.")


def delegate(model):
    """Returns the role of the agents that speak with other data centres."""
    return Role(
        "Delegate",
        "addresses of the other data centres' delegates.",
        "digests with delegates of other data centres; missing objects pulled.",
        "two for each data centre, first by rendezvous rank.",
        [Figure("longest time to converge while the platform is away and back", model.converge("away")["max_s"], "s", CONVERGE_LIMIT_S, "converge over all agents"),
         Figure("bytes a second and member, sent and received, all roles", model.converge("healthy")["bytes_per_s_node"], "B/s", 2 * BYTES_LIMIT, "converge over all agents; membership not included")],
        "digests between data centres: each delegate speaks with a bounded number of others, so that the time to spread grows with the logarithm.")


def operators(model):
    """Returns the role of the operators' command and the platform's writes."""
    groups = NODES / INSTANCES_PER_TEAM * 3
    return Role(
        "Operators' command and platform",
        "objects with versions.",
        "a read and a conditional write for each change; one status object for each data centre and team.",
        "conditional writes with change ids.",
        [Figure("writes by operators", CHANGES_PER_DAY / SECONDS_PER_DAY, "a second", PLATFORM_WRITES_PER_SECOND, "changes a day"),
         Figure("status objects, if each changed every 2 s", groups / 2, "writes a second", PLATFORM_WRITES_PER_SECOND, "upper bound: a status is written only when it changed")],
        "status writes: they must then be written less often than every 2 s.")


def roles(model):
    """Returns all roles in the order of the page."""
    return [balancer(model), once_pair(model), agent(model), watcher(model), delegate(model), operators(model)]
