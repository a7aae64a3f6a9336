#!/usr/bin/env python3
# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Plays long days of a site, full of troubles of every kind that `fleetbench kinds` lists.

    testsuite/random_days.py SITE.toml --bench PATH --why TEXT [--days 20] [--seed 1] [--jobs 4]
        [--shape crowded|prompt|leaving] [--menu 1|2|3] [--always KIND[:HOW]] [--small] [--sign EVENT]
        [--keep DIR] [--replay DIR]

Run from the project's root. Unlike `fleetbench hunt`, the days are about as long as the users' own (the
site is copied with another `length_s`), and the troubles come in crowds: alone all over the day, in
pairs that overlap, the same one twice within a lease, and many in the last seconds of the traffic,
where what they leave behind must still be put right after it. That is the shape "crowded". On a day of
the shape "prompt" half of the jobs are cancelled soon after their acknowledgement from beginning to end;
one or two pairs of troubles strike who gave the last orders while leaders can't see what runs, at times
with workers away as well, and the rest of the day is calm, so that a task left behind is seen. A day of
the shape "leaving" has a few episodes: the store is away and leases run out, soon after its return workers
leave, and meanwhile links to workers refuse connections, so that a worker that runs on looks like one that
has ended; the last episode begins early enough for tasks to end after it.

