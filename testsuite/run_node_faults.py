# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Nodes die, freeze and are cut off under load; all are replaced one after another."""

import sys
import time

from cell import Cell, wait_until
from faults import Load, outcomes, report, served_all_again


def killed_node():
    """A node dies; its shards and ids find new owners."""
    with Cell(base=24000) as cell:
        load = Load(cell)
        time.sleep(3)
        cell.kill("node-2")
        served_all_again(cell)
        summary, violations = load.finish()
        return report("killed_node", summary, violations)


def frozen_node():
    """Traps 1 and 4: a node stops in the middle of its work, others take over, and it goes on
    as if no time had passed."""
    with Cell(base=24000) as cell:
        load = Load(cell)
        for name in ("node-1", "node-3"):
            time.sleep(2)
            cell.freeze(name)
            time.sleep(4)
            cell.thaw(name)
        served_all_again(cell)
        summary, violations = load.finish()
        return report("frozen_node", summary, violations)


def node_cut_from_table():
    """Trap 3: a node reaches boxes and peers but not the table; it loses its shards."""
    with Cell(base=24000) as cell:
        load = Load(cell)
        time.sleep(2)
        cell.faults(refuse=["node-1"])
        wait_until(lambda: all(n["shards"] == 0 for n in cell.ctl("nodes", node="node-2")[1]
                               if n["node"] == "node-1"), 20, "node-1 owns nothing")
        time.sleep(2)
        cell.faults()
        wait_until(lambda: all(n["shards"] > 0 for n in cell.ctl("nodes", node="node-2")[1]
                               if n["node"] == "node-1"), 20, "node-1 owns shards again")
        served_all_again(cell)
        summary, violations = load.finish()
        return report("node_cut_from_table", summary, violations)


def replace(cell, names, between=0.0):
    """Stops nodes in order, `between` seconds apart, and starts them again."""
    for name in names:
        cell.processes[name].terminate()
        time.sleep(between)
    for name in names:
        assert cell.processes[name].wait(40) == 0, f"{name} did not end in order"
    for name in names:
        cell.start_node(name)
    for name in names:
        wait_until(lambda n=name: cell.health(n), 15, f"{name} ready")


def report_planned_stops(name, summary, violations):
    """Reports a run with planned stops only: no request may be left in doubt or fail."""
    for kind in ("repeatable", "single"):
        # `untyped`: the HTTP library answered in the node's place.
        for outcome in ("may_have_run", "failed", "untyped"):
            count = outcomes(summary, kind).get(outcome, 0)
            if count:
                violations.append(f"{count} {kind} requests {outcome} at planned stops")
    return report(name, summary, violations)


def replaced_nodes():
    """Traps 11 and 15: each node is stopped in order and started again under load, then two at
    once. A planned stop cuts off no request: none is left in doubt, none fails."""
    with Cell(base=24000) as cell:
        load = Load(cell, requests=3600, rate=150, doubles=0)
        for names in (["node-1"], ["node-2"], ["node-3"], ["node-1", "node-2"]):
            replace(cell, names)
            time.sleep(1)
        served_all_again(cell)
        summary, violations = load.finish()
        return report_planned_stops("replaced_nodes", summary, violations)


def nodes_replaced_without_pause():
    """A node that was started less than a lease ago is stopped again. It must give on the
    admission ranges that it has just been given, with the ids admitted there."""
    with Cell(base=24000) as cell:
        load = Load(cell, requests=3600, rate=150, doubles=0)
        for _ in range(4):
            for names in (["node-1"], ["node-2"], ["node-3"], ["node-1", "node-2"]):
                replace(cell, names)
        served_all_again(cell)
        summary, violations = load.finish()
        return report_planned_stops("nodes_replaced_without_pause", summary, violations)


def node_stopped_amid_a_hand_over():
    """A second node is stopped while the first one hands over, some of it to that second node,
    which then gives it on to one that has just started and may not be reachable yet."""
    with Cell(base=24000) as cell:
        load = Load(cell, requests=3600, rate=150, doubles=0)
        for i, between in enumerate((0.05, 0.1, 0.2, 0.3, 0.5, 0.05, 0.1, 0.2, 0.3, 0.5)):
            replace(cell, [cell.names[i % 3], cell.names[(i + 1) % 3]], between)
        served_all_again(cell)
        summary, violations = load.finish()
        return report_planned_stops("node_stopped_amid_a_hand_over", summary, violations)


def long_request_at_a_planned_stop():
    """Trap 11: the node that holds the only connection to a long request is stopped."""
    with Cell(base=24000) as cell:
        load = Load(cell, requests=100, rate=100, doubles=0, job_tasks=0)
        long = cell.start_caller("settlement", 8, 100, timeout_ms=20000, path="/x/sleep-4000",
                                 history="long.txt", nodes=["node-1"])
        time.sleep(1)
        assert cell.stop("node-1") == 0
        answers = cell.finish_caller(long)
        summary, violations = load.finish()
        served = sum(c.get("answered", 0) for c in answers["counts"].values())
        if served != 8:
            violations.append(f"{served} of 8 long requests served: {answers['counts']}")
        return report("long_request_at_a_planned_stop", summary, violations)


if __name__ == "__main__":
    runs = [killed_node, frozen_node, node_cut_from_table, replaced_nodes,
            nodes_replaced_without_pause, node_stopped_amid_a_hand_over,
            long_request_at_a_planned_stop]
    wanted = sys.argv[1:]
    results = [run() for run in runs if not wanted or run.__name__ in wanted]
    sys.exit(0 if all(results) else 1)
