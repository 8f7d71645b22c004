"""Sums over what callers and targets observed, and the checks of the design page's invariants on them."""

import time

from processes import FleetError, expect, wait_until


def flows_open(fleet):
    return sum(group["openToken"] + group["openBare"] for counts in fleet.caller_counts() for group in counts["groups"])


def flows_wanted(fleet):
    return sum(group["wanted"] for counts in fleet.caller_counts() for group in counts["groups"])


def wait_for_flows(fleet, limit, progress=None):
    """Waits until the callers hold all their flows."""
    wanted = flows_wanted(fleet)

    def reached():
        held = flows_open(fleet)
        if progress:
            progress(held, wanted)
        return held >= wanted

    return wait_until(f"{wanted} open flows", reached, limit, 0.5)


def sweep(fleet, per_second, limit):
    """Checks each open flow; returns sums of held, ended and unresolved flows."""
    for it in fleet.callers:
        expect("PUT", it.admin, "/admin/sweep", {"perSecond": per_second / len(fleet.callers)})

    def states():
        return [counts["sweep"] for counts in fleet.caller_counts()]

    wait_until("each open flow is checked", lambda: all(it["waiting"] == 0 for it in states()), limit, 0.25)
    result = {}
    for it in states():
        for key, value in it.items():
            result[key] = result.get(key, 0) + value
    return result


def end_load(fleet, limit=12):
    """Stops the load and waits until each request has its verdict."""
    fleet.all_callers("/admin/load", {"run": False})
    wait_until("no request is under way", lambda: all(it["requestsUnderWay"] == 0 for it in fleet.caller_counts()), limit)


def phase_totals(fleet, phases=None):
    """Sums the callers' counts over phases (all of them by default)."""
    total = {"requests": 0, "work": 0, "answered": 0, "wrong": 0, "mayHaveRun": 0, "unanswered": 0, "cancelled": 0,
             "retransmissions": 0, "refused": {}, "unclear": {}, "openedToken": 0, "openedBare": 0, "openUnanswered": 0, "openRefused": {},
             "brokenToken": {}, "brokenBare": {}, "late": 0, "malformed": 0}
    for counts in fleet.caller_counts():
        for name, phase in counts["phases"].items():
            if phases is None or name in phases:
                add_phase(total, phase)
    return total


def add_phase(total, phase):
    for entry in phase["work"] + phase["flows"] + [{"late": phase["late"], "malformed": phase["malformed"]}]:
        for key, value in entry.items():
            if isinstance(value, dict):
                for reason, n in value.items():
                    total[key][reason] = total[key].get(reason, 0) + n
            elif key in total:
                total[key] += value


def work_by_kind(fleet, phases=None):
    """Callers' counts summed by "service/kind"; latencies are the highest of the callers."""
    result = {}
    for counts in fleet.caller_counts():
        for name, phase in counts["phases"].items():
            if phases is not None and name not in phases:
                continue
            for entry in phase["work"]:
                key = f"{entry['service']}/{entry['kind']}"
                into = result.setdefault(key, {"requests": 0, "answered": 0, "refused": 0, "unanswered": 0, "mayHaveRun": 0, "p99Ms": 0})
                for field in ("requests", "answered", "unanswered", "mayHaveRun"):
                    into[field] += entry[field]
                into["refused"] += sum(entry["refused"].values())
                into["p99Ms"] = max(into["p99Ms"], round(entry["p99Ms"], 1))
    return result


def compare_runs(fleet):
    """Compares the callers' verdicts on work that must run at most once with the targets' run lists."""
    runs = list(fleet.past_runs)
    for target in fleet.targets:
        runs += expect("GET", target.admin, "/admin/runs")["runs"]
    by_sending, by_operation = {}, {}
    for it in runs:
        key = (it["operation"], it["flow"], it["request"])
        by_sending[key] = by_sending.get(key, 0) + it["runs"]
        by_operation[it["operation"]] = by_operation.get(it["operation"], 0) + it["runs"]
    result = {"operations": 0, "sendings": 0, "doubled": 0, "false_not_run": 0, "false_ran": 0, "pending": 0, "may_have_run": 0,
              "may_have_run_that_ran": 0}
    seen, faults = set(), []
    for callers in fleet.callers:
        for it in expect("GET", callers.admin, "/admin/operations")["operations"]:
            ran = by_sending.get((it["operation"], it["flow"], it["request"]), 0)
            seen.add(it["operation"])
            result["sendings"] += 1
            result["pending"] += it["verdict"] == "pending"
            result["may_have_run"] += it["verdict"] == "may_have_run"
            result["may_have_run_that_ran"] += it["verdict"] == "may_have_run" and ran > 0
            result["false_not_run"] += it["verdict"] == "not_run" and ran > 0
            result["false_ran"] += it["verdict"] == "ran" and ran == 0
            if (it["verdict"] == "not_run" and ran > 0) or (it["verdict"] == "ran" and ran == 0):
                faults.append(it | {"runs": ran, "runs_of_operation": [run for run in runs if run["operation"] == it["operation"]],
                                    "runs_of_flow": [run for run in runs if run["flow"] == it["flow"]][-5:]})
    result["operations"] = len(seen)
    result["doubled"] = sum(1 for n in by_operation.values() if n > 1)
    faults += [{"operation": name, "runs": n} for name, n in by_operation.items() if n > 1]
    return result, faults[:20]


def foreign_packets(fleet):
    return sum(it["foreign"] for it in fleet.target_counts())


def late_new_work(fleet):
    return sum(it["lateNewWork"] for it in fleet.target_counts())


def load_snapshot(fleet):
    """Answers by target since its start."""
    return {it["instance"]: it["outcomes"].get("Done", 0) for it in fleet.target_counts()}


def imbalance(fleet, before, after):
    """Max over mean of the targets' load between two snapshots, by service with several targets."""
    result = {}
    for service in {it.service.name for it in fleet.targets}:
        loads = [after[it.instance] - before[it.instance] for it in fleet.targets_of(service)
                 if it.instance in before and it.instance in after]
        if len(loads) > 1 and sum(loads) > 0:
            result[service] = round(max(loads) * len(loads) / sum(loads), 3)
    return result


def object_in_force(fleet, kind, name, version, entries=None):
    """Whether each live instance of the team reports an object's version, or a newer one, as in force."""
    for entry in entries or fleet.entries:
        if entry.agent is None or not entry.agent.is_running() or not entry.balancer.is_running():
            continue
        try:
            status = expect("GET", entry.agent_status, "/status")
        except FleetError:
            return False
        objects = {(it["kind"], it["name"]): it for it in status["objects"]}
        held = objects.get((kind, name))
        if held is None or held["version"] < version or not held["inForce"]:
            return False
    return True


def wait_in_force(fleet, team, kind, name, version, limit=7.0):
    """Waits until a version is in force on each live instance of a team; returns the seconds since the call."""
    start = time.monotonic()
    entries = [it for it in fleet.entries if it.team is team]
    wait_until(f"{kind}/{name} version {version} is in force", lambda: object_in_force(fleet, kind, name, version, entries), limit, 0.05)
    return time.monotonic() - start
