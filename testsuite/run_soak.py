# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Plays soaks of pathport_jobd: real daemons, a stand-in of the users' platform, faults from
outside. Without arguments: the seed of CI and one of each cause that failed. By hand:
run_soak.py --seeds 50 --first 1000, or --nodes 100 --workers 150."""

import argparse
import asyncio
import signal
import sys
import time

from soak.daemons import Daemon
from soak.report import print_silences, print_table
from soak.schedule import Size
from soak.seeds import one_of_each_cause
from soak.soak import Soak

CI_SEED = 1
CI_SIZE = Size(load_s=20, jobs_per_s=4, faults_per_s=1)
CALLERS_SEED = 2
CALLERS_SIZE = Size(load_s=20, jobs_per_s=5, faults_per_s=0.6, rekeys_per_s=0.8, drains_per_s=0.2)
USUAL_NODES, USUAL_WORKERS = 4, 8
JOBS_PER_WORKER, MOST_JOBS = 0.4, 20  # A second.
MOST_CAUSES = 6  # So many seeds that failed once fit into CI's time.


def arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=0, help="how many seeds")
    parser.add_argument("--first", type=int, default=1000, help="the first of them")
    parser.add_argument("--nodes", type=int, default=0, help="how many daemons, 4 if not said")
    parser.add_argument("--workers", type=int, default=0, help="8 if not said")
    parser.add_argument("--seconds", type=float, default=25, help="how long jobs and faults come")
    parser.add_argument("--rate", type=float, default=0, help="jobs a second")
    parser.add_argument("--faults", type=float, default=0.7, help="faults a second")
    parser.add_argument("--silences", type=float, default=Size.silences_per_s,
                        help="how often a second open connections go silent; with --faults 0 it is "
                        "measured how soon work goes on")
    parser.add_argument("--cancels", type=float, default=Size.cancels_per_s,
                        help="jobs a second that are cancelled soon")
    parser.add_argument("--routes", type=float, default=Size.routes_per_s,
                        help="changes of the configuration a second that add or drop a route")
    parser.add_argument("--restarts", type=float, default=0.15,
                        help="how often a second workers start again under their ids")
    parser.add_argument("--crashers", type=float, default=0.15,
                        help="jobs a second with tasks that crash their workers")
    parser.add_argument("--resizes", type=float, default=0.15,
                        help="how often a second workers have less room for a while")
    parser.add_argument("--rekeys", type=float, default=0.3,
                        help="changes of keys and bounds a second; 0: callers have no keys")
    parser.add_argument("--drains", type=float, default=0.1,
                        help="how often a second failure domains are drained for a while")
    parser.add_argument("--refusals", type=float, default=0.15,
                        help="how often a second links refuse connections, most of them to workers "
                        "that run on")
    parser.add_argument("--link-mbps", type=float, default=Daemon.link_mbps,
                        help="what the daemons are told of their links; with 0.05 calls go through relays")
    parser.add_argument("--standstill", type=float, default=40,
                        help="seconds that a job which could run may stand still at the end")
    return parser.parse_args()


def plays(wanted):
    """Returns the (seed, size) to play."""
    if not (wanted.seeds or wanted.nodes or wanted.workers):
        return [(CI_SEED, CI_SIZE), (CALLERS_SEED, CALLERS_SIZE)] + [(failed.seed, failed.size)
                                       for failed in one_of_each_cause()[-MOST_CAUSES:]]
    workers = wanted.workers or USUAL_WORKERS
    size = Size(wanted.nodes or USUAL_NODES, workers, wanted.seconds,
                wanted.rate or min(MOST_JOBS, workers * JOBS_PER_WORKER), wanted.faults,
                wanted.standstill, wanted.silences, wanted.cancels, wanted.routes,
                wanted.restarts, wanted.crashers, wanted.resizes, wanted.rekeys, wanted.drains,
                wanted.refusals)
    return [(wanted.first + i, size) for i in range(wanted.seeds or 1)]


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    results = []
    wanted = arguments()
    Daemon.link_mbps = wanted.link_mbps
    for seed, size in plays(wanted):
        began = time.monotonic()
        result = asyncio.run(Soak(seed, size).run())
        results.append(result)
        print(f"soak_{seed}: {time.monotonic() - began:.0f} s, {result.accepted} jobs, "
              f"{result.starts} starts, all ended {result.calm_s:.1f} s after the faults, "
              f"longest standstill {result.standstill[0]:.1f} s {result.standstill[1]}", flush=True)
        print_silences(result)
        for promise, text in result.broken:
            print(f"soak_{seed}: VIOLATION {promise}: {text}", flush=True)
    print_table(results)
    return 1 if any(result.broken for result in results) else 0


if __name__ == "__main__":
    sys.exit(main())
