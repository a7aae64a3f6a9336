# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Plays soaks of pathport_jobd: real daemons, a stand-in of the users' platform, faults from
outside. Without arguments: the seeds of CI. By hand: run_soak.py --seeds 50 --first 1000, or
--nodes 100 --workers 150."""

import argparse
import asyncio
import sys
import time

from soak.report import print_table
from soak.schedule import Size
from soak.soak import Soak

CI_SEEDS = (1, 2)


def arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=0, help="how many seeds")
    parser.add_argument("--first", type=int, default=1000, help="the first of them")
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=25, help="how long jobs and faults come")
    parser.add_argument("--rate", type=float, default=0, help="jobs a second")
    parser.add_argument("--faults", type=float, default=0.7, help="faults a second")
    parser.add_argument("--standstill", type=float, default=40,
                        help="seconds that a job which could run may stand still at the end")
    return parser.parse_args()


def main():
    wanted = arguments()
    seeds = [wanted.first + i for i in range(wanted.seeds)] or CI_SEEDS
    size = Size(wanted.nodes, wanted.workers, wanted.seconds,
                wanted.rate or wanted.workers * 0.4, wanted.faults, wanted.standstill)
    results = []
    for seed in seeds:
        began = time.monotonic()
        result = asyncio.run(Soak(seed, size).run())
        results.append(result)
        print(f"soak_{seed}: {time.monotonic() - began:.0f} s, {result.accepted} jobs, "
              f"{result.starts} starts, all ended {result.calm_s:.1f} s after the faults, "
              f"longest standstill {result.standstill[0]:.1f} s {result.standstill[1]}", flush=True)
        for promise, text in result.broken:
            print(f"soak_{seed}: VIOLATION {promise}: {text}", flush=True)
    print_table(results)
    return 1 if any(result.broken for result in results) else 0


if __name__ == "__main__":
    sys.exit(main())
