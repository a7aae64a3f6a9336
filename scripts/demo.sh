#!/usr/bin/env bash
# Installs what is missing, builds, and runs the whole path on stand-ins, on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
python3 testsuite/demo.py
