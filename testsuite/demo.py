# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""The whole path on stand-ins: 3 nodes, 8 boxes in 4 failure domains. Sends requests of both
kinds while one node is killed, and prints what came of them. Exits 0 only where each answer
belongs to its request and nothing ran twice."""

import os
import sys
import time

import checks
from cell import Cell, wait_until

REQUESTS = 3000
RATE = 300


def now_ms():
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1000)


def main():
    with Cell(nodes=3, boxes=8, domains=4) as cell:
        cell.service("settlement", 8)
        wait_until(lambda: cell.running("settlement") == 8, 20, "8 replicas")
        cell.job("standings", 40)
        start = time.monotonic()
        caller = cell.start_caller("settlement", REQUESTS, RATE, doubles=10,
                                   history="caller.txt")
        time.sleep(REQUESTS / RATE * 0.4)
        cell.kill("node-2")
        print("node-2 was killed under load")
        summary = cell.finish_caller(caller)
        seconds = time.monotonic() - start
        wait_until(lambda: cell.ctl("job", "standings")[1]["open"] == 0, 30, "the job's end")
        _, job = cell.ctl("job", "standings")
        _, audit = cell.ctl("audit")
        costs = {n: (cell.metric(n, "pathport_process_cpu_seconds"),
                     cell.metric(n, "pathport_process_resident_bytes"))
                 for n in cell.names if cell.processes[n].poll() is None}
        histories = cell.histories()
        records = checks.read_caller_history(os.path.join(cell.folder, "caller.txt"))
        violations = checks.check_all(records, histories, summary, now_ms())
        print(f"requests {REQUESTS} at {RATE}/s, a tenth of the single ones sent twice at once")
        for kind, counts in sorted(summary["counts"].items()):
            print(f"  {kind:<11} served {counts.get('answered', 0):>5}"
                  f"  not run {counts.get('not_run', 0):>4}"
                  f"  unknown {counts.get('may_have_run', 0):>4}"
                  f"  failed {counts.get('failed', 0):>4}")
        wait = summary["wait_ms"]
        print(f"waiting time beyond the service's own: p50 {wait['p50']} ms,"
              f" p99 {wait['p99']} ms, p99.9 {wait['p999']} ms")
        for name, (cpu, memory) in costs.items():
            print(f"  {name}: {cpu / seconds * 100:.1f}% of a core,"
                  f" {memory / 1048576:.0f} MB (requests included)")
        print(f"job standings: {job['done']} of {job['tasks']} tasks done;"
              f" audit trail: {len(audit)} records")
        print(f"reasons given: {summary['reasons']}")
        for violation in violations[:20]:
            print("VIOLATION: " + violation)
        if job["done"] != job["tasks"]:
            violations.append("the job did not end well")
        print("all checks held" if not violations else f"{len(violations)} checks failed")
        return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
