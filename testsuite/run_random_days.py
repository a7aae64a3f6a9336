#!/usr/bin/env python3
# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Checks random_days.py on a small site and a stand-in of the bench. Ends with "N checks, N failed"."""

import hashlib
import pathlib
import subprocess
import sys
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
SITE = """name = "small"
length_s = 34.0
[[day]]
name = "quiet-1"
slot = "quiet"
traffic = [{ zone = "a", rate = 2.0 }]
[[day]]
name = "trouble-1"
slot = "trouble"
closing = { kind = "kill_all", down_s = 1.5 }
traffic = [{ zone = "a", rate = 3.0 }]
faults = [{ at = 3.0, kind = "hup" }]
"""
# Of the 20 days of seed 7 as drawn by a menu when it was the newest.
DIGESTS = {
    1: "35a8fac6c0bfc252a82cd6e4f5273e035e0a5afe9771a2844b5d22b6ec743189",
    2: "8e0ead8e8e6fc2f80e54f836a4c9a245be0452c18180ba13767c85acd5cbdc7d",
}
# The cuts that `fleetbench kinds` names; each may be silent, reset connections or refuse them.
CUTS = {
    "srv_cut": ["", "fronts", "some", "one_way", "reborn"],
    "node_cut": ["", "all", "servers", "servers reborn", "turn"],
    "core_cut": ["", "all", "near", "one_way", "split", "both", "lure", "relieve", "behind", "oldest",
                 "seeds", "leader", "giver", "follower", "turn"],
}
MANNERS = ["", "reset", "refuse"]
BENCH = """#!/usr/bin/env python3
import pathlib, sys, tomllib
name = tomllib.loads(pathlib.Path(sys.argv[3]).read_text())["day"][0]["name"]
if name.endswith("-1") and "--log" in sys.argv:
    print('  1.0 node {"time_ms":12,"event":"unwanted_run","job":"1"}')
    print('  1.1 node {"time_ms":13,"event":"load","job":"unwanted_run"}')
if name.endswith("-2"):
    print(f"{name}   1/1  0.00  BROKEN: LOST 3 (else 0.30)")
    print("LOST at 59.026 s: a task could run and doesn't")
elif name.endswith("-3"):
    print("given up")
else:
    print(f"{name}   1/1  {'0.50' if '--small' in sys.argv else '1.00'}")
"""


class Trial:
    """A folder with the site and the bench, and what was checked there."""

    def __init__(self, folder):
        self.folder = folder
        self.checks = 0
        self.failed = 0
        (folder / "site.toml").write_text(SITE)
        (folder / "bench").write_text(BENCH)
        (folder / "bench").chmod(0o755)

    def run(self, keep, *arguments):
        """Runs the program; returns its exit code, output and errors."""
        command = [sys.executable, ROOT / "testsuite/random_days.py", self.folder / "site.toml", "--bench",
                   self.folder / "bench", "--why", "check", "--keep", self.folder / keep, *arguments]
        done = subprocess.run(list(map(str, command)), capture_output=True, text=True, check=False)
        return done.returncode, done.stdout, done.stderr

    def drawn(self, keep, *arguments):
        """Draws days; returns the texts in the order of their numbers."""
        self.run(keep, "--draw", *arguments)
        paths = sorted((self.folder / keep).glob("site-random-*.toml"),
                       key=lambda path: int(path.stem.rsplit("-", 1)[1]))
        return [path.read_text() for path in paths]

    def check(self, name, good):
        self.checks += 1
        self.failed += not good
        print(f"{name}: {'ok' if good else 'VIOLATION'}")


def troubles(text):
    return tomllib.loads(text)["day"][0]["faults"]


def check_menus(trial):
    for menu, known in DIGESTS.items():
        days = trial.drawn(f"menu-{menu}", "--menu", menu, "--seed", "7", "--days", "20")
        digest = hashlib.sha256("".join(days).encode()).hexdigest()
        trial.check(f"menu {menu} draws the days of before", digest == known)
    second = trial.drawn("second", "--menu", "2", "--seed", "7", "--days", "60")
    newer = [t for text in second for t in troubles(text)
             if (t["kind"], t.get("how")) in (("give_up", "prompt"), ("roll_term", "remove"))]
    trial.check("the second menu draws newer troubles", len(newer) > 10)
    always = trial.drawn("always", "--seed", "7", "--days", "10", "--always", "srv_cut:reborn", "--always",
                         "config_storm")
    reborn = [sum(t.get("how") == "reborn" for t in troubles(text)) for text in always]
    storms = [sum(t["kind"] == "config_storm" for t in troubles(text)) for text in always]
    trial.check("what is wanted always comes twice a day", min(reborn) >= 2 and min(storms) >= 2)
    code, _, errors = trial.run("unknown", "--draw", "--always", "srv_cut:unknown")
    trial.check("an unknown variant is refused", code == 2 and "srv_cut:unknown" in errors)


