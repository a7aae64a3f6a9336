#!/usr/bin/env python3
# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Measures what each mechanism is worth: plays days with each switched off.

    scripts/ablation.py SITE.toml... --bench PATH --why TEXT --checkout DIR [--seeds 1,2,3] [--jobs 6]
        [--trouble-only] [--mechanisms a,b] [--cpu] [--state FILE]

DIR is a scratch checkout of the project that is built; the setting `off` of `[experiments]` is written
into its template of settings, so run nothing else there meanwhile. What has been played is kept in FILE
(JSON, one outcome a line) and not played again, so the script may be stopped and started anew; delete
FILE after a change of the code. Prints, for each site, the mean worth with all mechanisms and the change
with each one off, with the spread of that change over days and seeds.
"""
import argparse
import json
import pathlib
import re
import statistics
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "testsuite"))
import plays  # noqa: E402

ALL_ON = "none"
TEMPLATE = "deploy/node.ini.template"
SOURCE = "src/jobs.lib/mechanisms.cpp"
SECTION = re.compile(r"\n\[experiments\]\noff = .*\n")


def mechanism_names(checkout):
    """Returns the names of all mechanisms, from the source that declares them."""
    source = checkout / SOURCE
    try:
        text = source.read_text()
    except OSError as error:
        sys.exit(f"{source}: {error.strerror}")
    table = re.search(r"\bmechanism_names\[mechanism_count\] = \{(.*?)\};", text, re.S)
    names = re.findall(r'"(\w+)"', table.group(1)) if table else []
    if not names:
        sys.exit(f"{source}: no names found in a table 'mechanism_names[mechanism_count]'")
    return names


def switch_off(checkout, name):
    """Writes the template of settings anew."""
    template = checkout / TEMPLATE
    text = SECTION.sub("", template.read_text())
    if name != ALL_ON:
        text += f"\n[experiments]\noff = {name}\n"
    template.write_text(text)


def load_state(path):
    """Returns {(off, site, day, seed): [worth, breaks]} of what was played before."""
    state = {}
    if path.exists():
        for number, line in enumerate(path.read_text().splitlines(), 1):
            try:
                entry = json.loads(line)
                state[tuple(entry["key"])] = entry["outcome"]
            except (ValueError, KeyError) as error:
                sys.exit(f"{path}:{number}: not read: {error}")
    return state


def play_missing(args, checkout, off, wanted, state):
    """Plays what is wanted with a mechanism off and not known yet."""
    missing = [play for play in wanted if (off, play.site, play.day, play.seed) not in state]
    if not missing:
        return
    switch_off(checkout, off)
    outcomes = plays.run_all(missing, args.jobs, bench=args.bench, why=f"{args.why}; off: {off}", cpu=args.cpu,
                             cwd=checkout)
    with open(args.state, "a") as file:
        for outcome in outcomes:
            key = (off, outcome.play.site, outcome.play.day, outcome.play.seed)
            state[key] = [outcome.worth, outcome.breaks]
            file.write(json.dumps({"key": key, "outcome": state[key]}) + "\n")


def print_table(names, wanted, state):
    """Prints a row for each mechanism and a column for each site."""
    sites = sorted({play.site for play in wanted})
    print("| off | " + " | ".join(pathlib.Path(site).stem for site in sites) + " | broken |")
    print("| --- |" + " --- |" * (len(sites) + 1))
    for off in names:
        cells, broken = [], []
        for site in sites:
            mine = [play for play in wanted if play.site == site]
            worths = [state[(off, p.site, p.day, p.seed)] for p in mine]
            base = [state[(ALL_ON, p.site, p.day, p.seed)] for p in mine]
            broken += [f"{p.day}/{p.seed} {w[1]}" for p, w in zip(mine, worths) if w[1]]
            pairs = [(w[0], b[0]) for w, b in zip(worths, base) if w[0] is not None and b[0] is not None]
            if off == ALL_ON:
                cells.append(f"{statistics.mean(w for w, _ in pairs):.4f}")
                continue
            changes = [w - b for w, b in pairs]
            error = statistics.stdev(changes) / len(changes) ** .5 if len(changes) > 1 else 0
            cells.append(f"{statistics.mean(changes):+.4f} ± {error:.4f}")
        print(f"| {off} | " + " | ".join(cells) + f" | {'; '.join(broken)} |")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--bench", required=True, help="the users' bench")
    parser.add_argument("--why", required=True, help="the line for the journal")
    parser.add_argument("--checkout", required=True, help="a scratch checkout, built")
    parser.add_argument("--mechanisms", help="names, with commas between; all otherwise")
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--trouble-only", action="store_true", help="leave out quiet days")
    parser.add_argument("--cpu", action="store_true", help="charge processor time")
    parser.add_argument("--state", default="ablation.jsonl", help="where outcomes are kept")
    args = parser.parse_args()
    args.state = pathlib.Path(args.state)
    checkout = pathlib.Path(args.checkout).resolve()
    names = mechanism_names(checkout)
    chosen = args.mechanisms.split(",") if args.mechanisms else names
    unknown = sorted(set(chosen) - set(names))
    if unknown:
        sys.exit(f"unknown mechanisms {unknown}; known are {names}")
    wanted = [plays.Play(str(pathlib.Path(site).resolve()), day, int(seed)) for site in args.sites
              for day in plays.days_of(site, args.trouble_only) for seed in args.seeds.split(",")]
    state = load_state(args.state)
    try:
        for off in [ALL_ON, *chosen]:
            play_missing(args, checkout, off, wanted, state)
    finally:
        switch_off(checkout, ALL_ON)
        subprocess.run(["git", "-C", str(checkout), "status", "--short", TEMPLATE], check=False)
    print_table([ALL_ON, *chosen], wanted, state)


if __name__ == "__main__":
    main()
