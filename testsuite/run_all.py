# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Runs all tests: the libraries' through CTest, then each testsuite/run_*.py as a program.
Ends with the line "N passed, N failed"; a test named in KNOWN-RED.txt may fail: one of the
libraries' by its name, one run of a program as "run_x.py/run"."""

import os
import re
import subprocess
import sys
import threading

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
PROGRAM_SECONDS = 600


def known_red():
    path = os.path.join(ROOT, "KNOWN-RED.txt")
    if not os.path.exists(path):
        return set()
    with open(path) as lines:
        names = [line.split(":")[0].strip() for line in lines
                 if line.strip() and not line.startswith("#")]
    unclear = [name for name in names if "," in name or " " in name]
    if unclear:
        sys.exit(f"KNOWN-RED.txt: an entry names one test, not {unclear}")
    return set(names)


def known_red_that_passed(red, results):
    """Returns the entries of KNOWN-RED.txt whose test was run and passed."""
    passed = []
    for name in sorted(red):
        program = name.split("/")[0]
        ran = name in results or program in results or any(
            other.startswith(program + "/") for other in results)
        if ran and results.get(name, results.get(program, True)):
            passed.append(name)
    return passed


def run_libraries():
    """Returns {test: passed} of the libraries' tests."""
    done = subprocess.run(["ctest", "--test-dir", os.path.join(ROOT, "build"), "-j4",
                           "--output-on-failure"], capture_output=True, text=True, check=False)
    print(done.stdout + done.stderr)
    results = re.findall(r"Test +#\d+: (\S+) \.+ *(\*\*\*)?(\w+)", done.stdout)
    return {name: word == "Passed" for name, _, word in results}


def run_program(name):
    """Runs one program of the testsuite and returns {test: passed}: the program itself, or, when
    it came to its end and reported violations, the runs that did."""
    lines = []
    with subprocess.Popen([sys.executable, os.path.join(HERE, name)], text=True,
                          stdout=subprocess.PIPE, stderr=subprocess.STDOUT) as program:
        timer = threading.Timer(PROGRAM_SECONDS, program.kill)
        timer.start()
        for line in program.stdout:
            print(line, end="", flush=True)
            lines.append(line)
        code = program.wait()
        timer.cancel()
    violated = {line.split(":")[0] for line in lines if ": VIOLATION" in line}
    ended = code == 1 and not any(line.startswith("Traceback") for line in lines)
    if violated and ended:
        return {f"{name}/{run}": False for run in violated}
    return {name: code == 0}


def run_programs():
    """Returns {test: passed} of the whole-program runs."""
    results = {}
    for name in sorted(os.listdir(HERE)):
        if not (name.startswith("run_") and name.endswith(".py")) or name == "run_all.py":
            continue
        print(f"== {name}", flush=True)
        outcome = run_program(name)
        results.update(outcome)
        print(f"== {name}: {'passed' if all(outcome.values()) else 'FAILED'}", flush=True)
    return results


def main():
    results = {**run_libraries(), **run_programs()}
    red = known_red()
    failed = [name for name, passed in results.items() if not passed]
    for name in failed:
        print(f"failed: {name}{' (known red)' if name in red else ''}")
    for name in known_red_that_passed(red, results):
        print(f"known red, but passed: {name}")
    print(f"{len(results) - len(failed)} passed, {len(failed)} failed")
    if not results:
        sys.exit("no test was run")
    return 1 if any(name not in red for name in failed) else 0


if __name__ == "__main__":
    sys.exit(main())
