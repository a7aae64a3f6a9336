#!/usr/bin/env python3
# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Measures what control costs a node, at several sizes, and prints the slopes that
docs/CAPACITY.md uses: processor time, memory, and bytes with TCP/IP headers (from `ss`).
Runs on loopback for about four minutes, and ends by itself."""

import os
import re
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "testsuite"))
from cell import Cell, http, wait_until  # noqa: E402

HEADERS = 52  # TCP with timestamps, and IP, for each segment
SPAN = 12
BOXES_PER_RACK = 6


def socket_bytes(pid):
    """Returns {socket: bytes both ways with headers} of the TCP connections of a process."""
    text = subprocess.run(["ss", "-tinpH"], capture_output=True, text=True, check=True).stdout
    found = {}
    lines = text.splitlines()
    for head, body in zip(lines[::2], lines[1::2]):
        if f"pid={pid}," not in head:
            continue
        fields = dict(re.findall(r"(bytes_sent|bytes_received|segs_out|segs_in):(\d+)", body))
        count = {k: int(v) for k, v in fields.items()}
        key = tuple(head.split()[3:5])
        found[key] = (count.get("bytes_sent", 0) + count.get("bytes_received", 0)
                      + HEADERS * (count.get("segs_out", 0) + count.get("segs_in", 0)))
    return found


def usage(pid):
    """Returns (processor seconds, resident MB) of a process."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{pid}/statm") as statm:
        pages = int(statm.read().split()[1])
    ticks = os.sysconf("SC_CLK_TCK")
    return (int(fields[11]) + int(fields[12])) / ticks, pages * 4096 / 1048576


def measure(cell, work=lambda: None):
    """Returns the mean over the nodes of (cores, MB, kB/s) while work() runs again and again."""
    pids = [cell.processes[n].pid for n in cell.names]
    cpu = [usage(p)[0] for p in pids]
    sent = [socket_bytes(p) for p in pids]
    start = time.monotonic()
    while time.monotonic() - start < SPAN:
        work()
        time.sleep(0.01)
    span = time.monotonic() - start
    cores, memory, kb = 0, 0, 0
    for i, pid in enumerate(pids):
        cores += (usage(pid)[0] - cpu[i]) / span
        memory += usage(pid)[1]
        for key, count in socket_bytes(pid).items():
            kb += (count - sent[i].get(key, 0)) / span / 1024
    n = len(pids)
    return cores / n, memory / n, kb / n


def cell_of(boxes, nodes, base=27000):
    """Returns a started cell whose boxes live in a few processes."""
    cell = Cell(nodes=nodes, boxes=0, base=base, rate=400, idle_beat=5000)
    cell.__enter__()
    racks = max(1, boxes // BOXES_PER_RACK)
    for rack in range(racks):
        cell.start(f"rack-{rack}", [
            "standin_box", "--id", f"r{rack}b", "--domain", f"domain-{rack % 4 + 1}",
            "--rack", f"k{rack}", "--box-list", f"127.0.0.1:{cell.box_list}",
            "--port", str(cell.base + 100 + 2 * BOXES_PER_RACK * rack),
            "--count", str(BOXES_PER_RACK)])
    wait_until(lambda: len(cell.ctl("boxes")[1]) == racks * BOXES_PER_RACK, 20, "boxes listed")
    time.sleep(3)
    return cell


def show(what, figures):
    cores, memory, kb = figures
    print(f"  {what:<34} {cores * 100:6.2f}% of a core {memory:6.1f} MB {kb:7.2f} kB/s",
          flush=True)
    return figures


def slope(points):
    """Returns the least-squares slopes of cores, MB and kB/s over the first values."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    result = []
    for i in range(3):
        mean_y = sum(f[i] for _, f in points) / n
        over = sum((x - mean_x) * (f[i] - mean_y) for x, f in points)
        result.append(over / sum((x - mean_x) ** 2 for x, _ in points))
    return result


def print_slope(what, points):
    cores, memory, kb = slope(points)
    print(f"slope for {what}: {cores * 100:.4f}% of a core, {memory * 1024:.1f} kB of memory, "
          f"{kb * 1024:.1f} bytes/s a node", flush=True)


def over_boxes():
    print("boxes, 3 nodes, one service of a replica on each box")
    points = []
    for boxes in (12, 48, 96):
        cell = cell_of(boxes, 3)
        try:
            cell.service("settlement", boxes)
            wait_until(lambda: cell.running("settlement") == boxes, 30, "replicas")
            time.sleep(2)
            points.append((boxes / 3, show(f"{boxes} boxes, {boxes / 3:.0f} a node",
                                           measure(cell))))
        finally:
            cell.__exit__(None)
    print_slope("each box owned", points)


def over_nodes():
    print("nodes, 12 boxes")
    points = []
    for nodes in (2, 4, 6):
        cell = cell_of(12, nodes)
        try:
            points.append((nodes - 1, show(f"{nodes} nodes", measure(cell))))
        finally:
            cell.__exit__(None)
    print_slope("each peer", points)


def over_changes_and_starts():
    cell = cell_of(24, 3)
    try:
        print("configuration changes, 24 boxes, 3 nodes")
        points = [(0, show("no change", measure(cell)))]
        for rate in (1, 3):
            state = {"next": time.monotonic(), "i": 0}

            def change(rate=rate, state=state):
                if time.monotonic() < state["next"]:
                    return
                state["next"] += 1 / rate
                state["i"] += 1
                put(cell, f"/v1/config/quotas/team-{state['i'] % 74}",
                    f'{{"team":"team-{state["i"] % 74}","limit":{{"cpu_millis":'
                    f'{1000 + state["i"]},"memory_mb":1000}}}}')
            points.append((rate, show(f"{rate} changes/s", measure(cell, change))))
        print_slope("each change a second", points)
        print("task starts, 24 boxes, 3 nodes, tasks of 2 s")
        points = [(0, points[0][1])]
        number = 0
        for rate in (9, 18, 36):
            state = {"next": time.monotonic()}

            def submit(rate=rate, state=state):
                nonlocal number
                if time.monotonic() < state["next"]:
                    return
                state["next"] += 1
                number += 1
                name = f"load-{number}"
                put(cell, f"/v1/jobs/{name}",
                    f'{{"name":"{name}","team":"t","tasks":{rate},"duration_ms":2000,'
                    f'"resources":{{"cpu_millis":250,"memory_mb":256}}}}')
            points.append((rate / 3, show(f"{rate} starts/s, {rate / 3:.0f} a node",
                                          measure(cell, submit))))
        print_slope("each start a second", points)
    finally:
        cell.__exit__(None)


def put(cell, path, body):
    status, _, answer = http("PUT", cell.ports("node-1")["operators"], path, body.encode(),
                             {"authorization": "Bearer demo-operators-key"})
    assert status == 200, (status, answer)


if __name__ == "__main__":
    over_boxes()
    over_nodes()
    over_changes_and_starts()
