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
# Of the 20 days of seed 7 as drawn before there was a second menu.
DIGEST_OF_BEFORE = "35a8fac6c0bfc252a82cd6e4f5273e035e0a5afe9771a2844b5d22b6ec743189"
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
    first = trial.drawn("first", "--menu", "1", "--seed", "7", "--days", "20")
    digest = hashlib.sha256("".join(first).encode()).hexdigest()
    trial.check("the first menu draws the days of before", digest == DIGEST_OF_BEFORE)
    second = trial.drawn("second", "--seed", "7", "--days", "60")
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
        check_prompt_days(trial)
        check_plays(trial)
    print(f"{trial.checks} checks, {trial.failed} failed")
    sys.exit(1 if trial.failed else 0)


if __name__ == "__main__":
    main()
