# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Measures how soon work goes on after open connections went silent. These are figures, not
promises: other faults and lulls of the load count in unless a soak is played without them."""

import time
from dataclasses import dataclass

WINDOW_S = 12.0


@dataclass
class Silence:
    """What was seen in the time after connections went silent."""
    text: str
    at: float
    last_start: float
    first_start_s: float = 0  # From the silence to the next start; 0 while there was none.
    longest_gap_s: float = 0  # Between two starts; the silence itself counts as one.
    standstill_s: float = 0  # The longest that a job stood still, see standstill.py.
    standstill_task: str = ""


class Silences:
    """All silences of a soak; each is looked at until the next one, `WINDOW_S` at most."""

    def __init__(self):
        self.all = []

    def begins(self, text, now=None):
        now = time.monotonic() if now is None else now
        self.all.append(Silence(text, now, now))

    def present(self, now):
        """Returns the silence whose time it is, if any."""
        if not self.all or now - self.all[-1].at > WINDOW_S:
            return None
        return self.all[-1]

    def started(self, now=None):
        """A worker has begun a start."""
        now = time.monotonic() if now is None else now
        silence = self.present(now)
        if silence is None:
            return
        silence.first_start_s = silence.first_start_s or now - silence.at
        silence.longest_gap_s = max(silence.longest_gap_s, now - silence.last_start)
        silence.last_start = now

    def stands_still(self, task, since, now):
        """A job whose next task this is has stood still since some time."""
        silence = self.present(now)
        if silence is None:
            return
        span = now - max(since, silence.at)
        if span > silence.standstill_s:
            silence.standstill_s, silence.standstill_task = span, task

    def figures(self):
        """Returns [text, first start, longest gap, longest standstill, its task] of each."""
        return [[s.text, s.first_start_s, s.longest_gap_s, s.standstill_s, s.standstill_task]
                for s in self.all]