Each day is a function of (site, seed, index) and of --shape, --menu, --always and --length alone; `--menu 1`
and `--menu 2` draw the days of before the later menus. Of a day that breaks a rule, or whose logs show an
event named by --sign, DIR keeps the TOML, the bench's output and the nodes' logs (--no-log: without these).
Ends with a summary line. Exit code 1 if a rule was broken, 2 if a day didn't play.
"""
import argparse
import collections
import collections.abc
import concurrent.futures
import contextlib
import dataclasses
import os
import pathlib
import random
import re
import subprocess
import sys
import threading
import tomllib

from day_menu import (ABSENCES, BLINDERS, DEPARTURES, MENUS, ORDER_GIVERS, OUTAGES, REFUSED_LEADERS,
                      REFUSED_WORKERS)

CLOSINGS = [
    dict(kind="kill_all", down_s=(.3, 2)),
    dict(kind="power_off_all", down_s=(.3, 2), how=["", "all", "taken", "timed"]),
    dict(kind="wipe_after_ack", down_s=(.3, 2)),
    None,
]
LEASE_S = 3.0
READ_BACK_S = 3.0  # so long after the traffic's end the configuration is read back
CALM_S = 22.0  # a late order comes up to 12 s after a trouble of 6 s; then what it leaves is to be seen
EPISODE_S = 20.0  # an outage of 6 s, workers that leave up to 6 s after it, and what the lapsed leases delay
END_S = 15.0  # troubles of the end come at most so long before the end of traffic


def draw(rng, entry, at):
    drawn = {}
    for key, value in entry.items():
        if isinstance(value, list):
            value = rng.choice(value)
        elif isinstance(value, tuple):
            value = round(rng.uniform(*value), 2)
        if value != "":
            drawn[key] = value
    if at is not None:
        drawn["at"] = round(at, 2)
    return drawn


def any_trouble(rng, at, crowds):
    return draw(rng, rng.choice(rng.choice(crowds)), at)


def draw_crowded(rng, length, args):
    """Returns the troubles of a crowded day; `args.density` is how many incidents it has a second."""
    menu = MENUS[args.menu]

    def when():
        if rng.random() < .4:
            return rng.uniform(max(1, length - END_S), length - .5)
        return rng.uniform(1, length - 2)

    troubles = []
    for _ in range(max(2, round(length * args.density * rng.uniform(.5, 1.5)))):
        at, shape = when(), rng.random()
        if shape < .3:
            troubles.append(any_trouble(rng, at, menu.crowds()))
        elif shape < .75:  # a crowd that overlaps: the leader or the store, and the workers or more
            crowd = [any_trouble(rng, at, [menu.leaders, menu.leaders, menu.store])]
            crowd += [any_trouble(rng, at + rng.uniform(-2, 2), menu.crowds())
                      for _ in range(rng.choice([1, 1, 2, 3]))]
            troubles += crowd
        else:  # the same twice within a lease
            trouble = any_trouble(rng, at, [menu.leaders, menu.store, menu.workers])
            troubles += [trouble, dict(trouble, at=round(at + rng.uniform(.2, LEASE_S), 2))]
    for name in args.always:
        troubles += [draw(rng, menu.named(name), when()) for _ in range(2)]
    for trouble in troubles:
        trouble["at"] = round(min(length - .3, max(.5, trouble["at"])), 2)
        end_outage_in_time(trouble, length)
    return troubles


def draw_prompt(rng, length, args):
    """Returns the troubles of a day of prompt cancelling; the last of them begins CALM_S before its end."""
    cancelling = dict(kind="give_up", how="prompt", share=.5, x=rng.choice([20, 80, 250, 700, 1500]), at=.5,
                      for_s=round(length - 1, 2))
    troubles = [cancelling]
    for _ in range(rng.choice([1, 1, 2])):
        at = rng.uniform(4, max(5, length - CALM_S))
        blinder = draw(rng, rng.choice(BLINDERS), at)
        struck = at + rng.uniform(.2, .9) * blinder["for_s"]
        troubles += [blinder, draw(rng, rng.choice(ORDER_GIVERS), struck)]
        if rng.random() < .5:
            troubles.append(draw(rng, rng.choice(ABSENCES), at + rng.uniform(.2, .9) * blinder["for_s"]))
    for name in args.always:
        at = rng.uniform(4, max(5, length - CALM_S))
        troubles += [draw(rng, MENUS[args.menu].named(name), at + rng.uniform(0, 2)) for _ in range(2)]
    return troubles


def draw_leaving(rng, length, args):
    """Returns the troubles of a day of workers that leave behind links that refuse connections."""
    menu = MENUS[args.menu]
    troubles = []
    for episode in range(max(1, int((length - 2) / EPISODE_S))):
        begins = 2 + episode * EPISODE_S
        outage = draw(rng, rng.choice([OUTAGES[0], OUTAGES[0], OUTAGES[1]]), begins + rng.uniform(0, 2))
        back = outage["at"] + outage["for_s"]
        # Entries that lapsed are missing when the store is back: workers leave just before that, or later.
        notice = back + rng.choice([rng.uniform(-2.5, -.3), rng.uniform(0, 6)])
        leaving = draw(rng, rng.choice(DEPARTURES), notice)
        # Links refuse once the end is announced, and before the workers are gone ...
        refusing = draw(rng, rng.choice(REFUSED_WORKERS), leaving["at"] + rng.uniform(.2, 1.8))
        troubles += [outage, leaving, refusing]
        if rng.random() < .35:  # ... or at any time around it
            troubles.append(draw(rng, rng.choice(REFUSED_WORKERS), leaving["at"] + rng.uniform(-1.5, 6)))
        if rng.random() < .35:
            troubles.append(draw(rng, rng.choice(REFUSED_LEADERS), leaving["at"] + rng.uniform(-1, 3)))
        if rng.random() < .35:
            troubles.append(any_trouble(rng, leaving["at"] + rng.uniform(-2, 4), menu.crowds()))
        # Others take the place of those that left, so that later episodes have workers to strike.
        if "how" not in leaving:
            troubles.append(dict(kind="scale_out", share=leaving["share"], gap_s=.3,
                                 at=round(leaving["at"] + rng.uniform(3, 6), 2)))
    for name in args.always:
        troubles += [draw(rng, menu.named(name), rng.uniform(1, length - 2)) for _ in range(2)]
    for trouble in troubles:
        end_outage_in_time(trouble, length)
    return troubles


def end_outage_in_time(trouble, length):
    """The bench reads the configuration back from the store some 3 s after the traffic's end, and blames
    the nodes if the store is away then (days b-62 and z1-24: all nodes had applied it 5 s before)."""
    if trouble["kind"] != "platform_down" or "nodes" in trouble.get("how", ""):
        return
    latest = length + READ_BACK_S - 1.0
    trouble["for_s"] = round(max(.3, min(trouble["for_s"], latest - trouble["at"])), 2)


@dataclasses.dataclass(frozen=True)
class Shape:
    """How a day's troubles are laid out."""

    draw: collections.abc.Callable  # (rng, seconds of traffic, arguments) -> troubles
    closings: list
    length: float  # seconds of traffic unless told otherwise


