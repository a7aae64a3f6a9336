#!/usr/bin/env bash
# Installs what is missing (scripts/packages.txt) and builds pathport in build/.
set -euo pipefail
cd "$(dirname "$0")/.."

missing=()
while read -r package; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done < scripts/packages.txt
if [ ${#missing[@]} -gt 0 ]; then
    echo "installing: ${missing[*]}"
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -qq
    apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
cmake --preset default >/dev/null
cmake --build build
