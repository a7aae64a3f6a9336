#!/usr/bin/env python3
# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Tells what happened to one job: scripts/explain.py ID LOG...

Prints, in the order of time, what the logs of all nodes say about the job, and, marked with '*',
what the nodes concerned lost, regained or decided meanwhile about store, leader and workers. The
logs are those of pathport_jobd: one JSON object a line; anything before the object is passed over."""

import json
import sys

# Events that are not about a job but may be the cause of its fate.
CIRCUMSTANCES = {
    "started", "stopping", "stopped", "store_lost", "store_regained", "elected", "deposed",
    "takeover_begun", "takeover_loaded", "takeover_done", "leader_known", "leader_silent",
    "leadership_lost", "leadership_resigned", "leadership_resumed", "configuration_applied",
    "worker_lost", "worker_regained", "worker_lease_lapsed", "worker_life_over",
    "worker_avoided", "worker_draining", "worker_unlisted", "worker_listed_again",
    "worker_tasks_released", "strays_kept",
    "doubts_inherited", "load", "job_history_lost",
}
BEFORE_MS = 1500


def read(paths):
    """Returns the events of all files, by time."""
    events = []
    for path in paths:
        with open(path, errors="replace") as lines:
            for line in lines:
                begin = line.find('{"time_ms"')
                if begin < 0:
                    continue
                try:
                    events.append(json.loads(line[begin:]))
                except ValueError:
                    continue
    return sorted(events, key=lambda event: event["time_ms"])


def concerns(event, job):
    return event.get("job") == job or str(event.get("task", "")).startswith(job + ".")


def main():
    if len(sys.argv) < 3:
        sys.exit(__doc__)
    job, paths = sys.argv[1], sys.argv[2:]
    events = read(paths)
    own = [event for event in events if concerns(event, job)]
    if not own:
        sys.exit(f"no log holds a line about {job}")
    nodes = {event["process"] for event in own}
    workers = {event["worker"] for event in own if "worker" in event}
    first, last = own[0]["time_ms"] - BEFORE_MS, own[-1]["time_ms"]
    for event in events:
        if not first <= event["time_ms"] <= last:
            continue
        mine = concerns(event, job)
        near = event["event"] in CIRCUMSTANCES and event["process"] in nodes
        if near and "worker" in event and event["worker"] not in workers:
            near = False
        if not mine and not near:
            continue
        rest = " ".join(f"{key}={value}" for key, value in event.items()
                        if key not in ("time_ms", "level", "process", "event", "job"))
        print(f"{event['time_ms'] - own[0]['time_ms']:>8} ms {'  ' if mine else '* '}"
              f"{event['process']:<20} {event['event']:<22} {rest}")


if __name__ == "__main__":
    main()
