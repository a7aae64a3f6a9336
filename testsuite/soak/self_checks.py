# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Runs checks of the soak's own checks."""


def run_checks(checks):
    """Runs functions that return (expected, reported) each; returns 1 if some differ."""
    failed = 0
    for check in checks:
        expected, broken = check()
        if expected != broken:
            failed += 1
            print(f"{check.__name__}: VIOLATION expected {expected}, reported {broken}")
    print(f"{len(checks) - failed} of {len(checks)} checks of the soak bite")
    return 1 if failed else 0
