#!/usr/bin/env python3
# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Tells where the jobs of a day lost their time: scripts/where_lost.py LOG... [--report FILE] [--window S] [--jobs N]

LOG holds what the nodes wrote (pathport_jobd, one JSON object a line; what stands before the object is
passed over, but a number at the line's beginning is taken for the day's time in seconds). FILE is the
report of the users' bench on the same day; its worth for each queue and moment is printed beside.

A job counts as late when it took longer than its queue allows for its longest chain of work, as its
runs that ended `done` tell. Its lateness is put down to the stage that took most of the time beyond
that work:

  accepted   from the call at the first node to its row in the store
  started    from there, or from the end of a step, to the first start of the next
  placed     from the first start of a step to the last first start of one of its tasks
  repeated   tasks that failed, stood still, were stopped, lost, or whose order got no answer
  ran        what its longest runs took beyond nine tenths of its queue's runs: slow workers, and ends
             that were heard of late
  closed     from its last end to its final state in the store
  unknown    it completed, but the log lacks ends of its tasks: the time after the last known end of a
             step up to the next step or to the final state, which may belong to a run as well
  never      it was accepted and did not end; `never placed`: nothing of it was started

The log is bounded, so lines may be missing. A job that may be in time or late depending on a missing end
counts as `unknown`, too. The number of missing ends of completed jobs is printed for each queue: runs that
were started and have no end, unless their worker was lost; and apart from these, tasks of which the log
has no line at all although it has lines of later tasks of the same step (1 for a job without such lines).

