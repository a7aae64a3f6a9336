# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Since when a soak has been calm: promises with a time bound hold once no fault is near."""

import time

CONTACT_S = 3.0
# Changes that the bounds on cancelled jobs allow for: they are no trouble.
HARMLESS = ("configure", "worker_leave")


class Calm:
    """Counts the faults that are under way and keeps when the last of them was over."""

    def __init__(self):
        self.under_way = 0
        self.last_trouble = 0.0

    def begins(self, kind, now=None):
        if kind not in HARMLESS:
            self.under_way += 1
            self.last_trouble = time.monotonic() if now is None else now

    def ends(self, kind, now=None):
        if kind not in HARMLESS:
            self.under_way -= 1
            self.last_trouble = time.monotonic() if now is None else now

    def since(self):
        """Returns since when it is calm: `CONTACT_S` after the last fault; never within one."""
        return float("inf") if self.under_way else self.last_trouble + CONTACT_S
