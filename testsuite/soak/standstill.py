# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Measures how long jobs stand still: nothing of theirs runs, a task's turn has come, at least two
workers have room for it, and under half of all room is used. Counts in the calm time at the end and
after silences of connections."""

import time
from dataclasses import dataclass


@dataclass
class Longest:
    """The longest time that a job stood still, and which task was next."""
    span_s: float = 0
    task: str = ""


class Standstill:
    """Looks at all accepted jobs again and again."""

    def __init__(self, ledger, workers, allows, silences):
        self.ledger, self.workers, self.allows = ledger, workers, allows
        self.silences = silences
        self.accepted = set()
        self.over = set()
        self.since = {}  # job -> since when it stands still
        self.longest = Longest()
        self.calm_since = 0.0  # When the calm time at the end began; 0 before.

    def look(self):
        now = time.monotonic()
        if not self.calm_since and self.silences.present(now) is None:
            self.since.clear()
            return
        lives = [life for life in self.workers.lives if life.up]
        working = {run.name.job for life in lives for run in life.running.values()}
        used = sum(run.step.cpu for life in lives for run in life.running.values())
        room = sum(life.cpu for life in lives)
        for job in self.accepted - self.over:
            if job in self.ledger.canceled or self.ledger.job_may_fail(job) \
                    or self.ledger.job_done(job) or self.ledger.crashes_workers(job):
                self.over.add(job)
                continue
            task = "" if job in working or used * 2 >= room else self.waiting_task(job, lives)
            if not task:
                self.since.pop(job, None)
                continue
            since = self.since.setdefault(job, now)
            self.silences.stands_still(task, since, now)
            span = now - max(since, self.calm_since) if self.calm_since else 0
            if span > self.longest.span_s:
                self.longest = Longest(span, task)

    def waiting_task(self, job, lives):
        """Returns a task of the job that could run now, empty if there is none."""
        advised = self.ledger.jobs[job].queue_of().advised
        for name, step in self.ledger.ready_tasks(job):
            step_name = f"{job}.{name.time}.{name.step}"
            members = step.count if step.gang else 1
            places = 0
            for life in lives:
                used = [run.step for run in life.running.values()]
                cpu = life.cpu - sum(other.cpu for other in used)
                mem = life.mem - sum(other.mem for other in used)
                fits = cpu >= step.cpu * members and mem >= step.mem * members
                able = not step.label or step.label in life.labels
                if fits and able and (not advised or self.allows(step_name, life.slot)):
                    places += 1
            if places >= 2:
                return f"{step_name}.{name.index}"
        return ""
