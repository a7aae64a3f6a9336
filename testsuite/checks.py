# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Checks of the promises over the histories of callers and boxes. Each returns a list of
violations, empty when the promise held."""


def read_caller_history(path):
    """Returns the caller's records: (id, kind, outcome, latency_ms, sends, start_ms)."""
    records = []
    with open(path) as lines:
        for line in lines:
            request, kind, outcome, latency, sends, start = line.split()
            records.append((request, kind, outcome, int(latency), int(sends), int(start)))
    return records


def request_runs(histories):
    """Returns how often each request id ran, over all boxes."""
    runs = {}
    for _, history in histories:
        for request, count in history["requests"].items():
            runs[request] = runs.get(request, 0) + count
    return runs


def check_at_most_once(records, runs):
    """A request that may not be repeated runs at most once, whatever its callers do."""
    singles = {r[0] for r in records if r[1] in ("single", "copy")}
    return [f"request {i} ran {runs[i]} times" for i in singles if runs.get(i, 0) > 1]


def check_told_truth(records, runs):
    """Not run means that it did not run; answered means that it did."""
    violations = []
    outcomes = {}
    for request, _, outcome, _, _, _ in records:
        outcomes.setdefault(request, []).append(outcome)
    for request, seen in outcomes.items():
        ran = runs.get(request, 0)
        if all(o == "not_run" for o in seen) and ran > 0:
            violations.append(f"request {request} was said not to have run, but did")
        if "answered" in seen and ran == 0:
            violations.append(f"request {request} was answered, but never ran")
        if seen.count("answered") > 1 and ran < 2:
            violations.append(f"request {request} was answered twice")
    return violations


def check_limits(histories):
    """No box was told to go over its capacity or its slots."""
    violations = []
    for box, history in histories:
        for limit in ("over_capacity", "over_slots"):
            if history[limit] > 0:
                violations.append(f"{box}: {limit} {history[limit]} times")
    return violations


def check_single_tasks(histories, now_ms):
    """No batch task ran in two places at once, and none ended well twice."""
    violations = []
    spans = {}
    for box, history in histories:
        for run in history["runs"]:
            end = run["end"] if run["end"] >= 0 else now_ms
            spans.setdefault(run["id"], []).append((run["start"], end, box, run["attempt"]))
    for task, runs in spans.items():
        runs.sort()
        for before, after in zip(runs, runs[1:]):
            if after[0] < before[1]:
                violations.append(f"task {task} ran at once: {before} and {after}")
    return violations


def check_crossed(summary):
    """Each answer belongs to its own request."""
    return [f"{summary['crossed']} answers crossed"] if summary["crossed"] else []


def check_finished(summary):
    """Each request got its final answer."""
    return [f"{summary['unfinished']} requests got no answer"] if summary["unfinished"] else []


def check_all(records, histories, summary, now_ms):
    """All checks above, over one run."""
    runs = request_runs(histories)
    return (check_at_most_once(records, runs) + check_told_truth(records, runs)
            + check_limits(histories) + check_single_tasks(histories, now_ms)
            + check_crossed(summary) + check_finished(summary))
