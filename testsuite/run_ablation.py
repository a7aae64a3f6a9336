#!/usr/bin/env python3
# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Checks that scripts/ablation.py knows all mechanisms of this checkout, and that it fails with a message
when it finds none: it once searched for a table that had been renamed. Ends with "N checks, N failed"."""

import ast
import pathlib
import re
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEADER = ROOT / "src/include/pathport/jobs/mechanisms.h"
SOURCE = "src/jobs.lib/mechanisms.cpp"
UNKNOWN = "no_such_mechanism"


def run(checkout):
    """Runs the script with a mechanism that does not exist, so that it ends before it plays anything;
    returns its exit code and errors."""
    done = subprocess.run([sys.executable, str(ROOT / "scripts/ablation.py"), "none.toml", "--bench", "none",
                           "--why", "check", "--checkout", str(checkout), "--mechanisms", UNKNOWN],
                          capture_output=True, text=True, check=False)
    return done.returncode, done.stderr


def run_on_source(text):
    """Runs the script on a checkout whose source declares its mechanisms with `text`, or has no such source."""
    with tempfile.TemporaryDirectory() as folder:
        checkout = pathlib.Path(folder)
        if text is not None:
            (checkout / SOURCE).parent.mkdir(parents=True)
            (checkout / SOURCE).write_text(text)
        return run(checkout)


def declared_mechanisms():
    """Returns the values of the enumeration in the header, in their order."""
    body = re.search(r"enum class Mechanism \{(.*?)\};", HEADER.read_text(), re.S).group(1)
    return re.findall(r"(\w+),", re.sub(r"//.*", "", body))


def known_mechanisms(errors):
    """Returns the names that the message about an unknown mechanism lists."""
    known = re.search(r"known are (\[.*\])", errors)
    return ast.literal_eval(known.group(1)) if known else None


def main():
    failed, checks = [], 0

    def check(name, good):
        nonlocal checks
        checks += 1
        print(f"{name}: {'ok' if good else 'VIOLATION'}")
        if not good:
            failed.append(name)

    declared = declared_mechanisms()
    code, errors = run(ROOT)
    check("the header declares mechanisms", len(declared) > 1)
    check("all declared mechanisms are known", known_mechanisms(errors) == declared)
    check("an unknown mechanism is named", code == 1 and UNKNOWN in errors)
    text = (ROOT / SOURCE).read_text()
    broken = {
        "a renamed table is reported": text.replace("mechanism_names[", "names_of_mechanisms["),
        "an empty table is reported": "const char* mechanism_names[mechanism_count] = {};",
        "a missing source is reported": None,
    }
    for name, source in broken.items():
        code, errors = run_on_source(source)
        check(name, code == 1 and SOURCE in errors and "Traceback" not in errors)
    print(f"{checks} checks, {len(failed)} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