SHAPES = {
    "crowded": Shape(draw_crowded, CLOSINGS, 100.0),
    "prompt": Shape(draw_prompt, [None], 42.0),
    "leaving": Shape(draw_leaving, [None], 64.0),
}


def toml_value(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return '"%s"' % value
    if isinstance(value, list):
        return "[" + ", ".join(toml_value(v) for v in value) + "]"
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{k} = {toml_value(v)}" for k, v in value.items()) + " }"
    return repr(value)


def make_day(site, args, index):
    """Returns the TOML text of a day."""
    shape = SHAPES[args.shape]
    rng = random.Random(f"{site['name']}/{args.seed}/{index}")
    base = rng.choice([d for d in site["day"] if d.get("traffic")])
    day = {k: v for k, v in base.items() if k not in ("plan", "faults", "name", "seed", "closing")}
    day["seed"] = rng.randrange(1, 10**9)
    closing = rng.choice(shape.closings)
    if closing:
        day["closing"] = draw(rng, closing, None)
    day["faults"] = sorted(shape.draw(rng, args.length, args), key=lambda t: t["at"])
    lines = ["[[day]]", f'name = "random-{args.seed}-{index}"']
    lines += [f"{key} = {toml_value(value)}" for key, value in day.items()]
    return "\n".join(lines) + "\n"


def longer_site(site_path, length, keep):
    """Writes a copy of the site whose traffic lasts `length` seconds, beside a link to its messages."""
    text = re.sub(r"(?m)^length_s = .*$", f"length_s = {length}", site_path.read_text(), count=1)
    wire = tomllib.loads(text).get("wire")
    if wire:
        with contextlib.suppress(FileExistsError):
            (keep / wire).symlink_to((site_path.parent / wire).resolve())
    copy = keep / f"{site_path.stem}-{length:g}s.toml"
    # Plays side by side write the same copy, in one process or in several.
    fresh = copy.with_suffix(f".{os.getpid()}-{threading.get_ident()}")
    fresh.write_text(text)
    fresh.replace(copy)
    return copy


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site")
    parser.add_argument("--bench", required=True, help="the users' bench")
    parser.add_argument("--why", required=True, help="the line for the journal")
    parser.add_argument("--days", type=int, default=20)
    parser.add_argument("--first", type=int, default=0, help="index of the first day")
    parser.add_argument("--seed", default="1")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--shape", choices=SHAPES, default="crowded")
    parser.add_argument("--menu", type=int, choices=MENUS, default=max(MENUS),
                        help="1 and 2: the troubles of before")
    parser.add_argument("--always", action="append", default=[], metavar="KIND[:HOW]",
                        help="two of these in each day besides; may be given again")
    parser.add_argument("--small", action="store_true", help="the site's small twin")
    parser.add_argument("--sign", action="append", default=[], metavar="EVENT",
                        help="days whose logs show this event are kept and counted; may be given again")
    parser.add_argument("--length", type=float, help="seconds of traffic (100; prompt: 42; leaving: 64)")
    parser.add_argument("--density", type=float, default=.12, help="incidents a second, on average")
    parser.add_argument("--keep", default="random-days")
    parser.add_argument("--no-log", action="store_true")
    parser.add_argument("--draw", action="store_true", help="only write the days")
    parser.add_argument("--replay", help="plays the days of this folder instead of drawing some")
    args = parser.parse_args()
    args.length = args.length or SHAPES[args.shape].length
    for name in args.always:
        if MENUS[args.menu].named(name) is None:
            parser.error(f"no {name} in menu {args.menu}")
    if args.sign and args.no_log:
        parser.error("--sign reads the logs, so it can't go with --no-log")
    return args


