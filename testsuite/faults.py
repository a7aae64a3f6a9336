# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""What the fault runs share: a load of both kinds of requests, and the checks at its end."""

import os
import time

import checks
from cell import wait_until

SERVICE = "settlement"


def now_ms():
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1000)


class Load:
    """A load on the settlement service, with a batch job beside it."""

    def __init__(self, cell, requests=2400, rate=200, doubles=10, replicas=8, job_tasks=30,
                 job_ms=400):
        self.cell = cell
        cell.service(SERVICE, replicas)
        wait_until(lambda: cell.running(SERVICE) == replicas, 20, f"{replicas} replicas")
        self.job_tasks = job_tasks
        if job_tasks:
            cell.job("standings", job_tasks, duration_ms=job_ms)
        self.caller = cell.start_caller(SERVICE, requests, rate, doubles=doubles,
                                        history="caller.txt")

    def finish(self):
        """Waits for the end, and returns (summary, violations)."""
        cell = self.cell
        summary = cell.finish_caller(self.caller)
        if self.job_tasks:
            wait_until(lambda: cell.ctl("job", "standings")[1]["open"] == 0, 90, "the job's end")
        records = checks.read_caller_history(os.path.join(cell.folder, "caller.txt"))
        violations = checks.check_all(records, cell.histories(), summary, now_ms())
        if self.job_tasks:
            _, job = cell.ctl("job", "standings")
            if job["done"] != self.job_tasks:
                violations.append(f"{job['done']} of {self.job_tasks} tasks ended well")
        return summary, violations


def outcomes(summary, kind):
    """Returns the counts of one kind of requests by outcome."""
    return summary["counts"].get(kind, {})


def served_all_again(cell, service=SERVICE, seconds=20):
    """Waits until requests of both kinds are all served again."""
    def all_served():
        done = cell.finish_caller(cell.start_caller(service, 60, 200))
        return sum(c.get("answered", 0) for c in done["counts"].values()) == 60
    wait_until(all_served, seconds, "all requests served again")


def report(name, summary, violations):
    """Prints one run's result; returns whether it was clean."""
    print(f"{name}: {summary['counts']} wait {summary['wait_ms']} reasons {summary['reasons']}",
          flush=True)
    for violation in violations[:10]:
        print(f"{name}: VIOLATION {violation}", flush=True)
    return not violations
