#!/bin/sh
# The stand-ins that the scripts of review/11 to 14 start are in Python (review/lib-3) and need no build; this
# checks that they can be read. The nodes come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-3/cell.py review/11/case.py review/12/case.py review/13/case.py review/14/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
test -x target/bin/pathport_jobd || echo "target/bin/pathport_jobd is missing: run the build of deploy/system.toml first"
