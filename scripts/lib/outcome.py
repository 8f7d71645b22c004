"""Results of runs and the promises of the design page that they are held against."""

import observations


def total_of(counts):
    return sum(counts.values())


def cut_requests(counts):
    """Requests that a planned change cut: silence, or MayHaveRun for another reason than the caller's cancellation."""
    return counts["unanswered"] + sum(n for reason, n in counts["unclear"].items() if reason not in ("cancelled", "no_verdict"))


def summarise(fleet, planned_phases, crash_phases, unresolved):
    """Sums a run; the phases are those with planned changes and those with crashes."""
    total = observations.phase_totals(fleet)
    planned = observations.phase_totals(fleet, planned_phases)
    crash = observations.phase_totals(fleet, crash_phases)
    once, faults = observations.compare_runs(fleet)
    for it in faults:
        print(f"wrong verdict or doubled run: {it}")
    return {
        "requests": total["requests"], "answered": total["answered"],
        "flows": total["openedToken"] + total["openedBare"], "flows_token": total["openedToken"], "flows_bare": total["openedBare"],
        "broken_flows_planned": total_of(planned["brokenToken"]) + total_of(planned["brokenBare"]),
        "broken_flows_crash": total_of(crash["brokenToken"]) + total_of(crash["brokenBare"]),
        "broken_planned_by_cause": {"token": planned["brokenToken"], "bare": planned["brokenBare"]},
        "broken_crash_by_cause": {"token": crash["brokenToken"], "bare": crash["brokenBare"]},
        "cut_requests_planned": cut_requests(planned), "unresolved_flows": unresolved,
        "foreign_packets": observations.foreign_packets(fleet), "late_new_work": observations.late_new_work(fleet),
        "wrong_answers": total["wrong"], "operations": once["operations"], "doubled": once["doubled"],
        "false_not_run": once["false_not_run"], "false_ran": once["false_ran"], "may_have_run": total["mayHaveRun"],
        "may_have_run_by_reason": total["unclear"], "unanswered": total["unanswered"],
        "refused": total_of(total["refused"]), "refused_by_reason": total["refused"],
        "open_refused": total_of(total["openRefused"]),
    }


def broken_promises(result):
    """Names of the invariants that a run broke."""
    checks = {
        "FlowSurvives": result["broken_flows_planned"] + result["unresolved_flows"],
        "FlowSurvives (balancer crash)": result["broken_flows_crash"],
        "NoForeignPacket": result["foreign_packets"],
        "OwnAnswerWhole": result["wrong_answers"] + result["false_ran"],
        "NotRunIsTrue": result["false_not_run"],
        "AtMostOnce": result["doubled"],
        "LeavingGetsNoNewWork": result["late_new_work"],
        "PlannedStopCutsNothing": result["cut_requests_planned"],
    }
    return [name for name, n in checks.items() if n > 0]