def drawn_days(args, site, keep):
    """Draws the days; returns (path, seconds of traffic) of each."""
    days = []
    for index in range(args.first, args.first + args.days):
        path = keep / f"{pathlib.Path(args.site).stem}-random-{args.seed}-{index}.toml"
        path.write_text(make_day(site, args, index))
        days.append((path, args.length))
    return days


def kept_days(folder, keep):
    """Copies the days of a folder; the first line of each tells its seconds of traffic."""
    days = []
    for original in sorted(pathlib.Path(folder).glob("*.toml")):
        text = original.read_text()
        path = keep / original.name
        path.write_text(text)
        days.append((path, float(re.match(r"# length_s = ([0-9.]+)", text).group(1))))
    return days


def read_log(log, signs):
    """Returns what the bench itself says, and how often each of the events `signs` was logged."""
    told, found = [], collections.Counter()
    with open(log, errors="replace") as lines:
        for line in lines:
            if '{"time_ms"' not in line:
                told.append(line)
                continue
            found.update(sign for sign in signs if f'"event":"{sign}"' in line)
    return told, found


def signs_text(signs):
    return ", ".join(f"{sign} {count}" for sign, count in sorted(signs.items()))


def play(args, keep, path, length):
    """Plays a day; returns (path, outcome, what the bench says)."""
    site = longer_site(pathlib.Path(args.site), length, keep)
    log = path.with_suffix(".log")
    command = [args.bench, "run", str(site), str(path), "--no-cpu", "--why", f"{args.why}; {path.stem}"]
    command += ["--small"] * args.small + ["--log", "all"] * (not args.no_log)
    with open(log, "w") as output:
        subprocess.run(command, stdout=output, stderr=output)
    told, signs = read_log(log, args.sign)
    name = tomllib.loads(path.read_text())["day"][0]["name"]
    line = next((l for l in told if re.match(rf"{re.escape(name)}\s", l)), None)
    kept = line is not None and "BROKEN" not in line and "fault" not in line.lower()
    if kept and not signs:
        log.unlink()
        path.unlink()
        return path, "kept", line
    path.with_suffix(".txt").write_text("".join(told))
    if line is None:
        return path, "not played", "".join(told)[-400:]
    if kept:
        return path, "sign", line + " | " + signs_text(signs)
    rules = [l for l in told if re.match(r"(LOST|TWICE|[A-Z]+) at ", l)][:6]
    return path, "broken", " | ".join([line] + rules + [signs_text(signs)])


def main():
    args = parse_arguments()
    keep = pathlib.Path(args.keep)
    keep.mkdir(parents=True, exist_ok=True)
    site = tomllib.loads(pathlib.Path(args.site).read_text())
    days = kept_days(args.replay, keep) if args.replay else drawn_days(args, site, keep)
    if args.draw:
        return
    counts = {"kept": 0, "sign": 0, "broken": 0, "not played": 0}
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        for path, outcome, detail in pool.map(lambda day: play(args, keep, *day), days):
            counts[outcome] += 1
            if outcome != "kept":
                print(f"{outcome}: {path}: {' '.join(detail.split())[:1500]}", flush=True)
    others = f", {counts['sign']} others with a sign" if args.sign else ""
    print(f"{len(days)} random days on {pathlib.Path(args.site).stem}, "
          f"{counts['broken']} with a rule broken, {counts['not played']} not played{others}")
    sys.exit(1 if counts["broken"] else 2 if counts["not played"] else 0)


if __name__ == "__main__":
    main()
