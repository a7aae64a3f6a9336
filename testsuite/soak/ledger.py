# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""The promises as workers see them, checked at each start and each noted end."""

import time
from dataclasses import dataclass, field

from .calm import Calm
from .model import Breach, TaskName
from .workspaces import KEPT, OVERAGE, Bounds

CANCEL_S = 3.0
KILL_GRACE_S = 0.4
CLOCK_JITTER_MS = 250
# A drained failure domain gets no tasks after this time; the daemons are told the same.
DOMAIN_DRAIN_S = 5.0
# A task that has crashed so many workers is not started so often again.
CRASHES_IN_ALL, STARTS_BEYOND = 3, 3
CRASHES_TO_GIVE_UP = 2
# A room that has shrunk counts so long and a beat later.
ROOM_HEARD_S = 3.0 + 1.5


@dataclass
class TaskRecord:
    """What is known of one task. A gang has one record: one end stands for all."""
    done: bool = False
    done_noted: bool = False
    failed: int = 0
    failed_noted: int = 0
    started_when_spent: bool = False
    checkpoints: set = field(default_factory=set)


class Ledger:
    """Keeps what callers said and what tasks did, and the promises that were broken."""

    def __init__(self, log):
        self.log = log
        self.jobs = {}
        self.refused = {}  # job -> when its last hand-in was refused
        self.canceled = {}  # job -> when its cancellation was acknowledged
        self.tasks = {}  # job -> {task within it: its record}
        self.crashes = {}  # task -> workers that it has crashed
        self.lost = {}  # task -> workers that were lost with it, for whatever cause
        self.starts_beyond = {}  # task -> its starts after that
        self.calm = Calm()
        self.bounds = Bounds()
        self.drained = {}  # failure domain -> since when the operators have drained it
        self.ran_on = set()  # Runs of cancelled jobs that were reported: (life, task, run).
        self.breaches = []
        self.starts = 0
        self.checked = {}

    def breach(self, promise, text):
        self.breaches.append(Breach(promise, text, time.time()))
        self.log("breach", promise=promise, text=text)

    def check(self, promise, holds, text):
        self.checked[promise] = self.checked.get(promise, 0) + 1
        if not holds:
            self.breach(promise, text)

    def step_of(self, name):
        facts = self.jobs.get(name.job)
        if facts is None or name.step >= len(facts.steps):
            return None
        return facts.steps[name.step]

    def record_of(self, name):
        step = self.step_of(name)
        index = 0 if step is not None and step.gang else name.index
        tasks = self.tasks.setdefault(name.job, {})
        return tasks.setdefault(f"{name.time}.{name.step}.{index}", TaskRecord())

    def attempts(self, name):
        return self.jobs[name.job].queue_of().attempts

    def check_start(self, order, life, lives):
        """Checks a start that a worker is about to carry out."""
        self.starts += 1
        name = TaskName.parse(order.task)
        step = self.step_of(name)
        self.check("only what callers sent is started", step is not None, f"{order.task} started")
        if step is None:
            return
        self.check_order_itself(order, name, step, life)
        self.check_calls(order, name)
        self.check_history(order, name, step, lives)
        self.check_crashes(order.task)
        self.check_sequence(order, name, step)
        self.check_bound(order, name, lives)
        self.check_domain(order, life, time.monotonic())

    def drain_domain(self, domain, drained, now):
        if drained:
            self.drained.setdefault(domain, now)
        else:
            self.drained.pop(domain, None)

    def check_domain(self, order, life, now):
        """Nothing starts in a drained domain after the later of two moments: `DOMAIN_DRAIN_S`
        after the request, and when it is calm."""
        drained = self.drained.get(life.rack)
        over = 0 if drained is None else now - max(drained + DOMAIN_DRAIN_S, self.calm.since())
        self.check("drained domains get no tasks", over <= 0,
                   f"{order.task} starts in {life.rack}, {now - (drained or now):.1f} s after it "
                   "was drained")

    def check_bound(self, order, name, lives):
        """What runs for a workspace before a start is within its bound and a tenth."""
        workspace = self.jobs[name.job].workspace
        bound = self.bounds.highest(workspace, time.monotonic(), self.calm.since())
        if not workspace or not bound:
            return
        runs = [run for life in lives if life.up for run in life.running.values()
                if self.jobs[run.name.job].workspace == workspace]
        taken = sum(run.step.cpu for run in runs)
        self.check(KEPT, taken <= bound * (1 + OVERAGE),
                   f"{order.task} starts where {workspace} has {taken} of {bound} running")

    def check_order_itself(self, order, name, step, life):
        facts = self.jobs[name.job]
        self.check("payload unchanged", facts.payload == order.payload,
                   f"another payload for {order.task}")
        self.check("checkpoints are the task's own",
                   not order.checkpoint or order.checkpoint in self.record_of(name).checkpoints,
                   f"{order.task} came with {order.checkpoint}")
        self.check("workers have the step's label",
                   not step.label or step.label in life.labels,
                   f"{order.task} on {life.id} lacks {step.label}")
        beside = sum(1 for run in life.running.values()
                     if (run.name.job, run.name.time, run.name.step)
                     == (name.job, name.time, name.step))
        self.check("a step's tasks per worker", not step.per_worker or beside < step.per_worker,
                   f"{order.task} is one too many on {life.id}")

    def check_calls(self, order, name):
        self.check("refused jobs never run", name.job not in self.refused,
                   f"{order.task} started, all its hand-ins were refused")
        canceled = self.canceled.get(name.job)
        self.check("cancelled jobs start nothing",
                   canceled is None or time.monotonic() - canceled < CANCEL_S,
                   f"{order.task} started {time.monotonic() - (canceled or 0):.1f} s after its "
                   "cancellation was acknowledged")

    def acknowledge_cancel(self, job, at):
        """A caller's cancel was acknowledged; what counts is the first time."""
        self.canceled.setdefault(job, at)

    def check_canceled_runs(self, lives, now):
        """Checks that nothing of a cancelled job runs after the later of two moments: `CANCEL_S`
        after the acknowledgement, and when it is calm. Whoever started it and however late."""
        calm_since = self.calm.since()
        for life in lives:
            for run in life.running.values() if life.up else ():
                canceled = self.canceled.get(run.name.job)
                run_id = (life.id, run.task, run.number)
                if canceled is None or run_id in self.ran_on:
                    continue
                over = now - max(canceled + CANCEL_S, calm_since) - KILL_GRACE_S
                if over > 0:
                    self.ran_on.add(run_id)
                self.check("cancelled jobs run nothing", over <= 0,
                           f"{run.task} run {run.number} runs on at {life.id}, "
                           f"{now - canceled:.1f} s after its cancellation was acknowledged, "
                           f"calm since {now - calm_since:.1f} s")

    def check_history(self, order, name, step, lives):
        record = self.record_of(name)
        failed = record.failed_noted
        for other in lives:
            for end in other.ended:
                if self.record_of(end.name) is not record:
                    continue
                other.followed.add(end.number)
                if other.up and end.number > other.lapsed_through and end.how == "failed":
                    failed += 1
        twice = [other.id for other in lives if other.up and order.task in other.running]
        self.check("no two runs at once", not twice,
                   f"{order.task} run {order.run} starts and runs on {twice}")
        if step.lasting:
            return
        self.check("no start after a noted done", not record.done_noted,
                   f"{order.task} run {order.run} started though done")
        self.check("no start after the last failure",
                   record.failed_noted < self.attempts(name),
                   f"{order.task} run {order.run} started after {record.failed_noted} failures")
        if failed >= self.attempts(name):
            record.started_when_spent = True

    def crashed(self, task):
        """A worker has crashed under a task, and by it."""
        self.crashes[task] = self.crashes.get(task, 0) + 1

    def lost_with_worker(self, task):
        """A worker is gone while the task ran there."""
        self.lost[task] = self.lost.get(task, 0) + 1

    def check_crashes(self, task):
        if self.crashes.get(task, 0) >= CRASHES_IN_ALL:
            self.starts_beyond[task] = self.starts_beyond.get(task, 0) + 1
        beyond = self.starts_beyond.get(task, 0)
        self.check("tasks that crash their workers are given up", beyond < STARTS_BEYOND,
                   f"{task} started {beyond} times after it had crashed {CRASHES_IN_ALL} workers")

    def crashes_workers(self, job):
        """Whether a task of the job crashes its workers: nobody misses such a job."""
        return any(self.jobs[job].crashers)

    def check_sequence(self, order, name, step):
        for earlier in step.after:
            self.check("order of steps", self.step_done(name.job, name.time, earlier),
                       f"{order.task} started before step {earlier} was done")
        facts = self.jobs[name.job]
        if facts.repeats:
            due = facts.first_due_ms + name.time * facts.interval_ms
            self.check("no start before its time", time.time() * 1000 > due - CLOCK_JITTER_MS,
                       f"{order.task} started {due - time.time() * 1000:.0f} ms early")

    def check_room(self, life):
        cpu = mem = 0
        for run in life.running.values():
            cpu, mem = cpu + run.step.cpu, mem + run.step.mem
        rooms = [(life.cpu, life.mem)]
        rooms += [room for until, *room in life.rooms_before if time.monotonic() < until]
        fits = any(cpu <= room_cpu and mem <= room_mem for room_cpu, room_mem in rooms)
        self.check("room of workers", fits,
                   f"{life.id} holds {cpu} of {life.cpu} cpu, {mem} of {life.mem} MB: "
                   + " ".join(life.running))

    def ended(self, end):
        """A run has ended at a worker."""
        record = self.record_of(end.name)
        if end.how == "failed":
            record.failed += 1
        step = self.step_of(end.name)
        if end.how == "done" and step is not None and not step.lasting:
            record.done = True

    def noted(self, life, seen):
        """A look with this 'last seen' came to a worker: its ends up to it are taken note of."""
        for end in life.ended:
            if end.number > seen or end.number <= life.lapsed_through:
                continue
            step = self.step_of(end.name)
            if step is None or step.lasting:
                continue
            record = self.record_of(end.name)
            if end.how == "done":
                record.done_noted = True
                self.check("no start after a noted done", end.number not in life.followed,
                           f"{end.task} was started again after an end that was noted later")
            if end.how == "failed":
                record.failed_noted += 1
                spent = record.failed_noted >= self.attempts(end.name)
                self.check("no start after the last failure",
                           not (record.started_when_spent and spent),
                           f"{end.task} was started again after a last failure noted later")

    def step_done(self, job, time_number, step_number):
        step = self.jobs[job].steps[step_number]
        return all(self.record_of(TaskName(job, time_number, step_number, i)).done
                   for i in range(step.count))

    def job_done(self, job):
        facts = self.jobs[job]
        return all(self.step_done(job, k, s) for k in range(facts.times)
                   for s in range(len(facts.steps)))

    def job_may_fail(self, job):
        """Whether some task, or gang, failed as often as its queue allows."""
        facts = self.jobs[job]
        attempts = facts.queue_of().attempts
        # All that the pages promise of a task with which two workers were lost.
        if any(count >= CRASHES_TO_GIVE_UP for task, count in self.lost.items()
               if task.split(".")[0] == job):
            return True
        return any(record.failed >= attempts for record in self.tasks.get(job, {}).values())

    def ready_tasks(self, job):
        """Returns (task name, step) of the tasks whose turn has come and that are not done."""
        facts = self.jobs[job]
        ready = []
        for time_number in range(facts.times):
            if time.time() * 1000 < facts.first_due_ms + time_number * facts.interval_ms:
                continue
            for number, step in enumerate(facts.steps):
                if not all(self.step_done(job, time_number, earlier) for earlier in step.after):
                    continue
                names = [TaskName(job, time_number, number, i) for i in range(step.count)]
                ready += [(name, step) for name in names
                          if step.lasting or not self.record_of(name).done]
        return ready

    def verdict_on(self, job):
        """What callers are told of a job at its end: (done, may have failed)."""
        return {"done": self.job_done(job), "may_fail": self.job_may_fail(job)}
