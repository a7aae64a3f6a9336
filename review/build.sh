#!/usr/bin/env bash
# Builds what the cases start beside the deploy file's program. The stand-ins are Python programs without
# dependencies; this only checks that they compile.
set -eu
cd "$(dirname "$(readlink -f "$0")")"
python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("checked", path)
PY
