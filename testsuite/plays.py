#!/usr/bin/env python3
# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Plays days of sites with several seeds on the users' bench, and prints what they were worth.

    testsuite/plays.py SITE.toml... --bench PATH --why TEXT [--days trouble-1,scale-1] [--seeds 1,2,3]
        [--jobs 6] [--cpu] [--small] [--keep DIR]

Run from the root of a checkout that is built. Processor time is not charged unless --cpu is given: a day
then mostly repeats, and plays beside each other don't disturb it. --small plays the small
twins of large days. Prints a row for each day and kind of request, means over the seeds with the least and the most. Exit code 1 if a rule was broken, 2 if a play
gave no report.
"""
import argparse
import collections
import concurrent.futures
import contextlib
import dataclasses
import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import tomllib


@dataclasses.dataclass(frozen=True)
class Play:
    """A day of a site with one seed."""
    site: str
    day: str
    seed: int


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a play was worth; `worth` is None when it gave no report."""
    play: Play
    worth: float | None
    whole: float = 0.0
    windows: float = 0.0
    kind: float = 0.0
    prices: float = 0.0
    classes: dict = dataclasses.field(default_factory=dict)
    breaks: dict = dataclasses.field(default_factory=dict)


def days_of(site, with_trouble_only=False):
    """Returns the names of the standard days of a site."""
    with open(site, "rb") as file:
        names = [day["name"] for day in tomllib.load(file)["day"]]
    return [name for name in names if not (with_trouble_only and name.startswith("quiet"))]


def outcome_of(play, report):
    """Returns the outcome that a report of the bench tells."""
    parts = {name: value for name, _, value in report["parts"]}
    return Outcome(play, report["G"], parts.get("whole day", 0), parts.get("worst windows", 0),
                   parts.get("worst class", 0), sum(price for _, _, price in report["prices"]),
                   {kind["name"]: kind["worth"] for kind in report["classes"]}, report["breaks"])


def run(play, bench, why, cpu=False, small=False, keep=None, cwd=None):
    """Plays a day; with `keep`, its report and the nodes' logs stay there."""
    with contextlib.ExitStack() as stack:
        folder = keep or stack.enter_context(tempfile.TemporaryDirectory(dir=os.environ.get("HOME")))
        stem = pathlib.Path(folder) / f"{pathlib.Path(play.site).stem}-{play.day}-{play.seed}"
        report, log = stem.with_suffix(".json"), stem.with_suffix(".log")
        command = [bench, "run", play.site, play.day, "--seed", str(play.seed), "--report", str(report), "--why", why]
        command += [] if cpu else ["--no-cpu"]
        command += ["--small"] if small else []
        command += ["--log", "all"] if keep else []
        with open(log, "w") as output:
            subprocess.run(command, stdout=output, stderr=output, cwd=cwd, check=False)
        try:
            return outcome_of(play, json.loads(report.read_text()))
        except (OSError, ValueError, KeyError) as error:
            tail = log.read_text(errors="replace")[-400:]
            print(f"no report of {play}: {error}: {tail}", file=sys.stderr)
            return Outcome(play, None)


def run_all(plays, jobs, **how):
    """Plays all, `jobs` beside each other; returns their outcomes in order."""
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        return list(pool.map(lambda play: run(play, **how), plays))


def spread(values):
    """Returns mean, least and most as text."""
    return f"{statistics.mean(values):.3f} ({min(values):.3f} to {max(values):.3f})"


def print_table(outcomes):
    """Prints the mean of each day and of each kind of request, and the sites' means."""
    by_site = collections.defaultdict(lambda: collections.defaultdict(list))
    for outcome in outcomes:
        if outcome.worth is not None:
            by_site[outcome.play.site][outcome.play.day].append(outcome)
    for site, days in by_site.items():
        print(f"{pathlib.Path(site).stem}")
        for day, plays in days.items():
            kinds = " ".join(f"{kind[:10]} {statistics.mean(p.classes[kind] or 0 for p in plays):.3f}"
                             for kind in plays[0].classes)
            print(f"  {day:10} {spread([p.worth for p in plays])}  whole {statistics.mean(p.whole for p in plays):.3f}"
                  f" windows {statistics.mean(p.windows for p in plays):.3f}"
                  f" kind {statistics.mean(p.kind for p in plays):.3f}"
                  f" prices {statistics.mean(p.prices for p in plays):.3f}  {kinds}")
        trouble = [statistics.mean(p.worth for p in plays) for day, plays in days.items() if not day.startswith("quiet")]
        if trouble:
            print(f"  mean of the days with trouble: {statistics.mean(trouble):.4f}")
    for outcome in outcomes:
        if outcome.breaks:
            print(f"BROKEN {outcome.play}: {outcome.breaks}")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--bench", required=True, help="the users' bench")
    parser.add_argument("--why", required=True, help="the line for the journal")
    parser.add_argument("--days", help="names, with commas between; all standard ones otherwise")
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--cpu", action="store_true", help="charge processor time")
    parser.add_argument("--small", action="store_true", help="play the small twins of large days")
    parser.add_argument("--keep", help="folder for reports and logs")
    args = parser.parse_args()
    if args.keep:
        pathlib.Path(args.keep).mkdir(parents=True, exist_ok=True)
    plays = [Play(site, day, int(seed)) for site in args.sites
             for day in (args.days.split(",") if args.days else days_of(site)) for seed in args.seeds.split(",")]
    outcomes = run_all(plays, args.jobs, bench=args.bench, why=args.why, cpu=args.cpu, small=args.small,
                       keep=args.keep)
    print_table(outcomes)
    sys.exit(2 if any(o.worth is None for o in outcomes) else 1 if any(o.breaks for o in outcomes) else 0)


if __name__ == "__main__":
    main()
