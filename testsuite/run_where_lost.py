#!/usr/bin/env python3
# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Checks scripts/where_lost.py on a small recorded log (18 jobs of a day with a slow store) and on input
that it can't read. Ends with "N checks, N failed"."""

import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOG = ROOT / "testsuite/logs/late_jobs.log"
EXPECTED_ROWS = {
    "r-2benzz9": ["1"],
    "r-9bkj6xp": ["10", "2", "2", "1", "1"],
    "r-y72xa27": ["1"],
}
EXPECTED_REASONS = [
    "started of r-9bkj6xp: 2 jobs", "accepted of r-9bkj6xp: 2 jobs", "closed of r-9bkj6xp: 1 jobs",
    "repeated of r-9bkj6xp: 1 jobs", "never placed of r-y72xa27: 1 jobs",
]


def run(*arguments):
    """Runs the script; returns its exit code, output and errors."""
    done = subprocess.run([sys.executable, str(ROOT / "scripts/where_lost.py"), *map(str, arguments)],
                          capture_output=True, text=True, check=False)
    return done.returncode, done.stdout, done.stderr


def check(name, good, failed):
    print(f"{name}: {'ok' if good else 'VIOLATION'}")
    if not good:
        failed.append(name)


def main():
    failed, checks = [], 0
    code, output, _ = run(LOG)
    check("the log is read", code == 0, failed)
    rows = {line.split()[0]: line.split()[1:] for line in output.splitlines() if line.startswith("r-")}
    for queue, counts in EXPECTED_ROWS.items():
        check(f"row of {queue}", rows.get(queue) == counts, failed)
    for reason in EXPECTED_REASONS:
        check(reason, reason in output, failed)
    with tempfile.TemporaryDirectory() as folder:
        broken = pathlib.Path(folder) / "broken.log"
        broken.write_text(LOG.read_text().splitlines()[0] + '\n1.0 {"time_ms":12,"event"\n')
        code, _, errors = run(broken)
        check("a line that can't be read is named", code == 0 and f"{broken}:2: not read" in errors, failed)
        code, _, errors = run(pathlib.Path(folder) / "missing.log")
        check("a missing log is named", code == 1 and "missing.log" in errors, failed)
        code, _, errors = run(LOG, "--report", broken)
        check("a report that can't be read is named", code == 1 and "broken.log" in errors, failed)
    checks = 1 + len(EXPECTED_ROWS) + len(EXPECTED_REASONS) + 3
    print(f"{checks} checks, {len(failed)} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
