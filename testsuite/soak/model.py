# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""What a soak is made of: queues, jobs and what their tasks do at the workers."""

import json
from dataclasses import asdict, dataclass, field

from .wire import Step

HOST = "soak.example"
SERVICE = "pool"
RACKS = 3  # Failure domains; workers belong to them in turn.


@dataclass(frozen=True)
class Queue:
    """A queue of the configuration."""
    name: str
    priority: int
    attempts: int = 3
    decision_ms: float = 0
    per_item_ms: float = 0
    validity_ms: int = 0
    host: str = HOST
    service: str = SERVICE

    @property
    def prefix(self):
        return f"/{self.name}/"

    @property
    def advised(self):
        return self.validity_ms > 0


QUEUES = [Queue("plain", 0), Queue("advised", 1, decision_ms=8, per_item_ms=1, validity_ms=2000)]


@dataclass
class JobFacts:
    """A job and how its tasks behave: 'fails' runs of each step's tasks fail by their own fault; the
    first 'crashers' tasks of a step crash each worker that starts them, after 'crash_after_s'; it is
    back 'crash_pause_s' later."""
    id: str
    queue: str
    payload: str
    steps: list
    fails: list
    repeats: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    crashers: list = field(default_factory=list)
    crash_after_s: float = 0
    crash_pause_s: float = 0
    workspace: str = ""

    def crashes(self, name):
        """Returns whether a task, by its TaskName, crashes its workers."""
        return name.step < len(self.crashers) and name.index < self.crashers[name.step]

    @property
    def times(self):
        return max(1, self.repeats)

    @property
    def lasting(self):
        return any(step.lasting for step in self.steps)

    def queue_of(self):
        return next(queue for queue in QUEUES if queue.name == self.queue)

    def encode(self):
        """Leaves out what isn't set of crashes and workspaces, so that other jobs read as ever."""
        entry = asdict(self)
        for name in ("crashers", "crash_after_s", "crash_pause_s", "workspace"):
            if not entry[name]:
                del entry[name]
        return json.dumps(entry)

    @staticmethod
    def decode(text):
        entry = json.loads(text)
        entry["steps"] = [Step(**step) for step in entry["steps"]]
        return JobFacts(**entry)


@dataclass
class TaskName:
    """The name of a task, taken apart."""
    job: str
    time: int
    step: int
    index: int

    @staticmethod
    def parse(text):
        job, time, step, index = text.split(".")
        return TaskName(job, int(time), int(step), int(index))


@dataclass
class Breach:
    """A promise that was broken."""
    promise: str
    text: str
    at: float = field(default=0)
