#!/bin/sh
# Builds what the scripts of the fourth review start beside the node: their stand-ins are Python
# (standard library only, one process with the case itself), so that they are only compiled here.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib-4/standins.py review/1[6-9]/case.py review/20/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
[ -x target/bin/pathport_jobd ] || { echo "target/bin/pathport_jobd is missing: run the build of the deploy file"; exit 1; }
