#!/usr/bin/env python3
# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Plays long days of a site, full of troubles of every kind that `fleetbench kinds` lists.

    testsuite/random_days.py SITE.toml --bench PATH --why TEXT [--days 20] [--seed 1] [--jobs 4]
        [--keep DIR] [--replay DIR]

Run from the project's root. Unlike `fleetbench hunt`, the days are about as long as the users' own (the
site is copied with another `length_s`), and the troubles come in crowds: alone all over the day, in
pairs that overlap, the same one twice within a lease, and many in the last seconds of the traffic,
where what they leave behind must still be put right after it. Each day is a function of (site, seed,
index) alone. Of a day that breaks a rule DIR keeps the TOML, the bench's output and the nodes' logs
(--no-log: without these). Ends with a summary line. Exit code 1 if a rule was broken, 2 if a day
didn't play.
"""
import argparse
import concurrent.futures
import contextlib
import os
import pathlib
import random
import re
import subprocess
import sys
import threading
import tomllib

# kind -> variants; a value may be a list (one is drawn) or a (low, high) pair (drawn between).
LOAD = [
    dict(kind="burst", x=(1.4, 2.2), for_s=(2, 6)),
    dict(kind="give_up", share=(.1, .4), for_s=(3, 6)),
    dict(kind="poison", share=(.02, .12), for_s=(2, 6)),
]
WORKERS = [
    dict(kind="srv_crash", share=(.08, .3), for_s=(2, 8), how=["", "dark", "gone", "domain", "joined", "rack"]),
    dict(kind="srv_slow", share=(.1, .3), x=(2, 8), for_s=(3, 8)),
    dict(kind="srv_grey", share=(.05, .3), x=(.3, 1), for_s=(2, 8), how="errors"),
    dict(kind="srv_grey", share=(.05, .2), x=(.3, 1), for_s=(3, 8),
         how=["shed", "busy", "hang", "reset", "mute", "slow"]),
    dict(kind="srv_cut", share=(.1, .4), for_s=(.8, 6), how=["", "fronts", "some", "some lossy", "one_way", "reset"]),
    dict(kind="node_cut", share=(.1, .4), for_s=(.8, 7), how="servers"),
    dict(kind="scale_out", share=(.1, .3), gap_s=(.5, 2)),
    dict(kind="scale_in", share=(.05, .15), how=["", "spot", "reclaim", "reclaim dry"], x=(1.5, 3), for_s=(4, 8)),
]
LEADERS = [
    dict(kind="node_kill", on="core", count=[1, 2], for_s=(.5, 4),
         how=["leader", "leader power", "leader race", "leader race drain", "meet drain", "reader", "giver",
              "leader hard"]),
    dict(kind="node_freeze", on="core", count=1, for_s=(.5, 5), how=["leader", "giver", "renewed", "reader"]),
    dict(kind="core_cut", count=1, for_s=(.8, 7),
         how=["leader", "leader one_way", "all", "near", "both", "lure", "relieve", "leader race", "split"]),
    dict(kind="replace_core", x=(.5, 4), how=["", "planned", "leader"]),
    dict(kind="roll_term", share=(.4, 1), x=[1.0, 2.0], gap_s=(.5, 2), how=["", "busy"]),
    dict(kind="herd_kill", on="core", share=(.5, 1), for_s=(2, 8), how=["", "power", "off", "taken"]),
    dict(kind="after_ack_kill", for_s=(1, 4), how=["", "kill", "timed", "taken"]),
    dict(kind="platform_down", share=(.2, .6), for_s=(1, 9),
         how=["nodes", "nodes many", "nodes silent", "nodes reset", "nodes busy", "nodes leader", "nodes leader many",
              "nodes leader silent", "nodes leader reset", "nodes leader many revoke meet", "nodes many revoke meet"]),
]
STORE = [
    dict(kind="platform_down", for_s=(1, 6),
         how=["silent", "busy", "reset", "silent lapse", "busy lapse", "reset lapse"]),
    dict(kind="platform_slow", x=(20, 100), for_s=(2, 6)),
    dict(kind="platform_lost", x=(.1, .5), for_s=(2, 6), how=["", "late", "late"]),
    dict(kind="platform_compact", x=(2, 6), for_s=(4, 12), how=["", "drain"]),
    dict(kind="applied_late", x=(.03, .6), for_s=(2, 6), how=["", "orders", "grants", "all"]),
]
OTHER = [
    dict(kind="node_kill", share=(.1, .4), for_s=(1, 4), how=["", "power"]),
    dict(kind="node_slow", share=(.1, .4), x=(3, 8), for_s=(3, 6)),
    dict(kind="node_cut", share=(.1, .4), for_s=(2, 7), how=["", "all"]),
    dict(kind="add_nodes", share=(.3, 1)),
    dict(kind="hup", share=(.3, 1), gap_s=(.3, 2)),
    dict(kind="config_change", how=["route", "weights", "timeout", "tenant", "quota", "idle"]),
    dict(kind="config_storm", for_s=(2, 5), gap_s=(.2, .6)),
    dict(kind="big_config", count=[100, 350]),
    dict(kind="clock_step", share=(.2, .6), x=(500, 4000), for_s=(2, 6), how=["back", "ahead"]),
    dict(kind="reset_conns", share=(.2, .6), x=(.2, .6), for_s=(1, 4)),
    dict(kind="cloud_down", for_s=(1, 5), how=["silent", "busy", "reset"]),
    dict(kind="cloud_slow", x=(10, 60), for_s=(2, 5)),
]
CROWDS = [LOAD, WORKERS, WORKERS, LEADERS, LEADERS, STORE, STORE, OTHER]
CLOSINGS = [
    dict(kind="kill_all", down_s=(.3, 2)),
    dict(kind="power_off_all", down_s=(.3, 2), how=["", "all", "taken", "timed"]),
    dict(kind="wipe_after_ack", down_s=(.3, 2)),
    None,
]
LEASE_S = 3.0
READ_BACK_S = 3.0  # so long after the traffic's end the configuration is read back
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


def any_trouble(rng, at, crowds=None):
    return draw(rng, rng.choice(rng.choice(crowds or CROWDS)), at)


def draw_troubles(rng, length, density):
    """Returns the troubles of a day; `density` is how many incidents it has a second."""
    def when():
        if rng.random() < .4:
            return rng.uniform(max(1, length - END_S), length - .5)
        return rng.uniform(1, length - 2)

    troubles = []
    for _ in range(max(2, round(length * density * rng.uniform(.5, 1.5)))):
        at, shape = when(), rng.random()
        if shape < .3:
            troubles.append(any_trouble(rng, at))
        elif shape < .75:  # a crowd that overlaps: the leader or the store, and the workers or more
            crowd = [any_trouble(rng, at, [LEADERS, LEADERS, STORE])]
            crowd += [any_trouble(rng, at + rng.uniform(-2, 2)) for _ in range(rng.choice([1, 1, 2, 3]))]
            troubles += crowd
        else:  # the same twice within a lease
            trouble = any_trouble(rng, at, [LEADERS, STORE, WORKERS])
            troubles += [trouble, dict(trouble, at=round(at + rng.uniform(.2, LEASE_S), 2))]
    for trouble in troubles:
        trouble["at"] = round(min(length - .3, max(.5, trouble["at"])), 2)
        end_outage_in_time(trouble, length)
    return sorted(troubles, key=lambda t: t["at"])


def end_outage_in_time(trouble, length):
    """The bench reads the configuration back from the store some 3 s after the traffic's end, and blames
    the nodes if the store is away then (days b-62 and z1-24: all nodes had applied it 5 s before)."""
    if trouble["kind"] != "platform_down" or "nodes" in trouble.get("how", ""):
        return
    latest = length + READ_BACK_S - 1.0
    trouble["for_s"] = round(max(.3, min(trouble["for_s"], latest - trouble["at"])), 2)


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


def make_day(site, seed, index, length, density):
    rng = random.Random(f"{site['name']}/{seed}/{index}")
    base = rng.choice([d for d in site["day"] if d.get("traffic")])
    day = {k: v for k, v in base.items() if k not in ("plan", "faults", "name", "seed", "closing")}
    day["seed"] = rng.randrange(1, 10**9)
    closing = rng.choice(CLOSINGS)
    if closing:
        day["closing"] = draw(rng, closing, None)
    day["faults"] = draw_troubles(rng, length, density)
    lines = ["[[day]]", f'name = "random-{seed}-{index}"'] + [f"{k} = {toml_value(v)}" for k, v in day.items()]
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
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site")
    parser.add_argument("--bench", required=True, help="the users' bench")
    parser.add_argument("--why", required=True, help="the line for the journal")
    parser.add_argument("--days", type=int, default=20)
    parser.add_argument("--first", type=int, default=0, help="index of the first day")
    parser.add_argument("--seed", default="1")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--length", type=float, default=100.0, help="seconds of traffic")
    parser.add_argument("--density", type=float, default=.12, help="incidents a second, on average")
    parser.add_argument("--keep", default="random-days")
    parser.add_argument("--no-log", action="store_true")
    parser.add_argument("--draw", action="store_true", help="only write the days")
    parser.add_argument("--replay", help="plays the days of this folder instead of drawing some")
    return parser.parse_args()


def drawn_days(args, site, keep):
    """Draws the days; returns (path, seconds of traffic) of each."""
    days = []
    for index in range(args.first, args.first + args.days):
        path = keep / f"{pathlib.Path(args.site).stem}-random-{args.seed}-{index}.toml"
        path.write_text(make_day(site, args.seed, index, args.length, args.density))
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


def play(args, keep, path, length):
    """Plays a day; returns (path, outcome, what the bench says)."""
    site = longer_site(pathlib.Path(args.site), length, keep)
    log = path.with_suffix(".log")
    command = [args.bench, "run", str(site), str(path), "--no-cpu", "--why", f"{args.why}; {path.stem}"]
    with open(log, "w") as output:
        subprocess.run(command + ([] if args.no_log else ["--log", "all"]), stdout=output, stderr=output)
    with open(log, errors="replace") as lines:
        told = [line for line in lines if '{"time_ms"' not in line]
    name = tomllib.loads(path.read_text())["day"][0]["name"]
    line = next((l for l in told if re.match(rf"{re.escape(name)}\s", l)), None)
    if line is not None and "BROKEN" not in line and "fault" not in line.lower():
        log.unlink()
        path.unlink()
        return path, "kept", line
    path.with_suffix(".txt").write_text("".join(told))
    if line is None:
        return path, "not played", "".join(told)[-400:]
    rules = [l for l in told if re.match(r"(LOST|TWICE|[A-Z]+) at ", l)][:6]
    return path, "broken", line + " | " + " | ".join(rules)


def main():
    args = parse_arguments()
    keep = pathlib.Path(args.keep)
    keep.mkdir(parents=True, exist_ok=True)
    site = tomllib.loads(pathlib.Path(args.site).read_text())
    days = kept_days(args.replay, keep) if args.replay else drawn_days(args, site, keep)
    if args.draw:
        return
    counts = {"kept": 0, "broken": 0, "not played": 0}
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        for path, outcome, detail in pool.map(lambda day: play(args, keep, *day), days):
            counts[outcome] += 1
            if outcome != "kept":
                print(f"{outcome}: {path}: {' '.join(detail.split())[:1500]}", flush=True)
    print(f"{len(days)} random days on {pathlib.Path(args.site).stem}, {counts['broken']} with a rule broken, "
          f"{counts['not played']} not played")
    sys.exit(1 if counts["broken"] else 2 if counts["not played"] else 0)


if __name__ == "__main__":
    main()
