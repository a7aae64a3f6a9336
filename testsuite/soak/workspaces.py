# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Workspaces of a soak: callers with keys that come and go, and bounds on what runs for them."""

import random
import time
from dataclasses import dataclass, field

APPLY_S = 2.0  # A change is in force everywhere so long after the store has taken it.
OVERAGE = 0.1  # A start is too much when it takes what ran before it over the bound by more.
HELD, GONE, NOBODYS = ("keys that are there are admitted", "keys that have gone are denied",
                       "keys of nobody are denied")
KEPT = "bounds of workspaces are kept"
APART = "nobody learns of another's jobs"
UNAUTHORIZED, OVER_BOUND = 401, 422


@dataclass
class Workspace:
    """A workspace as the operators have it."""
    name: str
    keys: list
    weight: float = 1
    cpu_bound: int = 0

    def entry(self):
        return {"name": self.name, "api_keys": self.keys, "weight": self.weight, "priority": 1,
                "upper_bound": {"cpu": self.cpu_bound, "mem_mb": 0, "gpu": 0}}


def first_workspaces():
    """One without a bound that sends most of the work, and smaller ones with bounds."""
    bounds = [0, 24000, 12000, 9000]
    return [Workspace(f"team{i}", [f"team{i}-key0", f"team{i}-key1"], 6 if i == 0 else 1, bound)
            for i, bound in enumerate(bounds)]


@dataclass
class Bounds:
    """What the bounds were and are, as the platform's ledger needs it."""
    changes: list = field(default_factory=list)  # (when it was written, {workspace: bound})

    def written(self, workspaces, now=None):
        bounds = {workspace["name"]: workspace["upper_bound"]["cpu"] for workspace in workspaces}
        self.changes.append((time.monotonic() if now is None else now, bounds))

    def highest(self, name, now, calm_since):
        """Returns the highest that may be in force, 0 for none. Outside of calm any may be."""
        found = []
        for place, (_, bounds) in enumerate(self.changes):
            last = place + 1 == len(self.changes)
            over = not last and now > max(self.changes[place + 1][0] + APPLY_S, calm_since)
            if not over:
                found.append(bounds.get(name, 0))
        return 0 if 0 in found else max(found, default=0)


@dataclass
class HeldKey:
    """A key with when the store had taken the changes that brought and took it."""
    text: str
    workspace: str
    added_at: float
    removal_begun: bool = False
    removed_at: float = 0


class KeyBook:
    """The keys as callers know them, and the judge of what daemons say to them."""

    def __init__(self, check, seed):
        self.check = check
        self.random = random.Random(f"keys of callers {seed}")
        self.keys = {}  # text -> HeldKey
        self.workspaces = []

    @property
    def in_use(self):
        return bool(self.workspaces)

    def begin(self, workspaces, now):
        self.workspaces = workspaces
        for workspace in workspaces:
            for text in workspace.keys:
                self.keys[text] = HeldKey(text, workspace.name, now)

    def rotate(self, name, new_key):
        """Gives a workspace a key in place of its oldest; returns the one that goes."""
        workspace = next(entry for entry in self.workspaces if entry.name == name)
        oldest = workspace.keys.pop(0)
        workspace.keys.append(new_key)
        self.keys[oldest].removal_begun = True
        self.keys[new_key] = HeldKey(new_key, name, float("inf"))
        return oldest

    def rotated(self, oldest, new_key, now):
        self.keys[oldest].removed_at = now
        self.keys[new_key].added_at = now

    def key_of(self, name):
        """A key of the workspace that is in force everywhere, if it has one."""
        if not self.in_use:
            return ""
        held = [key for key in self.keys.values()
                if key.workspace == name and not key.removal_begun]
        settled = [key for key in held if time.monotonic() > key.added_at + 2 * APPLY_S]
        return self.random.choice(settled or held).text

    def wrong_key(self, name):
        """A key that is not one of the workspace's: gone, nobody's or another's."""
        others = [key.text for key in self.keys.values()
                  if key.workspace != name or key.removed_at]
        return self.random.choice(others + ["nobodys-key"])

    def judge(self, text, status, sent, in_touch_since, where):
        """Checks the status of a call that was sent with this key."""
        if not self.in_use or sent <= in_touch_since:
            return
        admitted = status in (200, 404, 409, 410, 422)
        key = self.keys.get(text)
        if key is None:
            self.check(NOBODYS, not admitted, f"{where}: {status} to a key of nobody")
            return
        if key.removed_at and sent > key.removed_at + APPLY_S:
            self.check(GONE, not admitted, f"{where}: {status}, sent "
                       f"{sent - key.removed_at:.2f} s after its key had gone")
        if sent > key.added_at + APPLY_S and not key.removal_begun:
            self.check(HELD, status != UNAUTHORIZED, f"{where}: {status}, sent "
                       f"{sent - key.added_at:.2f} s after its key came")