A line that can't be read is named with its file and number. Exit code 1 if a file can't be read.
"""
import argparse
import collections
import json
import re
import sys

STAGES = ("accepted", "started", "placed", "repeated", "ran", "closed", "unknown")
USUAL_SHARE = .9  # of the runs of a queue: what they take at most counts as work
OBJECT = re.compile(r'\{"time_ms"')


class Task:
    """Starts and ends of one task, in seconds."""

    def __init__(self):
        self.starts = []
        self.last_run = None
        self.run_starts = {}  # By run; a gang's task may be started several times under one run.
        self.accepted = set()  # Runs whose start was answered.
        self.ended = {}  # When each run ended.
        self.lost = {}  # When each run was lost with its worker; such a run has no end.
        self.done = None
        self.work = None

    def note_start(self, when, run, accepted):
        self.starts.append(when)
        self.last_run = run
        self.run_starts[run] = when
        if accepted:
            self.accepted.add(run)

    def note_end(self, when, run, how):
        self.ended[run] = when
        if how == "done":
            self.done = when
            self.work = when - self.run_starts[run] if run in self.run_starts else None

    def seen(self):
        """Returns the time of its first line."""
        return min([*self.starts, *self.ended.values(), *self.lost.values()])

    def missing_ends(self):
        """Returns how many of its runs lack an end, if its job completed."""
        runs = self.accepted - self.ended.keys() - self.lost.keys()
        if self.done is None:
            runs = runs | {self.last_run}
        return len(runs)


class Job:
    """What the logs tell of one job."""

    def __init__(self, name):
        self.name = name
        self.queue = None
        self.received = None
        self.accepted = None
        self.closed = None
        self.state = None
        self.stretch = None
        self.slo = 0.0
        self.tasks = collections.defaultdict(Task)

    def steps(self):
        """Returns the tasks of each (repeat, step) by number, in the order of their first lines."""
        steps = collections.defaultdict(dict)
        for name, task in self.tasks.items():
            repeat, step, number = name.split(".")[1:4]
            steps[(repeat, step)][int(number)] = task
        return sorted(steps.values(), key=lambda tasks: min(t.seen() for t in tasks.values()))

    def runs(self):
        """Returns what its runs that ended `done` took."""
        return [task.work for task in self.tasks.values() if task.work is not None]

    def completed(self):
        return self.closed is not None and self.state == "completed"

    def missing_ends(self):
        """Returns how many runs of a completed job lack an end."""
        return sum(task.missing_ends() for task in self.tasks.values()) if self.completed() else 0

    def unseen_tasks(self):
        """Returns how many tasks of a completed job have no line, as far as later ones of their step show."""
        if not self.completed():
            return 0
        return sum(max(tasks) + 1 - len(tasks) for tasks in self.steps()) if self.tasks else 1

    def lacks_done(self, tasks):
        """Returns whether the job completed but not all tasks of a step are known to be done."""
        return self.completed() and (max(tasks) + 1 > len(tasks) or any(t.done is None for t in tasks.values()))

    def stages(self, usual):
        """Returns the seconds that each stage took beyond the work itself, and that work; a run is taken
        to work for `usual` seconds at most."""
        spent = dict.fromkeys(STAGES, 0.0)
        spent["accepted"] = self.accepted - self.received
        ready, work, gap = self.accepted, 0.0, "unknown" if self.completed() and not self.tasks else "started"
        for tasks in self.steps():
            first = min(t.seen() for t in tasks.values())
            starts_known = any(t.starts for t in tasks.values())
            spent[gap if starts_known else "unknown"] += max(0.0, first - ready)
            lacks_done = self.lacks_done(tasks)
            gap = "unknown" if lacks_done else "started"
            done = [t for t in tasks.values() if t.done is not None]
            if not done and not lacks_done:
                return self.add_closing(spent, ready, "closed"), work
            last = max((t for t in done if t.starts), key=lambda t: t.done, default=None)
            if last is not None:
                spent["placed"] += max(0.0, last.starts[0] - first)
                spent["repeated"] += last.starts[-1] - last.starts[0]
            longest = max((t.work for t in done if t.work is not None), default=0.0)
            work += min(longest, usual)
            spent["ran"] += max(0.0, longest - usual)
            ready = max([ready, first, *(t.done for t in done)])
        return self.add_closing(spent, ready, "unknown" if gap == "unknown" else "closed"), work

    def add_closing(self, spent, ready, stage):
        """Adds the time from `ready` to the final state to `stage`; returns `spent`."""
        if self.closed is not None:
            spent[stage] += max(0.0, self.closed - ready)
        return spent

    def verdict(self, usual):
        """Returns the reason why it was late, "in time", or None for one that is not owed."""
        if self.accepted is None or self.state == "canceled":
            return None
        if self.closed is None:
            return "never" if self.tasks else "never placed"
        if self.stretch is None:
            return None
        spent, work = self.stages(usual)
        took = self.closed - self.received
        if took <= self.stretch * work + self.slo:
            return "in time"
        # All of the unknown time may have been work, which would allow for more time.
        if took <= self.stretch * (work + spent["unknown"]) + self.slo:
            return "unknown"
        return max(spent, key=spent.get)


def when(line, event):
    """Returns the time of a line in seconds: the day's if the line begins with it."""
    try:
        return float(line.split(None, 1)[0])
    except ValueError:
        return event["time_ms"] / 1000


def note(jobs, event, time):
    """Takes over what one event tells."""
    job = jobs.get(event["job"]) or jobs.setdefault(event["job"], Job(event["job"]))
    kind = event["event"]
    if kind == "job_submitted" and event.get("outcome") == "written":
        if job.accepted is None:
            job.received = time - event["after_ms"] / 1000
            job.accepted = time
        job.queue = event["queue"]
    elif kind == "job_known":
        job.queue = event["queue"]
        if "stretch_percent" in event:
            job.stretch = event["stretch_percent"] / 100
        job.slo = event.get("slo_ms", 0) / 1000
    elif kind == "task_start" and event["outcome"] in ("accepted", "unknown"):
        job.tasks[event["task"]].note_start(time, event["run"], event["outcome"] == "accepted")
    elif kind == "task_ended":
        job.tasks[event["task"]].note_end(time, event["run"], event["how"])
    elif kind == "task_lost_with_worker":
        job.tasks[event["task"]].lost[event["run"]] = time
    elif kind == "job_closed":
        job.closed = time
        job.state = event["state"]


