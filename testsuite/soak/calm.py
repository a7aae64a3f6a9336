# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Since when a soak has been calm: promises with a time bound hold once no fault is near."""

import time

CONTACT_S = 3.0
# Changes that the bounds on cancelled jobs allow for: they are no trouble.
HARMLESS = ("configure", "route_change", "worker_leave", "rekey", "rebound",
            "domain_drain")
# What troubles neither a daemon, nor its links to others, nor the store.
ELSEWHERE = HARMLESS + ("node_hup", "worker_crash", "worker_decline", "worker_fail_all",
                        "worker_hang", "worker_lost", "worker_refuse")


class Calm:
    """Counts the faults that are under way and keeps when the last of them was over."""

    contact_s = CONTACT_S

    def __init__(self, harmless=HARMLESS):
        self.harmless = harmless
        self.under_way = 0
        self.last_trouble = 0.0

    def begins(self, kind, now=None):
        if kind not in self.harmless:
            self.under_way += 1
            self.last_trouble = time.monotonic() if now is None else now

    def ends(self, kind, now=None):
        if kind not in self.harmless:
            self.under_way -= 1
            self.last_trouble = time.monotonic() if now is None else now

    def since(self):
        """Returns since when it is calm: `CONTACT_S` after the last fault; never within one."""
        return float("inf") if self.under_way else self.last_trouble + CONTACT_S
