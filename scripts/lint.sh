#!/usr/bin/env bash
# Checks layout (clang-format) and faults (clang-tidy) of all sources but generated ones.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files -- 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h')
clang-format --dry-run --Werror "${sources[@]}"
echo "clang-format: ${#sources[@]} files are clean"
mapfile -t units < <(git ls-files -- 'src/*.cpp' 'platform/*.cpp')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet \
    2> >(grep -v 'warnings generated' >&2 || true)
echo "clang-tidy: ${#units[@]} files are clean"
