#!/bin/sh
# The stand-ins of the cases are Python programs (review/lib-2, testsuite/soak): nothing to compile.
set -e
cd "$(dirname "$0")/.."
python3 - <<'END'
import pathlib
for name in [*pathlib.Path("review/lib-2").glob("*.py"), *pathlib.Path("testsuite/soak").glob("*.py"),
             *pathlib.Path("review").glob("[6-9]*/case.py"), *pathlib.Path("review").glob("10/case.py")]:
    compile(name.read_text(encoding="utf-8"), str(name), "exec")
END
