# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""The table goes away, turns slow and loses answers; boxes die, restart, freeze and leave."""

import json
import os
import subprocess
import sys
import time

from cell import BIN, KEY, Cell, http, wait_until
from faults import Load, outcomes, report, served_all_again


def table_outage():
    """The table is away for a while. Requests of both kinds go on; a change of configuration is
    refused truthfully; a node that starts meanwhile (trap 13) has the configuration in force."""
    with Cell(base=25000) as cell:
        load = Load(cell, requests=3000, rate=150, doubles=0)
        time.sleep(2)
        cell.faults(down=True)
        time.sleep(4)
        code, answer = cell.apply("services", "late", {
            "name": "late", "team": "team-a", "replicas": 1,
            "resources": {"cpu_millis": 100, "memory_mb": 64}}, check=False)
        violations = []
        if code != 6:
            violations.append(f"a change in the outage gave exit code {code}: {answer}")
        cell.kill("node-3")
        cell.start_node("node-3")
        wait_until(lambda: cell.ctl("get", "services", "settlement", node="node-3",
                                    check=False)[0] == 0, 20, "configuration from peers")
        probe = cell.finish_caller(cell.start_caller("settlement", 100, 100,
                                                     nodes=["node-1", "node-2"]))
        if outcomes(probe, "repeatable").get("answered", 0) != 50:
            violations.append(f"repeatable requests in the outage: {probe['counts']}")
        cell.faults()
        served_all_again(cell, seconds=30)
        summary, more = load.finish()
        return report("table_outage", summary, violations + more)


def table_outage_without_deaths():
    """While all nodes live, an outage of the table is not seen by callers at all."""
    with Cell(base=25000) as cell:
        load = Load(cell, requests=2400, rate=200, doubles=0, job_tasks=0)
        time.sleep(1)
        cell.faults(down=True)
        time.sleep(8)
        cell.faults()
        summary, violations = load.finish()
        for kind in ("repeatable", "single"):
            if outcomes(summary, kind).get("answered", 0) != 1200:
                violations.append(f"{kind}: {outcomes(summary, kind)}")
        return report("table_outage_without_deaths", summary, violations)


def slow_and_lossy_table():
    """Traps 2 and 14: the table takes a second for each transaction, then loses answers, while
    jobs are submitted and configuration is changed."""
    with Cell(base=25000) as cell:
        load = Load(cell, requests=2400, rate=150, doubles=10)
        cell.faults(delay_ms=1200)
        cell.job("slow", 10)
        time.sleep(4)
        cell.faults()
        accepted = []
        for i in range(8):
            cell.faults(lose_answers=2)
            code, answer = cell.service("extra", 1 + i % 3)
            if code == 0:
                accepted.append(answer["revision"])
            cell.job(f"lossy-{i}", 5)
        cell.faults()
        violations = []
        if accepted != sorted(set(accepted)):
            violations.append(f"accepted revisions {accepted}")
        for job, tasks in [("slow", 10)] + [(f"lossy-{i}", 5) for i in range(8)]:
            wait_until(lambda j=job, t=tasks: cell.ctl("job", j)[1]["done"] == t, 40,
                       f"{job} done")
        served_all_again(cell, seconds=30)
        summary, more = load.finish()
        return report("slow_and_lossy_table", summary, violations + more)


def boxes_come_and_go():
    """Trap 10 and lost boxes: a box dies and comes back under its address as another
    incarnation; one freezes beyond its lease and wakes with its tasks (trap 5); one leaves."""
    with Cell(base=25000, extra="lease_ms = 3000\n") as cell:
        load = Load(cell, requests=3600, rate=150, doubles=10, job_tasks=60, job_ms=2500)
        time.sleep(2)
        cell.kill("box-1")
        cell.start_box("box-1")
        time.sleep(1)
        cell.freeze("box-2")
        time.sleep(8)
        cell.thaw("box-2")
        cell.ctl("drain", "box-3")
        before = len(cell.box_history("box-3")["requests"])
        wait_until(lambda: cell.running("settlement") == 8, 30, "8 replicas without box-3")
        time.sleep(3)
        drained = len(cell.box_history("box-3")["requests"])
        time.sleep(2)
        violations = []
        if len(cell.box_history("box-3")["requests"]) != drained:
            violations.append(f"box-3 got requests {drained - before} after it was drained")
        cell.kill("box-4")
        http("POST", cell.box_list, "/control/state?box=box-4&state=gone")
        wait_until(lambda: cell.running("settlement") == 8, 30, "8 replicas without box-4")
        served_all_again(cell)
        summary, more = load.finish()
        return report("boxes_come_and_go", summary, violations + more)


def two_operators():
    """Trap 12: two operators change one row through two nodes at the same time, again and again.
    Each revision is accepted once, and all nodes end with the last one."""
    with Cell(base=25000) as cell:
        cell.service("settlement", 1)
        accepted = {}
        conflicts = 0
        last = 1
        for i in range(15):
            # A node's view may lag behind; the operators look at the present row.
            wait_until(lambda: cell.ctl("status", node="node-1")[1]["config_revision"] == last,
                       3, f"revision {last} in force on node-1")
            _, row = cell.ctl("get", "services", "settlement")
            pair = []
            for name, replicas in (("node-1", 2 + 2 * i), ("node-2", 3 + 2 * i)):
                value = dict(row["value"], replicas=replicas)
                pair.append(start_change(cell, name, value, row["revision"]))
            for process in pair:
                out, _ = process.communicate(timeout=30)
                if process.returncode == 0:
                    revision = json.loads(out)["revision"]
                    assert revision not in accepted, f"revision {revision} accepted twice"
                    accepted[revision] = True
                else:
                    assert process.returncode == 4, f"exit code {process.returncode}: {out}"
                    conflicts += 1
            last = max(accepted)
        wait_until(lambda: all(cell.ctl("status", node=n)[1]["config_revision"] == last
                               for n in cell.names), 3, "the last revision in force everywhere")
        print(f"two_operators: {len(accepted)} accepted, {conflicts} conflicts")
        return len(accepted) == 15 and conflicts == 15


def start_change(cell, node, value, revision):
    """Starts pathportctl with a change that expects `revision`."""
    process = subprocess.Popen(
        [os.path.join(BIN, "pathportctl"), "--key", KEY, "--json", "--expect", str(revision),
         "--node", f"127.0.0.1:{cell.ports(node)['operators']}",
         "apply", "services", "settlement", "-"],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
    process.stdin.write(json.dumps(value))
    process.stdin.close()
    process.stdin = None
    return process


if __name__ == "__main__":
    runs = [table_outage, table_outage_without_deaths, slow_and_lossy_table, boxes_come_and_go,
            two_operators]
    wanted = sys.argv[1:]
    results = [run() for run in runs if not wanted or run.__name__ in wanted]
    sys.exit(0 if all(results) else 1)