def read(paths):
    """Returns the jobs that the logs tell of, by id."""
    jobs = {}
    events = []
    for path in paths:
        try:
            with open(path, errors="replace") as lines:
                for number, line in enumerate(lines, 1):
                    begin = OBJECT.search(line)
                    if begin is None:
                        continue
                    try:
                        event = json.loads(line[begin.start():])
                    except ValueError as error:
                        print(f"{path}:{number}: not read: {error}", file=sys.stderr)
                        continue
                    if "job" in event:
                        events.append((when(line, event), event))
        except OSError as error:
            sys.exit(f"{path}: {error.strerror}")
    for time, event in sorted(events, key=lambda entry: entry[0]):
        note(jobs, event, time)
    return jobs


def usual_runs(jobs):
    """Returns what a run of each queue takes, but for the longest tenth."""
    runs = collections.defaultdict(list)
    for job in jobs:
        runs[job.queue] += job.runs()
    return {queue: sorted(all_runs)[int(USUAL_SHARE * (len(all_runs) - 1))] for queue, all_runs in runs.items() if all_runs}


def print_table(title, rows):
    """Prints how many jobs of each row came to which verdict."""
    columns = ["in time", *STAGES, "never", "never placed"]
    print(f"{title:22}" + "".join(f"{column:>13}" for column in columns))
    for name, verdicts in rows:
        print(f"{name:22}" + "".join(f"{verdicts[column] or '':>13}" for column in columns))
    print()


def print_missing_ends(jobs):
    """Prints how many ends of completed jobs the logs lack, by queue; nothing if none."""
    by_queue = collections.defaultdict(list)
    for job in jobs:
        if job.completed():
            by_queue[job.queue or "unknown"].append((job.missing_ends(), job.unseen_tasks()))
    for queue, counts in sorted(by_queue.items()):
        runs, unseen = (sum(column) for column in zip(*counts))
        if runs or unseen:
            lacking = sum(1 for entry in counts if any(entry))
            print(f"ends missing of {queue}: {runs}, and {unseen} tasks without a line; "
                  f"in {lacking} of {len(counts)} completed jobs")


def print_report(path):
    """Prints what the bench says of the same day."""
    try:
        with open(path) as file:
            report = json.load(file)
    except (OSError, ValueError) as error:
        sys.exit(f"{path}: {error}")
    print("worth of each kind of request: "
          + ", ".join(f"{kind['name']} {kind['worth']}" for kind in report["classes"]))
    print("worth by second: " + " ".join(f"{w['name']}:{w['worth']}" for w in report["windows"]) + "\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs", nargs="+")
    parser.add_argument("--report", help="the bench's report of the same day")
    parser.add_argument("--window", type=float, default=2.0, help="seconds in a row of the second table")
    parser.add_argument("--jobs", type=int, default=3, help="examples of each reason")
    args = parser.parse_args()
    by_queue = collections.defaultdict(collections.Counter)
    by_time = collections.defaultdict(collections.Counter)
    examples = collections.defaultdict(list)
    jobs = read(args.logs)
    usual = usual_runs(jobs.values())
    for job in jobs.values():
        verdict = job.verdict(usual.get(job.queue, 0.0))
        if verdict is None:
            continue
        by_queue[job.queue or "unknown"][verdict] += 1
        by_time[int(job.received // args.window)][verdict] += 1
        if verdict != "in time":
            examples[(verdict, job.queue)].append(job)
    if args.report:
        print_report(args.report)
    print_table("queue", sorted(by_queue.items()))
    print_table("handed in at second", [(f"{key * args.window:g}", by_time[key]) for key in sorted(by_time)])
    print_missing_ends(jobs.values())
    for (verdict, queue), jobs in sorted(examples.items(), key=lambda entry: -len(entry[1])):
        spent = [job.stages(usual[queue])[0] for job in jobs if job.closed is not None and queue in usual]
        means = " ".join(f"{stage} {sum(s[stage] for s in spent) / len(spent):.2f}" for stage in STAGES) if spent else ""
        print(f"{verdict} of {queue}: {len(jobs)} jobs; mean seconds: {means}; such as "
              + " ".join(job.name for job in jobs[:args.jobs]))


if __name__ == "__main__":
    main()
