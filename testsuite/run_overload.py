# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Trap 16: load far over capacity. What is served keeps its window, the rest hears at once that
it was not run and when to come back, and nothing collapses once the load ends."""

import sys

from cell import Cell, wait_until
from faults import SERVICE, Load, outcomes, report, served_all_again


def overload():
    # Two boxes of 8 slots and 40 ms: 400 requests a second; 1200 are offered.
    with Cell(base=28000, boxes=2, domains=2, service_ms=40) as cell:
        cell.service(SERVICE, 2, window_ms=500)
        wait_until(lambda: cell.running(SERVICE) == 2, 20, "2 replicas")
        load = Load(cell, requests=6000, rate=1200, doubles=0, replicas=2, job_tasks=0)
        summary, violations = load.finish()
        served = sum(outcomes(summary, kind).get("answered", 0)
                     for kind in ("repeatable", "single"))
        refused = sum(outcomes(summary, kind).get("not_run", 0)
                      for kind in ("repeatable", "single"))
        print(f"overload: {served} served, {refused} refused as not run, of 6000")
        if served == 0 or refused == 0:
            violations.append("the load was no overload")
        served_all_again(cell)
        return report("overload", summary, violations)


if __name__ == "__main__":
    sys.exit(0 if overload() else 1)