def check_cuts(trial):
    """Each variant of a cut is drawn by the newest menu in each manner in which it may meet connections."""
    drawn = {(t["kind"], frozenset(t.get("how", "").split()))
             for text in trial.drawn("cuts", "--seed", "7", "--days", "400", "--length", "100")
             for t in troubles(text)}
    for kind, variants in CUTS.items():
        for manner in MANNERS:
            missing = [how or "plain" for how in variants
                       if (kind, frozenset(f"{how} {manner}".split())) not in drawn]
            trial.check(f"{kind} that is {manner or 'silent'}: each variant is drawn"
                        f"{', missing: ' * bool(missing)}{', '.join(missing)}", not missing)


def check_prompt_days(trial):
    days = [tomllib.loads(text)["day"][0]
            for text in trial.drawn("prompt", "--shape", "prompt", "--length", "42", "--days", "40")]
    cancelling = [day["faults"][0] for day in days]
    trial.check("half of the jobs are cancelled all day long",
                all(t["kind"] == "give_up" and t["how"] == "prompt" and t["share"] == .5 and t["at"] <= 1
                    and t["at"] + t["for_s"] >= 41 for t in cancelling))
    trial.check("two troubles or more besides", all(len(day["faults"]) >= 3 for day in days))
    # A late order comes up to 12 s after the end of its trouble.
    last = max(t["at"] + t["for_s"] + 12 for day in days for t in day["faults"]
               if t["kind"] == "applied_late")
    trial.check("the last late orders come before the end", last < 42)
    begun = max(t["at"] for day in days for t in day["faults"])
    trial.check("at least 10 s without a new trouble", begun <= 42 - 10)
    trial.check("nothing strikes at the end", all("closing" not in day for day in days))


def check_leaving_days(trial):
    days = [troubles(text) for text in trial.drawn("leaving", "--shape", "leaving", "--days", "40")]

    def near(day, leaving, low, high, fits):
        return any(low <= t["at"] - leaving["at"] <= high and fits(t) for t in day)

    def refuses_workers(trouble):
        how = trouble.get("how", "").split()
        return "refuse" in how and (trouble["kind"] == "srv_cut" or "servers" in how)

    def store_away(trouble):
        return trouble["kind"] == "platform_down" and "nodes" not in trouble.get("how", "")

    def episodes(day):
        """Counts the outages after which workers leave while links to workers refuse."""
        return sum(any(near(day, leaving, .19, 1.81, refuses_workers) for leaving in day
                       if leaving["kind"] == "scale_in"
                       and -2.51 <= leaving["at"] - outage["at"] - outage["for_s"] <= 6.01)
                   for outage in day if store_away(outage))

    trial.check("three episodes or more", days and all(episodes(day) >= 3 for day in days))
    outages = [t for day in days for t in day if store_away(t)]
    lapsing = [t for t in outages if "lapse" in t.get("how", "").split()]
    trial.check("leases run out in most outages", outages and 2 * len(lapsing) > len(outages))
    trial.check("nothing new in the last 3 s", days and max(t["at"] for day in days for t in day) <= 64 - 3)


def check_plays(trial):
    code, output, _ = trial.run("plays", "--days", "5", "--jobs", "1", "--sign", "unwanted_run", "--sign",
                                "task_stop_overdue")
    kept = sorted(path.stem.rsplit("-", 1)[1] for path in (trial.folder / "plays").glob("site-random-*.toml"))
    trial.check("days that broke, didn't play or show a sign are kept", kept == ["1", "2", "3"])
    trial.check("the sign is counted by its event", "| unwanted_run 1\n" in output)
    trial.check("the rule is named", "LOST at 59.026 s" in output)
    trial.check("the summary", code == 1 and "5 random days on site, 1 with a rule broken, 1 not played, "
                                             "1 others with a sign" in output)
    _, output, _ = trial.run("plain", "--days", "2", "--jobs", "1", "--small", "--sign", "unwanted_run")
    trial.check("the small twin is played", "0.50" in output and "1.00" not in output)


def main():
    with tempfile.TemporaryDirectory() as folder:
        trial = Trial(pathlib.Path(folder))
        check_menus(trial)
        check_cuts(trial)
        check_prompt_days(trial)
        check_leaving_days(trial)
        check_plays(trial)
    print(f"{trial.checks} checks, {trial.failed} failed")
    sys.exit(1 if trial.failed else 0)


if __name__ == "__main__":
    main()
