#!/usr/bin/env python3
# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Checks scripts/where_lost.py on a small recorded log (18 jobs of a day with a slow store), on a log with
dropped lines (written for this check), and on input that it can't read. Ends with "N checks, N failed"."""

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
DROPPED_LOG = ROOT / "testsuite/logs/dropped_lines.log"
# Guards against jobs that count as `closed` although their last end is missing, and against runs counted as
# missing an end that had none: lost with their worker, or not known to have started.
EXPECTED_DROPPED = {
    "r-full": {"in time": "1", "closed": "1"},
    "r-gaps": {"in time": "2", "started": "1", "closed": "1", "unknown": "5"},
    "r-lost": {"repeated": "2", "closed": "1"},
}
EXPECTED_MISSING = ["ends missing of r-gaps: 5, and 2 tasks without a line; in 7 of 9 completed jobs"]
EXPECTED_UNKNOWN = {"b1", "b2", "b3", "b7", "b8"}
NAME_WIDTH, COLUMN_WIDTH = 22, 13  # Of the table that the script prints.


def run(*arguments):
    """Runs the script; returns its exit code, output and errors."""
    done = subprocess.run([sys.executable, str(ROOT / "scripts/where_lost.py"), *map(str, arguments)],
                          capture_output=True, text=True, check=False)
    return done.returncode, done.stdout, done.stderr


def check(name, good, failed):
    print(f"{name}: {'ok' if good else 'VIOLATION'}")
    if not good:
        failed.append(name)


def cells(output, queue):
    """Returns the row of a queue as {column: count}, without empty cells."""
    lines = output.splitlines()
    row = next(line for line in lines if line.startswith(queue))

    def split(line):
        return [line[i:i + COLUMN_WIDTH].strip() for i in range(NAME_WIDTH, len(line), COLUMN_WIDTH)]
    return {column: count for column, count in zip(split(lines[0]), split(row)) if count}


def check_dropped_lines(failed):
    """Checks the log with dropped lines; returns the number of checks."""
    code, output, _ = run(DROPPED_LOG, "--jobs", 9)
    check("the log with dropped lines is read", code == 0, failed)
    for queue, counts in EXPECTED_DROPPED.items():
        check(f"row of {queue}", cells(output, queue) == counts, failed)
    missing = [line for line in output.splitlines() if line.startswith("ends missing")]
    check("missing ends are counted by queue", missing == EXPECTED_MISSING, failed)
    unknown = next((line for line in output.splitlines() if line.startswith("unknown of r-gaps")), "")
    check("jobs whose last end is missing are named", set(unknown.split("such as ")[-1].split()) == EXPECTED_UNKNOWN,
          failed)
    _, output, _ = run(LOG)
    check("no end is missing in a complete log", "ends missing" not in output, failed)
    return 4 + len(EXPECTED_DROPPED)


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
    checks = 1 + len(EXPECTED_ROWS) + len(EXPECTED_REASONS) + 3 + check_dropped_lines(failed)
    print(f"{checks} checks, {len(failed)} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
