#!/usr/bin/env python3
# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Shows that nothing is fitted to one deployment: plays altered copies of sites before and after a change.

    scripts/site_copies.py SITE.toml... --bench PATH --why TEXT --before DIR --after DIR [--seeds 1]
        [--jobs 6] [--folder DIR]

DIR are checkouts of the two states, built. The copies of each site, written into the folder: traffic
times 1.3; a third fewer workers; task times doubled; one zone fewer. Days with trouble only, without
processor time. Prints the mean worth of each copy before and after, and the rules broken.
"""
import argparse
import pathlib
import re
import statistics
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "testsuite"))
import plays  # noqa: E402


def scaled(match, factor):
    """Returns a number of the site file times a factor, with the text before it."""
    return f"{match.group(1)}{float(match.group(2)) * factor:g}"


def more_traffic(text):
    return re.sub(r"(per_s = )([\d.]+)", lambda m: scaled(m, 1.3), text)


def fewer_workers(text):
    def fewer(match):
        return re.sub(r"(count = )(\d+)", lambda m: f"{m.group(1)}{max(1, round(int(m.group(2)) * 2 / 3))}", match.group(0))
    return re.sub(r"servers = \[.*?\]", fewer, text)


def longer_tasks(text):
    def longer(match):
        return re.sub(r"((?:mean|max) = )([\d.]+)", lambda m: scaled(m, 2), match.group(0))
    return re.sub(r"work_ms = \{.*?\}", longer, text)


def one_zone_fewer(text):
    """Drops the last zone with its machines, workers and traffic."""
    zones = re.search(r"^zones = \[\n(.*?)^\]", text, re.S | re.M).group(1)
    last = re.findall(r'name = "([^"]+)"', zones)[-1]
    text = re.sub(rf'^  \{{ name = "{last}", region.*\n', "", text, flags=re.M)
    text = re.sub(rf'^.*zone = "{last}", count = \d+, spare.*\n', "", text, flags=re.M)
    text = re.sub(rf', \{{ zone = "{last}", count = \d+ \}}', "", text)
    text = re.sub(rf'^  \{{ zone = "{last}", mix.*\n', "", text, flags=re.M)
    return re.sub(rf', \{{ zone = "{last}", mix = \{{[^}}]*\}}[^}}]*\{{[^}}]*\}} \}}', "", text)


COPIES = {"more-traffic": more_traffic, "fewer-workers": fewer_workers, "longer-tasks": longer_tasks,
          "one-zone-fewer": one_zone_fewer}


def write_copies(site, folder):
    """Writes the copies of a site; returns their paths."""
    site = pathlib.Path(site).resolve()
    text = site.read_text()
    wire = folder / "wire.json"
    wire.unlink(missing_ok=True)
    wire.symlink_to(site.parent / "wire.json")
    paths = []
    for name, alter in COPIES.items():
        altered = alter(text)
        if altered == text:
            sys.exit(f"{site}: nothing to alter for {name}")
        path = folder / f"{site.stem}-{name}.toml"
        path.write_text(altered)
        paths.append(path.resolve())
    return paths


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--bench", required=True)
    parser.add_argument("--why", required=True)
    parser.add_argument("--before", required=True)
    parser.add_argument("--after", required=True)
    parser.add_argument("--seeds", default="1")
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--folder", default="site-copies")
    args = parser.parse_args()
    broken = False
    print("| copy | before | after | change | broken after |\n| --- | --- | --- | --- | --- |")
    for site in args.sites:
        folder = pathlib.Path(args.folder) / pathlib.Path(site).stem
        folder.mkdir(parents=True, exist_ok=True)
        for path in write_copies(site, folder):
            wanted = [plays.Play(str(path), day, int(seed)) for day in plays.days_of(path, True)
                      for seed in args.seeds.split(",")]
            means, breaks = [], []
            for checkout in (args.before, args.after):
                outcomes = plays.run_all(wanted, args.jobs, bench=args.bench, why=f"{args.why}; {path.stem}", cwd=checkout)
                known = [o.worth for o in outcomes if o.worth is not None]
                means.append(statistics.mean(known) if known else float("nan"))
                breaks = [f"{o.play.day}/{o.play.seed} {o.breaks}" for o in outcomes if o.breaks]
            broken = broken or bool(breaks)
            print(f"| {path.stem} | {means[0]:.3f} | {means[1]:.3f} | {means[1] - means[0]:+.3f} | {'; '.join(breaks)} |",
                  flush=True)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
