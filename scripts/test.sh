#!/usr/bin/env bash
# Installs what is missing, builds, and runs all tests: those of the libraries, then the
# whole-program runs of testsuite/. Tests in KNOWN-RED.txt may fail; they are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
python3 testsuite/run_all.py
