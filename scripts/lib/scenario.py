"""Steps that demo, measurements and the test suite share: bringing a fleet up, planned changes and crashes."""

import secrets
import sys
import time

import observations
from processes import FleetError, wait_until

# Time between a crash and the platform's list without the instance, as a health check of the platform needs it.
LIST_DELAY_S = 0.5
LIST_LAG_MS = 300


class Progress:
    """Prints steps with the time since the start."""

    def __init__(self):
        self.start = time.monotonic()

    def __call__(self, text):
        print(f"[{time.monotonic() - self.start:5.1f} s] {text}", flush=True)


def bring_up(fleet, progress, flows_limit=45):
    """Starts all processes, waits until the configuration is in force and until all flows are open."""
    fleet.start_platform()
    fleet.platform_faults(listLagMs=LIST_LAG_MS)
    fleet.start_targets()
    fleet.start_entries()
    progress(f"started {len(fleet.processes)} processes on 127.{fleet.network}.0.0/16; settings and logs in {fleet.directory}")
    for team in fleet.size.teams:
        observations.wait_in_force(fleet, team, "team", team.name, 1, 20)
        wait_until(f"the views of {team.name} hold all targets and members", lambda team=team: views_complete(fleet, team), 20)
    progress("the configuration is in force on all instances")
    fleet.start_callers()
    seconds = observations.wait_for_flows(fleet, flows_limit)
    progress(f"{observations.flows_open(fleet)} flows are open ({seconds:.1f} s)")


def views_complete(fleet, team):
    """Whether each balancer of a team reaches all targets of the team and its agent knows all members of its data centre."""
    targets = [it for it in fleet.targets if it.team is team]
    for entry in [it for it in fleet.entries if it.team is team]:
        if fleet.metric(entry, "targets_ready") < len(targets):
            return False
        alive = [it for it in fleet.members_of(entry) if it["state"] == "alive"]
        if len(alive) < fleet.size.entries:
            return False
    return True


def replace_balancer(fleet, entry):
    """Replaces an instance as planned; returns the seconds of its graceful stop."""
    seconds = fleet.replace_entry(entry)
    wait_until(f"{entry.name} is back", lambda: views_complete(fleet, entry.team), 15)
    return seconds


def drain_and_close(fleet, target, within_ms=2000):
    """Drains a target; its sessions end by and by."""
    fleet.drain_target(target)
    time.sleep(2.2)  # the bound for new work on a leaving target
    fleet.close_flows_of(target, within_ms)


def replace_target(fleet, target, within_ms=2000):
    """Drains a target, ends it and starts a new one of another name on another address."""
    drain_and_close(fleet, target, within_ms)
    fleet.remove_target(target)
    return add_spare_target(fleet, target)


def add_spare_target(fleet, target):
    """Starts a new target of the same service, with a name and address of its own, and waits until it is in use."""
    fleet.replacements += 1
    number = fleet.replacements
    ip = f"127.{fleet.network}.{200 + number // 250}.{number % 250 + 1}"
    fresh = type(target)(target.team, target.service, f"{target.service.name}-r{number:02}", target.data_centre, ip)
    fleet.add_target(fresh)
    wait_until(f"{fresh.instance} is in use", lambda: views_complete(fleet, target.team), 15)
    return fresh


def change_parameter(fleet, team, value):
    """Changes a template parameter; returns the seconds until it is in force on all live instances."""
    version = fleet.put_object("team", team.name, {"template": team.template, "parameters": {team.slots_parameter: value}})
    return observations.wait_in_force(fleet, team, "team", team.name, version)


def rotate_keys(fleet, team):
    """Adds a key epoch; the older ones stay valid. Returns the seconds until it is in force."""
    epochs = fleet.get_object("keys", team.name)["value"]["epochs"]
    newest = epochs[0]["epoch"]
    for it in epochs:
        it["validUntil"] = it["validUntil"] or int((time.time() + 86400) * 1000)
    fresh = {"epoch": newest + 1, "secret": secrets.token_hex(32), "validUntil": 0}
    version = fleet.put_object("keys", team.name, {"epochs": ([fresh] + epochs)[:8]})
    return observations.wait_in_force(fleet, team, "keys", team.name, version)


def crash_entry(fleet, entry):
    """Kills balancer and agent of an instance; the platform's list notices it after a while."""
    entry.balancer.kill()
    entry.agent.kill()
    time.sleep(LIST_DELAY_S)
    fleet.withdraw_entry(entry)


def revive_entry(fleet, entry):
    """Starts a crashed instance again and waits until it is in use."""
    fleet.restart_entry(entry)
    wait_until(f"{entry.name} is back", lambda: views_complete(fleet, entry.team), 20)


def platform_outage(fleet, seconds):
    """Takes the platform away and brings it back."""
    fleet.platform_faults(outage=True, listLagMs=LIST_LAG_MS)
    time.sleep(seconds)
    fleet.platform_faults(listLagMs=LIST_LAG_MS)


def run_safely(main):
    """Runs a driver; a step that isn't reached gives a message and exit status 1."""
    try:
        sys.exit(main())
    except FleetError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(1)
